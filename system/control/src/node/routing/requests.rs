//! Routes the requests of the HTTP server to the components that answer them.

use gingerledge_chain::ChainEvent;
use gingerledge_protocol::{ConfigurationDocument, Heartbeat, StoreState};
use gingerledge_wire::{Command, Key, StoreRecord};
use tokio::sync::mpsc::Receiver;
use tokio::sync::oneshot::Sender;

use crate::node::chain_replicas::ChainReplicas;
use crate::node::reads::PendingRead;
use crate::node::request::{Acknowledgement, BeginRetirementOutcome, Request};
use crate::node::retirement::RetirementCheck;
use crate::node::status::StatusReport;
use crate::node::{Node, MAX_EVENTS_PER_PASS};

impl Node {
    /// Processes a request, and further ones from the queue up to [`MAX_EVENTS_PER_PASS`] in total.
    pub(in crate::node) fn on_requests(&mut self, first: Request, requests: &mut Receiver<Request>) {
        self.on_request(first);
        for _ in 1..MAX_EVENTS_PER_PASS {
            match requests.try_recv() {
                Ok(request) => self.on_request(request),
                Err(_) => break,
            }
        }
    }

    fn on_request(&mut self, request: Request) {
        match request {
            Request::Submit { command, reply } => self.commands.submit_call(command, reply),
            Request::ReadConfiguration { reply } => self.begin_read(PendingRead::Configuration { reply }),
            Request::ReadRetirement { name, reply } => {
                self.begin_read(PendingRead::RetirementState { name, reply });
            }
            Request::BeginRetirement { name, reply } => {
                self.begin_read(PendingRead::BeginRetirement { name, reply });
            }
            Request::Heartbeat { id, heartbeat, reply } => self.on_store_heartbeat(id, heartbeat, reply),
            Request::Deregister { id, reply } => {
                let key = Key::Store(id);
                self.sessions.end(key.clone(), &mut self.relay);
                self.acknowledgements.add(self.clock.now(), key, reply);
            }
            Request::Status { reply } => {
                let _ = reply.send(self.status_json());
            }
        }
    }

    fn status_json(&self) -> String {
        let report = StatusReport {
            own_record: self.messenger.own_record(),
            chain: &self.chain,
            registry: self.relay.registry(),
            peers: &self.peers,
            sessions: self.sessions.counts(),
            leadership: self.coordinator.leadership(),
            is_lease_held: self.lease.held_until(self.clock.now()).is_some(),
            pending_disk_writes: self.disk.pending_writes(),
        };
        report.to_json()
    }

    fn begin_read(&mut self, read: PendingRead) {
        if let Some(token) = self.reads.add(read) {
            self.chain.handle_event(ChainEvent::Read { token });
        }
    }

    /// Completes a read after the chain has confirmed, or failed to confirm, that the state at this node was up to date when the
    /// read started.
    pub(in crate::node) fn on_read_finished(&mut self, token: u64, is_confirmed: bool) {
        let Some(read) = self.reads.remove(token) else { return };
        match read {
            PendingRead::Configuration { reply } => {
                let document = self.chain.state().configuration().document();
                let json = document.map(ConfigurationDocument::to_json);
                let _ = reply.send(is_confirmed.then_some(json));
            }
            PendingRead::RetirementState { name, reply } => {
                let retirement = self.chain.state().retirements().get(&name);
                let _ = reply.send(is_confirmed.then_some(retirement.map(|retirement| retirement.state)));
            }
            PendingRead::BeginRetirement { name, reply } if is_confirmed => {
                self.begin_retirement(name, reply);
            }
            PendingRead::BeginRetirement { reply, .. } => {
                let _ = reply.send(BeginRetirementOutcome::Unavailable);
            }
            PendingRead::MembershipConfirmation => {
                let directory = self.peers.directory();
                let replicas = ChainReplicas::new(&self.chain, directory, self.sessions.replication());
                self.acknowledgements.on_read_finished(token, is_confirmed, &replicas);
            }
        }
    }

    fn begin_retirement(&mut self, name: String, reply: Sender<BeginRetirementOutcome>) {
        let check = RetirementCheck {
            now: self.clock.now(),
            fault_tolerance: self.fault_tolerance,
            state: self.chain.state(),
            registry: self.relay.registry(),
        };
        match check.member_to_retire(&name) {
            Ok(member) => {
                self.commands.submit_retirement(Command::BeginRetirement { name, member }, reply);
            }
            Err(refusal) => {
                let _ = reply.send(refusal);
            }
        }
    }

    /// Processes the heartbeat of a store. Draining is acknowledged once all members of the chain have the change. Other
    /// heartbeats are acknowledged at once, unless this node is isolated: the other nodes would lose the stores that report to
    /// it. Dropping the reply redirects the store to another control node.
    fn on_store_heartbeat(&mut self, id: String, heartbeat: Heartbeat, reply: Sender<Acknowledgement>) {
        let is_draining = heartbeat.state == StoreState::Draining;
        let sequence = heartbeat.sequence;
        let key = Key::Store(id);
        let Some(record) = store_record(heartbeat) else {
            let _ = reply.send(Acknowledgement { is_chain_fresh: false });
            return;
        };
        let now = self.clock.now();
        let is_newest = self.sessions.on_store_heartbeat(now, &key, sequence, record, &mut self.relay);
        let now = self.clock.now();
        if is_draining {
            // A later heartbeat is replicated by the node that received it, so this node does not know which nodes have it.
            if is_newest {
                self.acknowledgements.add(now, key, reply);
            }
        } else if !self.relay.is_isolated(now) {
            let _ = reply.send(Acknowledgement { is_chain_fresh: self.relay.is_fresh(now) });
        }
    }
}

/// The registry record of a store; `None` if its address can't be parsed.
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
