//! One control node: its components, and the event loop that passes events and outputs between them.
//!
//! The machines do no I/O: the chain replicates the commands, the relay distributes the registry, the lease elects the coordinator, sessions
//! follow stores and nodes, and the planners say what the coordinator should change. Each has a component here that drives it, and that
//! owns whatever state the driving needs. The loop runs as one task: it waits for a message, a request, an event of the storage thread, the
//! result of a load, or a timer; gives it to a component ([`routing`]); and carries out what follows from it, until nothing does.
//!
//! Everything else in the process sends its [`Request`]s through a bounded queue.

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
pub use request::{Acknowledged, BeginRetirementOutcome, Confirmed, Request};
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

/// Time between the checks of what has no timer of its own.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Most events of one source in one pass of the event loop.
const MAX_EVENTS_PER_PASS: usize = 64;
/// If a pass comes later than this, the process stood still and received nothing, so time-outs start anew.
const STALL_THRESHOLD: Duration = Duration::from_millis(700);
/// Requests in progress are answered within this time after the process was asked to stop.
const MAX_SHUTDOWN: Duration = Duration::from_millis(1_500);
/// Goodbyes leave the process within this time.
const GOODBYE_FLUSH: Duration = Duration::from_millis(20);

/// Why a control node can't continue: replicated state can't be read or written here. Continuing could only make this replica differ from
/// the others, so the process ends.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A snapshot of the state.
    #[snafu(display("{source}"))]
    Snapshot {
        /// Why.
        source: SnapshotError,
    },
    /// A committed command.
    #[snafu(display("entry {index} of the control chain is unreadable"))]
    Entry {
        /// Its index in the chain.
        index: u64,
    },
}

/// One control node: its components, and the event loop between them. Each component owns its state; a handler names what else it
/// touches among its arguments.
pub struct Node {
    clock: Clock,
    messenger: Messenger,
    chain: ChainHost,
    disk: Disk,
    relay: RelayHost,
    peers: Peers,
    sessions: SessionHost,
    acknowledgements: EndAcknowledgements,
    commands: CommandClient,
    reads: PendingReads,
    lease: LeaseDriver,
    coordinator: CoordinatorTasks,
    /// How many machines may be lost at a time.
    fault_tolerance: usize,
    last_housekeeping: Duration,
    /// Why the event loop has to end.
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
    /// Runs until `stop` resolves, and then until the request queue is closed, or for [`MAX_SHUTDOWN`].
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
        let mut stopped_at = None;
        loop {
            self.process_outputs();
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
            if stopped_at.is_some_and(|at| self.clock.now() >= at + MAX_SHUTDOWN) {
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
                () = &mut stop, if stopped_at.is_none() => {
                    stopped_at = Some(self.clock.now());
                    self.begin_stop();
                }
                () = timer => {}
            }
        }
        self.peers.send_goodbyes();
        tokio::time::sleep(GOODBYE_FLUSH).await;
        Ok(())
    }

    fn fail(&mut self, failure: NodeError) {
        log::error!("{failure}");
        self.failure.get_or_insert(failure);
    }

    /// One pass of the event loop after an event: runs the timers that are due, and processes the outputs of all components.
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
        if now >= self.last_housekeeping + HOUSEKEEPING_INTERVAL {
            self.run_housekeeping(now);
        }
    }

    fn run_housekeeping(&mut self, now: Duration) {
        let since_last = now.saturating_sub(self.last_housekeeping);
        if since_last > STALL_THRESHOLD {
            log::warn!(duration:? = since_last; "process stalled");
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
        let housekeeping = self.last_housekeeping + HOUSEKEEPING_INTERVAL;
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

    fn begin_stop(&mut self) {
        self.peers.stop();
        self.lease.release(self.peers.directory(), &mut self.coordinator);
    }
}
