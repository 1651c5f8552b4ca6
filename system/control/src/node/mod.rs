//! A control node: its components, and the event loop that passes events and outputs between them.
//!
//! The state machines do no I/O: the chain replicates the commands, the relay distributes the registry, the lease elects the
//! coordinator, sessions track stores and nodes by their heartbeats, and the planners determine what the coordinator should
//! change. Each state machine has a component in this module that drives it and owns the state needed for that. The event loop
//! runs as one task: it waits for a message, a request, an event of the storage thread, the result of a load, or a timer; passes
//! it to a component ([`routing`]); and processes the resulting outputs until there are none.
//!
//! All other tasks of the process send their [`Request`]s through a bounded queue.

mod acknowledgements;
mod chain_host;
mod chain_replicas;
mod clock;
mod commands;
mod coordinator_tasks;
mod disk;
mod lease;
mod messenger;
mod peers;
mod reads;
mod relay_host;
mod request;
mod retirement;
mod routing;
mod session_host;
mod start;
mod status;
mod submitted_command;

use std::time::Duration;

use gingerledge_chain::ChainEvent;
use gingerledge_relay::RelayEvent;
use gingerledge_storage::WriterEvent;
use gingerledge_transport::Inbox;
use gingerledge_wire::Envelope;
use snafu::Snafu;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};

use crate::state::SnapshotError;

pub use commands::{SubmissionSettings, Submissions};
pub use peers::{HelloOutcome, PeerDirectory, MAX_PEERS};
pub use request::{Acknowledgement, BeginRetirementOutcome, Confirmed, Request};
pub use start::{start, Handles, StartError};

use acknowledgements::SessionEndAcknowledgements;
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

/// Interval of the periodic checks that have no timer of their own.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of events that one pass of the event loop processes from one source.
const MAX_EVENTS_PER_PASS: usize = 64;
/// If the time since the last housekeeping exceeds this, the process was suspended and received nothing, so time-outs are
/// restarted.
const STALL_THRESHOLD: Duration = Duration::from_millis(700);
/// Maximum time for which the node continues to answer requests after the process was asked to stop.
const MAX_SHUTDOWN_DURATION: Duration = Duration::from_millis(1_500);
/// Delay before the process exits, so that the goodbye messages are sent.
const GOODBYE_FLUSH_TIME: Duration = Duration::from_millis(20);

/// An error after which a control node can't continue: replicated state can't be read or written. A node that continued could
/// only diverge from the other replicas, so the process ends.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A snapshot of the state can't be encoded or decoded.
    #[snafu(display("{source}"))]
    Snapshot {
        /// The error of the snapshot.
        source: SnapshotError,
    },
    /// A committed command can't be decoded.
    #[snafu(display("entry {index} of the control chain is unreadable"))]
    Entry {
        /// Index of the command's entry in the chain.
        index: u64,
    },
}

/// A control node. Each component owns its state; a handler receives whatever else it accesses as arguments.
pub struct Node {
    clock: Clock,
    messenger: Messenger,
    chain: ChainHost,
    disk: Disk,
    relay: RelayHost,
    peers: Peers,
    sessions: SessionHost,
    acknowledgements: SessionEndAcknowledgements,
    commands: CommandClient,
    reads: PendingReads,
    lease: LeaseDriver,
    coordinator: CoordinatorTasks,
    /// Number of machines that may fail at the same time.
    fault_tolerance: usize,
    last_housekeeping_at: Duration,
    /// The error that ends the event loop, if one has occurred.
    failure: Option<NodeError>,
}

/// The sources of a node's events.
pub struct Sources {
    inbox: Inbox<Envelope>,
    requests: Receiver<Request>,
    disk: UnboundedReceiver<WriterEvent>,
    load_results: UnboundedReceiver<LoadResult>,
}

impl Node {
    /// Runs until `stop` resolves, and then until the request queue is closed, or for [`MAX_SHUTDOWN_DURATION`].
    ///
    /// # Errors
    ///
    /// The replicated state can't be read or written here.
    pub async fn run(
        mut self,
        mut sources: Sources,
        stop: impl std::future::Future<Output = ()>,
    ) -> Result<(), NodeError> {
        tokio::pin!(stop);
        let mut stop_requested_at = None;
        loop {
            self.process_outputs();
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
            if stop_requested_at.is_some_and(|at| self.clock.now() >= at + MAX_SHUTDOWN_DURATION) {
                break;
            }
            let timer = tokio::time::sleep_until(self.clock.instant(self.next_timer()));
            tokio::select! {
                event = sources.inbox.next() => match event {
                    Some(event) => self.on_messages(event, &mut sources.inbox),
                    None => break,
                },
                request = sources.requests.recv() => match request {
                    Some(request) => self.on_requests(request, &mut sources.requests),
                    None => break,
                },
                Some(event) = sources.disk.recv() => self.on_disk_event(event),
                Some(result) = sources.load_results.recv() => self.on_load_result(result),
                () = &mut stop, if stop_requested_at.is_none() => {
                    stop_requested_at = Some(self.clock.now());
                    self.begin_shutdown();
                }
                () = timer => {}
            }
        }
        self.peers.send_goodbyes();
        tokio::time::sleep(GOODBYE_FLUSH_TIME).await;
        Ok(())
    }

    fn fail(&mut self, failure: NodeError) {
        log::error!("{failure}");
        self.failure.get_or_insert(failure);
    }

    /// Runs one pass of the event loop after an event: runs the timers that are due, and processes the outputs of all components.
    fn process_outputs(&mut self) {
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
        if now >= self.last_housekeeping_at + HOUSEKEEPING_INTERVAL {
            self.run_housekeeping(now);
        }
    }

    fn run_housekeeping(&mut self, now: Duration) {
        let since_last = now.saturating_sub(self.last_housekeeping_at);
        if since_last > STALL_THRESHOLD {
            log::warn!(duration:? = since_last; "process stalled");
            self.sessions.restart_timeouts(now);
            self.coordinator.restart_timeouts(now);
            self.peers.restart_timeouts(now);
        }
        self.last_housekeeping_at = now;
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
        let next_housekeeping = self.last_housekeeping_at + HOUSEKEEPING_INTERVAL;
        timers.into_iter().flatten().fold(next_housekeeping, Duration::min)
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

    /// Processes the loss of peers that have become unreachable.
    fn expire_peers(&mut self, now: Duration) {
        for peer in self.peers.expire(now) {
            self.on_peer_lost(peer);
        }
    }

    /// Expires sessions. An isolated member of the chain receives no heartbeats and expires no sessions, since their sources may
    /// be alive to the other members.
    fn expire_sessions(&mut self, now: Duration) {
        self.sessions.publish_own_record(&mut self.relay);
        if self.chain.is_in_chain() && !self.relay.is_fresh(now) {
            self.sessions.restart_timeouts(now);
        } else {
            self.sessions.expire(now, &mut self.relay);
        }
    }

    /// Makes the chain confirm its membership if the acknowledgement of a store's end needs that.
    fn process_acknowledgements(&mut self, now: Duration) {
        self.acknowledgements.expire(now);
        let replicas = ChainReplicas::new(&self.chain, self.peers.directory(), self.sessions.replication());
        if let Some(token) = self.acknowledgements.request_confirmation(&replicas, &mut self.reads) {
            self.chain.handle_event(ChainEvent::Read { token });
        }
    }

    fn begin_shutdown(&mut self) {
        self.peers.stop();
        self.lease.release(self.peers.directory(), &mut self.coordinator);
    }
}
