//! Sends commands to the head of the control chain and receives their outcomes. Drives [`Submissions`].

mod submissions;

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::ChainEvent;
use gingerledge_wire::{Command, CommandOutcome, ControlMessage, Envelope};
use snafu::Snafu;
use tokio::sync::oneshot::Sender;

use super::chain_host::ChainHost;
use super::clock::Clock;
use super::messenger::Messenger;
use super::peers::PeerDirectory;
use super::request::BeginRetirementOutcome;
use super::submitted_command::SubmittedCommand;

pub use submissions::{SubmissionSettings, Submissions};

/// Maximum time for which a caller waits for an outcome.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time for which the coordinator waits for the outcome of its own command.
const COORDINATOR_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Identifies a command that the coordinator has submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CoordinatorCommand {
    /// The command allocates the coordinator's fencing token.
    FencingToken,
    /// The command completes the handover from the previous coordinator.
    Handover,
    /// The command changes the chain of the partition with this number.
    Partition(u16),
    /// The command registers the address of the backend whose disk has this identity.
    Backend(u64),
    /// The command completes the retirement of a backend.
    Retirement,
}

/// The outcome of a command of the coordinator; `None` if it is not known.
#[derive(Debug)]
pub(super) struct CoordinatorOutcome {
    pub command: CoordinatorCommand,
    pub outcome: Option<CommandOutcome>,
}

/// The party that waits for the outcome of a command.
#[derive(Debug)]
enum Waiter {
    /// An HTTP call of the operator or of a trainer.
    Call(Sender<Option<CommandOutcome>>),
    /// An HTTP call that begins a retirement.
    RetirementCall(Sender<BeginRetirementOutcome>),
    /// The coordinator tasks of this node.
    Coordinator(CoordinatorCommand),
}

impl Waiter {
    /// Delivers an outcome: a call is answered, and an outcome for the coordinator is returned.
    fn complete(self, outcome: Option<CommandOutcome>) -> Option<CoordinatorOutcome> {
        match self {
            // Callers may have stopped waiting.
            Self::Call(reply) => {
                let _ = reply.send(outcome);
                None
            }
            Self::RetirementCall(reply) => {
                let is_applied = outcome == Some(CommandOutcome::Applied);
                let _ = reply.send(if is_applied {
                    BeginRetirementOutcome::Accepted
                } else {
                    BeginRetirementOutcome::Unavailable
                });
                None
            }
            Self::Coordinator(command) => Some(CoordinatorOutcome { command, outcome }),
        }
    }
}

/// Error: too many commands are in flight.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("too many commands are in flight"))]
pub(super) struct TooManyCommands;

/// The commands of this node that are in flight. Also forwards the commands of other nodes to the chain.
#[derive(Debug)]
pub(super) struct CommandClient {
    clock: Clock,
    messenger: Messenger,
    submissions: Submissions<Waiter>,
}

impl CommandClient {
    /// Creates a client whose requests are numbered from after `first_request`, which differs between incarnations.
    pub(super) fn new(clock: Clock, messenger: Messenger, first_request: u64) -> Self {
        let submissions = Submissions::new(SubmissionSettings::default(), first_request);
        Self { clock, messenger, submissions }
    }

    /// Submits the command of an HTTP call.
    pub(super) fn submit_call(&mut self, command: Command, reply: Sender<Option<CommandOutcome>>) {
        self.submit(command, CALL_TIMEOUT, Waiter::Call(reply));
    }

    /// Submits the command of an HTTP call that begins a retirement.
    pub(super) fn submit_retirement(&mut self, command: Command, reply: Sender<BeginRetirementOutcome>) {
        self.submit(command, CALL_TIMEOUT, Waiter::RetirementCall(reply));
    }

