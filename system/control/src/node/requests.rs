//! Questions of the HTTP side.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::ChainEvent;
use gingerledge_protocol::{ConfigurationDocument, Heartbeat, StoreState};
use gingerledge_wire::{Command, Key, NodeRecord, RetirementState, Role, StoreRecord, Value};
use tokio::sync::oneshot::Sender;

use super::request::{Accepted, BeginRetire, Confirmed, Request};
use super::Node;

/// Before this, the sessions may lack backends that live.
const SESSIONS_SETTLED: Duration = Duration::from_secs(5);
/// Most reads that wait for the chain.
const MAX_READS: usize = 256;

/// A read that waits until the chain has confirmed it.
#[derive(Debug)]
pub(super) enum Read {
    Configuration(Sender<Confirmed<Option<Arc<Vec<u8>>>>>),
    Retire(String, Sender<Confirmed<Option<RetirementState>>>),
    /// Whether a backend is unknown, or too few are left, is judged only by a node in touch with the chain.
    BeginRetire(String, Sender<BeginRetire>),
    /// The chain is to confirm its membership for the announcements that wait for this token.
    Announcements,
}

impl Node {
    pub(super) fn take_request(&mut self, request: Request) {
        match request {
            Request::Submit { command, reply } => self.submit_call(command, reply),
            Request::ReadConfiguration { reply } => self.begin_read(Read::Configuration(reply)),
            Request::ReadRetire { name, reply } => self.begin_read(Read::Retire(name, reply)),
            Request::BeginRetire { name, reply } => self.begin_read(Read::BeginRetire(name, reply)),
            Request::Heartbeat { id, heartbeat, reply } => self.take_heartbeat(id, heartbeat, reply),
            Request::Deregister { id, reply } => {
                let key = Key::Store(id);
                self.end_session(key.clone());
                self.announce(key, reply);
            }
            Request::Status { reply } => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn begin_read(&mut self, read: Read) {
        // Dropping it answers that the read can't be confirmed.
        if let Some(token) = self.add_read(read) {
            self.chain.handle_event(ChainEvent::Read { token });
        }
    }

    /// Notes a read that the chain is to be asked for; none if too many wait.
    pub(super) fn add_read(&mut self, read: Read) -> Option<u64> {
        if self.reads.len() >= MAX_READS {
            return None;
        }
        self.next_read += 1;
        self.reads.insert(self.next_read, read);
        Some(self.next_read)
    }

    pub(super) fn finish_read(&mut self, token: u64, confirmed: bool) {
        let Some(read) = self.reads.remove(&token) else { return };
        match read {
            Read::Configuration(reply) => {
                let json = self.chain.state().configuration().document().map(ConfigurationDocument::to_json);
                let _ = reply.send(confirmed.then_some(json));
            }
            Read::Retire(name, reply) => {
                let state = self.chain.state().retirements().get(&name).map(|retiring| retiring.state);
                let _ = reply.send(confirmed.then_some(state));
            }
            Read::BeginRetire(name, reply) if confirmed => self.begin_retire(name, reply),
            Read::BeginRetire(_, reply) => {
                let _ = reply.send(BeginRetire::Unavailable);
            }
            Read::Announcements => self.finish_announcements(token, confirmed),
        }
    }

    fn take_heartbeat(&mut self, id: String, heartbeat: Heartbeat, reply: Sender<Accepted>) {
        let draining = heartbeat.state == StoreState::Draining;
        let sequence = heartbeat.sequence;
        let key = Key::Store(id);
        let Some(record) = store_record(heartbeat) else {
            let _ = reply.send(Accepted { chain_is_fresh: false });
            return;
        };
        let is_new = self.relay.registry().entry(&key).is_none();
        let address = record.address;
        let newest = self.hear(key.clone(), sequence, Value::Store(record));
        if is_new {
            self.end_former_stores(&key, address);
        }
        match draining {
            // What a later heartbeat said is shared by whoever heard that one, so nothing is known of who holds it.
            true if newest => self.announce(key, reply),
            false if !self.relay.is_isolated(self.clock.now()) => {
                let _ = reply.send(Accepted { chain_is_fresh: self.relay.is_fresh(self.clock.now()) });
            }
            // Dropping it answers that another control node should be called.
            _ => {}
        }
    }

    /// One store serves at an address: those before it are gone, though they may not have said so.
    fn end_former_stores(&mut self, key: &Key, address: SocketAddr) {
        let former: Vec<Key> = self
            .relay
            .registry()
            .stores()
            .filter(|(_, store)| store.address == address)
            .map(|(id, _)| Key::Store(id.to_owned()))
            .filter(|other| other != key)
            .collect();
        for other in former {
            if let Some(entry) = self.sessions.supersede(other) {
                self.learn_and_share(entry);
            }
        }
    }

    fn begin_retire(&mut self, name: String, reply: Sender<BeginRetire>) {
        let here = self.backend_named(&name).map(|backend| backend.member);
        let before = self.chain.state().retirements().get(&name).map(|retiring| retiring.member);
        if let Some(member) = before.filter(|member| here.is_none_or(|here| here == *member)) {
            self.submit_retire(Command::BeginRetirement { name, member }, reply);
            return;
        }
        match self.judge_retire(&name) {
            Ok(member) => self.submit_retire(Command::BeginRetirement { name, member }, reply),
            Err(refusal) => {
                let _ = reply.send(refusal);
            }
        }
    }

    /// The identity of the disk that would be emptied, or why not.
    fn judge_retire(&self, name: &str) -> Result<u64, BeginRetire> {
        let settled = self.clock.now() >= SESSIONS_SETTLED;
        let unless_unsettled = |refusal| if settled { refusal } else { BeginRetire::Unavailable };
        let Some(backend) = self.backend_named(name) else {
            return Err(unless_unsettled(BeginRetire::Unknown));
        };
        let left = self.backends_left_without(backend.member);
        if left.len() > self.settings.fault_tolerance.machines {
            return Ok(backend.member);
        }
        let kept = |record: &gingerledge_wire::PartitionRecord| {
            record.chain.iter().all(|member| *member == backend.member || left.contains(member))
        };
        // A member of a chain that is silent now may be back at once.
        let all_there = self.chain.state().partitions().all().all(|(_, record)| kept(record));
        Err(if all_there { unless_unsettled(BeginRetire::TooFew) } else { BeginRetire::Unavailable })
    }

    fn backend_named(&self, name: &str) -> Option<NodeRecord> {
        let mut nodes = self.relay.registry().nodes();
        nodes.find(|node| node.role == Role::Backend && node.name == name).cloned()
    }

    fn backends_left_without(&self, member: u64) -> BTreeSet<u64> {
        let retiring = self.chain.state().retirements();
        let others = self.relay.registry().nodes().filter(|node| {
            node.role == Role::Backend && node.member != member && !retiring.contains_member(node.member)
        });
        others.map(|node| node.member).collect()
    }
}

/// What all nodes are told of a store; none if it can't be reached anyway.
fn store_record(heartbeat: Heartbeat) -> Option<StoreRecord> {
    Some(StoreRecord {
        service: heartbeat.service,
        address: heartbeat.address.parse().ok()?,
        zone: heartbeat.zone,
        software: heartbeat.version,
        slots: heartbeat.slots,
        state: heartbeat.state,
        models: heartbeat.models,
    })
}
