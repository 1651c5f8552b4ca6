//! Routes the requests of the HTTP side to the components that answer them.

use gingerledge_chain::ChainEvent;
use gingerledge_protocol::{ConfigurationDocument, Heartbeat, StoreState};
use gingerledge_wire::{Command, Key, StoreRecord};
use tokio::sync::oneshot::Sender;

use super::reads::PendingRead;
use super::request::{Accepted, BeginRetire, Request};
use super::retirement::RetirementCheck;
use super::Node;

impl Node {
    pub(super) fn on_request(&mut self, request: Request) {
        match request {
            Request::Submit { command, reply } => self.commands.submit_call(command, reply),
            Request::ReadConfiguration { reply } => self.begin_read(PendingRead::Configuration { reply }),
            Request::ReadRetire { name, reply } => {
                self.begin_read(PendingRead::RetirementState { name, reply });
            }
            Request::BeginRetire { name, reply } => {
                self.begin_read(PendingRead::BeginRetirement { name, reply });
            }
            Request::Heartbeat { id, heartbeat, reply } => self.on_store_heartbeat(id, heartbeat, reply),
            Request::Deregister { id, reply } => {
                let key = Key::Store(id);
                self.sessions.end(key.clone(), &mut self.relay);
                self.acknowledgements.add(self.clock.now(), key, reply);
            }
            Request::Status { reply } => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn begin_read(&mut self, read: PendingRead) {
        if let Some(token) = self.reads.add(read) {
            self.chain.handle_event(ChainEvent::Read { token });
        }
    }

    /// The chain has confirmed that the state here was up to date when the read came, or could not.
    pub(super) fn on_read_finished(&mut self, token: u64, is_confirmed: bool) {
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
                let _ = reply.send(BeginRetire::Unavailable);
            }
            PendingRead::MembershipConfirmation => self.on_membership_confirmed(token, is_confirmed),
        }
    }

    fn begin_retirement(&mut self, name: String, reply: Sender<BeginRetire>) {
        let check = RetirementCheck {
            now: self.clock.now(),
            fault_tolerance: self.settings.fault_tolerance.machines,
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

    /// An end of a store is acknowledged once the chain has it, other heartbeats at once unless this node is isolated: stores that used
    /// it would be lost to the others. Dropping the reply sends the store to another control node.
    fn on_store_heartbeat(&mut self, id: String, heartbeat: Heartbeat, reply: Sender<Accepted>) {
        let is_draining = heartbeat.state == StoreState::Draining;
        let sequence = heartbeat.sequence;
        let key = Key::Store(id);
        let Some(record) = store_record(heartbeat) else {
            let _ = reply.send(Accepted { chain_is_fresh: false });
            return;
        };
        let now = self.clock.now();
        let is_newest = self.sessions.on_store_heartbeat(now, &key, sequence, record, &mut self.relay);
        let now = self.clock.now();
        if is_draining {
            // A later heartbeat is replicated by the node that received it, so this one does not know who has it.
            if is_newest {
                self.acknowledgements.add(now, key, reply);
            }
        } else if !self.relay.is_isolated(now) {
            let _ = reply.send(Accepted { chain_is_fresh: self.relay.is_fresh(now) });
        }
    }
}

/// The record of a store in the registry; none if its address can't be read.
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
