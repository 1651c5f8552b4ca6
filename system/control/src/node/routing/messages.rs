//! Routes internal messages and the results of loads to the components that process them.

use std::net::SocketAddr;

use gingerledge_chain::{ChainEvent, MemberId, MembershipEvent};
use gingerledge_relay::RelayEvent;
use gingerledge_transport::{Inbox, Incoming};
use gingerledge_wire::{BackendReport, ControlMessage, Envelope, Key, NodeRecord, Role};

use crate::node::coordinator_tasks::LoadResult;
use crate::node::submitted_command::SubmittedCommand;
use crate::node::{Node, MAX_EVENTS_PER_PASS};

impl Node {
    /// Processes a message, and further ones from the inbox up to [`MAX_EVENTS_PER_PASS`] in total.
    pub(in crate::node) fn on_messages(&mut self, first: Incoming<Envelope>, inbox: &mut Inbox<Envelope>) {
        self.on_incoming(first);
        for _ in 1..MAX_EVENTS_PER_PASS {
            match inbox.try_next() {
                Some(event) => self.on_incoming(event),
                None => break,
            }
        }
    }

    fn on_incoming(&mut self, event: Incoming<Envelope>) {
        match event {
            Incoming::Message { from, message } => self.on_message(from, message),
            Incoming::Lost { peer, refused } => {
                self.relay.handle_event(RelayEvent::PeerDisconnected { peer });
                if refused && self.peers.on_refused(peer) {
                    self.on_peer_lost(peer);
                }
            }
        }
    }

    fn on_message(&mut self, from: SocketAddr, message: Envelope) {
        self.peers.on_message(self.clock.now(), from);
        match message {
            Envelope::Chain { from, message } => self.on_chain_message(from, message),
            Envelope::Lease { from, message } => {
                let directory = self.peers.directory();
                self.lease.on_message(from, message, directory, &mut self.coordinator);
            }
            Envelope::Control(message) => self.on_control_message(from, message),
            Envelope::Relay(message) => self.relay.handle_event(RelayEvent::Message { from, message }),
            Envelope::Jobs(_) | Envelope::Partition { .. } => {
                log::debug!(from:% = from; "message ignored: it is not for the control plane");
            }
        }
    }

    fn on_control_message(&mut self, from: SocketAddr, message: ControlMessage) {
        match message {
            ControlMessage::Heartbeat { node, sequence, report } => {
                self.on_node_heartbeat(from, &node, sequence, report);
            }
            ControlMessage::Goodbye { incarnation } => {
                self.sessions.end(Key::Node(incarnation), &mut self.relay);
            }
            ControlMessage::Hello { node, known_peers, wants_reply } => {
                self.on_hello(from, &node, known_peers, wants_reply);
            }
            ControlMessage::Submit { request, reply_to, command } => {
                let submitted = SubmittedCommand { request, reply_to, command };
                self.commands.on_forwarded(submitted, &mut self.chain);
            }
            ControlMessage::SubmitResponse { request, outcome } => self.on_command_outcome(request, outcome),
            ControlMessage::ReplicateSessions { sequence, entries } => {
                let now = self.clock.now();
                self.sessions.on_batch(now, from, sequence, entries, &mut self.relay);
            }
            ControlMessage::ReplicateSessionsAck { sequence } => {
                self.sessions.on_batch_acknowledged(from, sequence);
                self.acknowledgements.request_evaluation();
            }
            ControlMessage::ModelUsed { model, host, path, min_version } => {
                let configuration = self.chain.state().configuration();
                self.coordinator.on_model_used(configuration, &model, &host, &path, min_version);
            }
            ControlMessage::HeartbeatAck { .. } => {}
        }
    }

    fn on_node_heartbeat(
        &mut self,
        from: SocketAddr,
        node: &NodeRecord,
        sequence: u64,
        report: Option<BackendReport>,
    ) {
        if node.role == Role::Control || node.address != from {
            return;
        }
        if let Some(report) = report {
            self.coordinator.on_backend_report(self.clock.now(), node, report);
        }
        self.sessions.on_node_heartbeat(self.clock.now(), node, sequence, &mut self.relay);
        let control_nodes = self.peers.advertised_addresses();
        let reply = ControlMessage::HeartbeatAck { sequence, control_nodes };
        self.messenger.send(from, Envelope::Control(reply));
    }

    /// Processes the loss of a control node that has ended or is unreachable: its sessions are taken over, and all entries are
    /// sent to it again once it reconnects.
    pub(in crate::node) fn on_peer_lost(&mut self, peer: SocketAddr) {
        log::info!(address:% = peer; "control peer lost");
        self.sessions.on_peer_lost(self.clock.now(), peer);
    }

    fn on_hello(
        &mut self,
        from: SocketAddr,
        node: &NodeRecord,
        known_peers: Vec<NodeRecord>,
        wants_reply: bool,
    ) {
        let now = self.clock.now();
        let Some(hello) = self.peers.on_hello(now, from, node, known_peers) else { return };
        if hello.is_new_connection {
            self.sessions.on_peer_connected(from, self.relay.registry());
        }
        self.acknowledgements.request_evaluation();
        let member = MemberId(node.member);
        let replaces = hello.replaces.map(MemberId);
        self.chain.handle_event(ChainEvent::View(MembershipEvent::MemberAnnounced { member, replaces }));
        if hello.is_directory_changed {
            log::info!(name:% = node.name, address:% = node.address; "control peer discovered");
            self.disk.append_peers(self.peers.directory().records());
        }
        if wants_reply {
            self.peers.reply_to_hello(from);
        }
    }

    /// Processes the result of a load at a store.
    pub(in crate::node) fn on_load_result(&mut self, result: LoadResult) {
        let now = self.clock.now();
        self.coordinator.on_load_result(now, result, &mut self.sessions, &mut self.relay);
    }
}
