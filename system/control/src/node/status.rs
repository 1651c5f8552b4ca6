//! What a node says of itself to operators.

use serde_json::json;

use super::Node;
use gingerledge_wire::Role;

impl Node {
    /// The node's view of the system, as JSON.
    pub(super) fn status(&self) -> String {
        let now = self.clock.now();
        let registry = self.relay.registry();
        let (sessions, own_sessions) = self.sessions.counts();
        let members = self.chain.membership();
        let names = |members: &[gingerledge_chain::MemberId]| -> Vec<String> {
            members.iter().map(|member| format!("{:x}", member.0)).collect()
        };
        let nodes = |role: Role| {
            registry
                .nodes()
                .filter(|node| node.role == role)
                .map(|node| node.name.clone())
                .collect::<Vec<_>>()
        };
        let partitions: Vec<_> = self
            .chain
            .state()
            .partitions()
            .all()
            .map(|(partition, record)| {
                json!({
                    "partition": partition,
                    "epoch": record.epoch,
                    "chain": record.chain.iter().map(|member| format!("{member:x}")).collect::<Vec<_>>(),
                    "full": record.in_sync.len(),
                })
            })
            .collect();
        let stores: Vec<_> = registry
            .stores()
            .map(|(id, store)| {
                let versions: serde_json::Map<_, _> = store
                    .models
                    .iter()
                    .map(|model| (model.name.clone(), registry.loaded_version(id, store, &model.name).into()))
                    .collect();
                json!({"id": id, "service": store.service, "state": store.state, "versions": versions})
            })
            .collect();
        json!({
            "node": self.messenger.own().name,
            "member": format!("{:x}", self.messenger.own().member),
            "view": members.map(|members| members.epoch),
            "voters": members.map(|members| names(&members.voters)),
            "chain": members.map(|members| names(&members.chain)),
            "serving": self.chain.is_serving(),
            "applied": self.chain.handed_out_index(),
            "configurationVersion": self.chain.state().configuration().version(),
            "namedVersions": self.chain.state().versions(),
            "fencingToken": self.chain.state().fencing_token(),
            "leadership": self.coordinator.leadership().to_string(),
            "holdsLease": self.lease.held_until(now).is_some(),
            "sessions": sessions,
            "ownSessions": own_sessions,
            "reachable": self.peers.reachable().map(ToString::to_string).collect::<Vec<_>>(),
            "edges": nodes(Role::Edge),
            "backends": nodes(Role::Backend),
            "partitions": partitions,
            "stores": stores,
            "diskQueue": self.disk.pending_writes(),
        })
        .to_string()
    }
}
