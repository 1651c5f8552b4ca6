//! The status of a node for operators. The keys of the JSON are part of the interface, so they must not change.

use gingerledge_chain::MemberId;
use gingerledge_wire::{NodeRecord, Registry, Role};
use serde_json::{json, Map, Value};

use super::chain_host::ChainHost;
use super::coordinator_tasks::Leadership;
use super::peers::Peers;
use crate::sessions::SessionCounts;
use crate::state::ControlState;

/// The input of a status report.
pub(super) struct StatusReport<'a> {
    pub own_record: &'a NodeRecord,
    pub chain: &'a ChainHost,
    pub registry: &'a Registry,
    pub peers: &'a Peers,
    pub sessions: SessionCounts,
    pub leadership: Leadership,
    pub is_lease_held: bool,
    pub pending_disk_writes: usize,
}

impl StatusReport<'_> {
    /// The status as JSON.
    pub(super) fn to_json(&self) -> String {
        let state = self.chain.state();
        let membership = self.chain.membership();
        json!({
            "node": self.own_record.name,
            "member": format!("{:x}", self.own_record.member),
            "view": membership.map(|membership| membership.epoch),
            "voters": membership.map(|membership| hex_members(&membership.voters)),
            "chain": membership.map(|membership| hex_members(&membership.chain)),
            "serving": self.chain.is_serving(),
            "applied": self.chain.last_emitted_index(),
            "configurationVersion": state.configuration().version(),
            "namedVersions": state.versions(),
            "fencingToken": state.fencing_token(),
            "leadership": self.leadership.to_string(),
            "holdsLease": self.is_lease_held,
            "sessions": self.sessions.total,
            "ownSessions": self.sessions.owned,
            "reachable": self.peers.reachable().map(ToString::to_string).collect::<Vec<_>>(),
            "edges": node_names(self.registry, Role::Edge),
            "backends": node_names(self.registry, Role::Backend),
            "partitions": partitions(state),
            "stores": stores(self.registry),
            "diskQueue": self.pending_disk_writes,
        })
        .to_string()
    }
}

fn hex_members(members: &[MemberId]) -> Vec<String> {
    members.iter().map(|member| format!("{:x}", member.0)).collect()
}

fn node_names(registry: &Registry, role: Role) -> Vec<&str> {
    registry.nodes().filter(|node| node.role == role).map(|node| node.name.as_str()).collect()
}

fn partitions(state: &ControlState) -> Vec<Value> {
    let partitions = state.partitions().all().map(|(partition, record)| {
        json!({
            "partition": partition,
            "epoch": record.epoch,
            "chain": record.chain.iter().map(|member| format!("{member:x}")).collect::<Vec<_>>(),
            "full": record.in_sync.len(),
        })
    });
    partitions.collect()
}

fn stores(registry: &Registry) -> Vec<Value> {
    let stores = registry.stores().map(|(id, store)| {
        let versions: Map<_, _> = store
            .models
            .iter()
            .map(|model| (model.name.clone(), registry.loaded_version(id, store, &model.name).into()))
            .collect();
        json!({"id": id, "service": store.service, "state": store.state, "versions": versions})
    });
    stores.collect()
}