    /// Submits a command of the coordinator, whose outcome is returned under `id`.
    ///
    /// # Errors
    ///
    /// Too many commands are in flight. The command is not submitted, and no outcome follows.
    pub(super) fn submit_for_coordinator(
        &mut self,
        command: Command,
        id: CoordinatorCommand,
    ) -> Result<(), TooManyCommands> {
        match self.submit(command, COORDINATOR_COMMAND_TIMEOUT, Waiter::Coordinator(id)) {
            None => Ok(()),
            Some(_) => Err(TooManyCommands),
        }
    }

    fn submit(&mut self, command: Command, timeout: Duration, waiter: Waiter) -> Option<CoordinatorOutcome> {
        let rejected_waiter = self.submissions.add(self.clock.now(), command, timeout, waiter).err()?;
        rejected_waiter.complete(None)
    }

    /// Sends the commands that are due to the head of the chain.
    pub(super) fn send_due(&mut self, now: Duration, chain: &mut ChainHost, directory: &PeerDirectory) {
        for (request, command) in self.submissions.take_due(now) {
            let reply_to = self.messenger.own_record().address;
            if !self.send_to_head(SubmittedCommand { request, reply_to, command }, chain, directory) {
                self.submissions.on_send_failed(now, request);
            }
        }
    }

    /// Passes a command to the head, which is this node or another one. Returns whether the command was passed on.
    fn send_to_head(
        &self,
        submitted: SubmittedCommand,
        chain: &mut ChainHost,
        directory: &PeerDirectory,
    ) -> bool {
        let Some(head) = chain.head() else { return false };
        if chain.is_head() {
            chain.handle_event(ChainEvent::Submit { command: submitted.encode() });
            return true;
        }
        let Some(address) = directory.address(head.0) else { return false };
        let SubmittedCommand { request, reply_to, command } = submitted;
        let message = Envelope::Control(ControlMessage::Submit { request, reply_to, command });
        self.messenger.try_send(address, &message)
    }

    /// Processes a command from another control node that considers this node the head.
    pub(super) fn on_forwarded(&self, submitted: SubmittedCommand, chain: &mut ChainHost) {
        if chain.is_head() {
            chain.handle_event(ChainEvent::Submit { command: submitted.encode() });
        } else {
            self.reply(submitted.reply_to, submitted.request, None);
        }
    }

    /// Processes a command that the chain has rejected: its submitter has to send it again.
    pub(super) fn on_rejected(&mut self, bytes: &[u8]) {
        let Ok(SubmittedCommand { request, reply_to, .. }) = SubmittedCommand::decode(bytes) else { return };
        if reply_to == self.messenger.own_record().address {
            self.submissions.on_send_failed(self.clock.now(), request);
        } else {
            self.reply(reply_to, request, None);
        }
    }

    /// Sends the outcome of a command to its submitter; `None` if the chain has rejected it.
    pub(super) fn reply(&self, to: SocketAddr, request: u64, outcome: Option<CommandOutcome>) {
        self.messenger.send(to, Envelope::Control(ControlMessage::SubmitResponse { request, outcome }));
    }

    /// Processes the outcome of a command of this node; `None` if it was rejected and has to be sent again.
    pub(super) fn on_outcome(
        &mut self,
        request: u64,
        outcome: Option<CommandOutcome>,
    ) -> Option<CoordinatorOutcome> {
        match outcome {
            Some(outcome) => self.submissions.complete(request)?.complete(Some(outcome)),
            None => {
                self.submissions.on_send_failed(self.clock.now(), request);
                None
            }
        }
    }

    /// Processes the installation of a view: commands sent to the previous head may be lost and are sent again.
    pub(super) fn on_view_installed(&mut self) {
        self.submissions.on_view_installed(self.clock.now());
    }

    /// Removes the commands whose deadline has passed, and returns the unknown outcomes of those of the coordinator.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<CoordinatorOutcome> {
        let expired_waiters = self.submissions.expire(now);
        expired_waiters.into_iter().filter_map(|waiter| waiter.complete(None)).collect()
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.submissions.next_timer()
    }
}
