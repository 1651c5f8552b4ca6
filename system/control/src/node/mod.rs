//! One control node: the driver that gives events to the machines (chain, relay, lease, sessions, coordinator) and carries their
//! actions out. It owns the internal network, the disk and the timers, and runs as one task; whatever else the process does asks it
//! through a bounded queue of [`Request`]s.

mod acknowledgements;
mod chain_actions;
mod chain_host;
mod chain_replicas;
mod clock;
mod commands;
mod coordinator_tasks;
mod disk;
mod lease;
mod messages;
mod messenger;
mod peers;
mod reads;
mod relay_host;
mod request;
mod requests;
mod retirement;
mod session_host;
mod start;
mod status;

use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::ChainEvent;
use gingerledge_protocol::Settings;
use gingerledge_relay::RelayEvent;
use gingerledge_storage::WriterEvent;
use gingerledge_transport::Inbox;
use gingerledge_wire::Envelope;
use snafu::Snafu;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};

use crate::state::SnapshotError;

pub use commands::{SubmissionSettings, Submissions};
pub use peers::{HelloOutcome, PeerDirectory, MAX_PEERS};
pub use request::{Accepted, BeginRetire, Confirmed, Request};
pub use start::{start, Handles, StartError};

use acknowledgements::EndAcknowledgements;
use chain_host::ChainHost;
use chain_replicas::ChainReplicas;
use clock::Clock;
use commands::CommandClient;
use coordinator_tasks::{CoordinatorTasks, CoordinatorView, LoadResult};
use disk::Disk;
use lease::LeaseDriver;
use messenger::Messenger;
use peers::Peers;
use reads::PendingReads;
use relay_host::RelayHost;
use session_host::SessionHost;

/// Time between looks at what has no timer of its own.
const HOUSEKEEPING: Duration = Duration::from_millis(100);
/// Most events that are taken from one source before the machines' actions are carried out.
const EVENTS_AT_ONCE: usize = 64;
/// A pause of the whole process longer than this is told to the sessions.
const PROCESS_PAUSE: Duration = Duration::from_millis(700);
/// What is under way when the process is told to stop has this long.
const LONGEST_STOP: Duration = Duration::from_millis(1_500);
/// Why a control node can't go on. What all nodes hold alike can't be read or written here: going on could only make this copy
/// differ from the others, so the process ends.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The whole state.
    #[snafu(display("{source}"))]
    Snapshot {
        /// Why.
        source: SnapshotError,
    },
    /// A committed command.
    #[snafu(display("entry {sequence} of the control chain is unreadable"))]
    Entry {
        /// Its number.
        sequence: u64,
    },
}

/// One control node.
pub struct Node {
    settings: Arc<Settings>,
    clock: Clock,
    messenger: Messenger,
    chain: ChainHost,
    disk: Disk,
    relay: RelayHost,
    sessions: SessionHost,
    peers: Peers,
    commands: CommandClient,
    reads: PendingReads,
    acknowledgements: EndAcknowledgements,
    lease: LeaseDriver,
    coordinator: CoordinatorTasks,
    last_housekeeping: Duration,
    /// Why this node takes part in nothing more.
    failure: Option<NodeError>,
}

/// Where a node's events come from.
pub struct Sources {
    inbox: Inbox<Envelope>,
    requests: Receiver<Request>,
    disk: UnboundedReceiver<WriterEvent>,
    load_results: UnboundedReceiver<LoadResult>,
}

impl Node {
    /// Runs until `stop` resolves, and then until nobody asks any more, but not for long. Ends at once when it can't go on.
    pub async fn run(
        mut self,
        mut sources: Sources,
        stop: impl std::future::Future<Output = ()>,
    ) -> Result<(), NodeError> {
        tokio::pin!(stop);
        let mut stopped_at = None;
        loop {
            self.settle();
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
            if stopped_at.is_some_and(|at| self.clock.now() >= at + LONGEST_STOP) {
                break;
            }
            let timer = tokio::time::sleep_until(self.clock.instant(self.next_timer()));
            tokio::select! {
                event = sources.inbox.next() => match event {
                    Some(event) => self.take_messages(event, &mut sources.inbox),
                    None => break,
                },
                request = sources.requests.recv() => match request {
                    Some(request) => self.on_requests(request, &mut sources.requests),
                    None => break,
                },
                Some(event) = sources.disk.recv() => self.on_disk_event(event),
                Some(result) = sources.load_results.recv() => self.on_load_result(result),
                () = &mut stop, if stopped_at.is_none() => {
                    stopped_at = Some(self.clock.now());
                    self.begin_stop();
                }
                () = timer => {}
            }
        }
        self.peers.send_goodbyes();
        tokio::time::sleep(Duration::from_millis(20)).await;
        Ok(())
    }

    fn fail(&mut self, failure: NodeError) {
        log::error!("{failure}");
        self.failure.get_or_insert(failure);
    }

