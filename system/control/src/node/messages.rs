//! Internal messages, by whom they are for.

use std::net::SocketAddr;

use gingerledge_relay::{Action, Event};
use gingerledge_transport::{Inbox, Incoming};
use gingerledge_wire::{ControlMessage, Entry, Envelope, Key};

use super::{Node, EVENTS_AT_ONCE};

impl Node {
    pub(super) fn take_messages(&mut self, first: Incoming<Envelope>, inbox: &mut Inbox<Envelope>) {
        self.take_incoming(first);
        for _ in 1..EVENTS_AT_ONCE {
            match inbox.try_next() {
                Some(event) => self.take_incoming(event),
                None => break,
            }
        }
    }

    fn take_incoming(&mut self, event: Incoming<Envelope>) {
        match event {
            Incoming::Message { from, message } => self.take_message(from, message),
            Incoming::Lost { peer, refused } => {
                self.relay_event(Event::Lost { peer });
                if refused {
                    self.peer_refused(peer);
                }
            }
        }
    }

    fn take_message(&mut self, from: SocketAddr, message: Envelope) {
        self.peer_heard(from);
        match message {
            Envelope::Chain { from, message } => self.take_chain_message(from, message),
            Envelope::Lease { from, message } => self.take_lease_message(from, message),
            Envelope::Control(message) => self.take_control_message(from, message),
            Envelope::Relay(message) => self.relay_event(Event::Message { from, message }),
            Envelope::Jobs(_) | Envelope::Partition { .. } => {
                log::debug!("a message for another plane came from {from}");
            }
        }
    }

    fn take_control_message(&mut self, from: SocketAddr, message: ControlMessage) {
        match message {
            ControlMessage::Heartbeat { node, sequence, report } => {
                self.take_node_heartbeat(from, node, sequence, report);
            }
            ControlMessage::Farewell { incarnation } => self.take_farewell(incarnation),
            ControlMessage::Introduce { node, known, answer } => {
                self.take_introduction(from, node, known, answer);
            }
            ControlMessage::Submit { request, reply_to, command } => {
                self.take_submission(request, reply_to, command);
            }
            ControlMessage::Submitted { request, outcome } => self.finish_submission(request, outcome),
            ControlMessage::Share { number, entries } => self.take_share(from, number, entries),
            ControlMessage::Shared { number } => {
                self.sharing.acknowledged(from, number);
                self.announcements.look_again();
            }
            ControlMessage::ModelUsed { model, host, path, min_version } => {
                self.model_used(&model, &host, &path, min_version);
            }
            ControlMessage::HeartbeatTaken { .. } => {}
        }
    }

    pub(super) fn relay_event(&mut self, event: Event) {
        let now = self.now();
        let mut actions = Vec::new();
        self.relay.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, Envelope::Relay(message)),
                Action::Changed(entries) => {
                    if entries.iter().any(|entry| moves_weights(&entry.key)) {
                        self.coordination.weights_changed();
                    }
                }
            }
        }
    }

    /// Entries that are new here go down the tree.
    pub(super) fn learn(&mut self, entries: Vec<Entry>) {
        if !entries.is_empty() {
            self.relay_event(Event::Learned(entries));
        }
    }
}

/// Whether the versions that stores should load depend on it.
fn moves_weights(key: &Key) -> bool {
    matches!(key, Key::Configuration | Key::NamedVersion(_) | Key::Store(_) | Key::Weights(..))
}