    fn on_requests(&mut self, first: Request, requests: &mut Receiver<Request>) {
        self.on_request(first);
        for _ in 1..EVENTS_AT_ONCE {
            match requests.try_recv() {
                Ok(request) => self.on_request(request),
                Err(_) => break,
            }
        }
    }

    /// Runs whatever is due, until the machines have nothing more to do now.
    fn settle(&mut self) {
        let now = self.clock.now();
        self.run_timers(now);
        self.process_chain_actions();
        self.commands.send_due(now, &mut self.chain, self.peers.directory());
        self.process_chain_actions();
        self.sessions.send_due_batches(now, self.relay.registry());
        self.process_acknowledgements(now);
        self.process_chain_actions();
    }

    fn run_timers(&mut self, now: Duration) {
        self.chain.handle_timeout(now);
        self.relay.handle_timeout(now);
        self.lease.handle_timeout(now, self.peers.directory(), &mut self.coordinator);
        if now >= self.last_housekeeping + HOUSEKEEPING {
            self.keep_house(now);
        }
    }

    fn keep_house(&mut self, now: Duration) {
        if now.saturating_sub(self.last_housekeeping) > PROCESS_PAUSE {
            log::warn!("this process did not run for {:?}", now - self.last_housekeeping);
            self.sessions.restart_timeouts(now);
            self.coordinator.restart_timeouts(now);
            self.peers.restart_timeouts(now);
        }
        self.last_housekeeping = now;
        if self.disk.poll_rewrite(now) {
            self.write_snapshot();
        }
        self.send_hellos(now);
        self.expire_peers(now);
        self.expire_sessions(now);
        for outcome in self.commands.expire(now) {
            self.coordinator.on_command_outcome(outcome);
        }
        self.run_coordinator(now);
    }

    fn next_timer(&self) -> Duration {
        let timers = [
            self.chain.next_timer(),
            self.relay.next_timer(),
            self.lease.next_timer(),
            self.commands.next_timer(),
            self.sessions.next_timer(),
            self.acknowledgements.next_timer(),
        ];
        let housekeeping = self.last_housekeeping + HOUSEKEEPING;
        timers.into_iter().flatten().fold(housekeeping, Duration::min)
    }

    fn send_hellos(&mut self, now: Duration) {
        let replicas = ChainReplicas::new(&self.chain, self.peers.directory(), self.sessions.replication());
        let are_members_connected = replicas.are_all_connected();
        if self.peers.send_due_hellos(now, are_members_connected) {
            let control_nodes = self.peers.advertised_addresses();
            self.relay.handle_event(RelayEvent::ControlNodesKnown(control_nodes));
        }
    }

    fn run_coordinator(&mut self, now: Duration) {
        if self.relay.poll_new_weight_inputs() {
            self.coordinator.on_weight_inputs_changed();
        }
        let view = CoordinatorView {
            state: self.chain.state(),
            registry: self.relay.registry(),
            directory: self.peers.directory(),
        };
        let lease_until = self.lease.held_until(now);
        self.coordinator.run(now, lease_until, view, &mut self.commands);
    }

    fn on_load_result(&mut self, result: LoadResult) {
        let now = self.clock.now();
        self.coordinator.on_load_result(now, result, &mut self.sessions, &mut self.relay);
    }

    /// Loses the peers that have become unreachable.
    fn expire_peers(&mut self, now: Duration) {
        for peer in self.peers.expire(now) {
            self.on_peer_lost(peer);
        }
    }

    /// Expires sessions. An isolated member of the chain receives no heartbeats, and expires none: the sources are alive to the others.
    fn expire_sessions(&mut self, now: Duration) {
        self.sessions.publish_own_record(&mut self.relay);
        if self.chain.is_in_chain() && !self.relay.is_fresh(now) {
            self.sessions.restart_timeouts(now);
        } else {
            self.sessions.expire(now, &mut self.relay);
        }
    }

    /// Has the chain confirm its membership where an end of a store waits for that.
    fn process_acknowledgements(&mut self, now: Duration) {
        self.acknowledgements.expire(now);
        let replicas = ChainReplicas::new(&self.chain, self.peers.directory(), self.sessions.replication());
        if let Some(token) = self.acknowledgements.request_confirmation(&replicas, &mut self.reads) {
            self.chain.handle_event(ChainEvent::Read { token });
        }
    }

    fn on_membership_confirmed(&mut self, token: u64, is_confirmed: bool) {
        let replicas = ChainReplicas::new(&self.chain, self.peers.directory(), self.sessions.replication());
        self.acknowledgements.on_read_finished(token, is_confirmed, &replicas);
    }

    fn begin_stop(&mut self) {
        self.peers.stop();
        self.lease.release(self.peers.directory(), &mut self.coordinator);
    }
}
