//! Commands on their way to the head of the control chain, and their outcomes on the way back: the driver of [`Submissions`].

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

/// A caller waits for an outcome at most this long.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The coordinator waits for an outcome of its own commands at most this long.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A command that the coordinator has submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CoordinatorCommand {
    /// It allocates its fencing token.
    FencingToken,
    /// It completes the handover from the coordinator before it.
    Handover,
    /// It changes the chain of a partition.
    Partition(u16),
    /// It registers the address of a backend's disk.
    Backend(u64),
    /// It completes the retirement of a backend.
    Retirement,
}

/// The outcome of a command of the coordinator; none if it is not known.
#[derive(Debug)]
pub(super) struct CoordinatorOutcome {
    pub command: CoordinatorCommand,
    pub outcome: Option<CommandOutcome>,
}

/// Who waits for an outcome.
#[derive(Debug)]
enum Origin {
    /// A call of the operator or a trainer.
    Call(Sender<Option<CommandOutcome>>),
    /// A call that begins a retirement.
    RetirementCall(Sender<BeginRetirementOutcome>),
    /// The coordinator tasks of this node.
    Coordinator(CoordinatorCommand),
}

impl Origin {
    /// Answers a call. The outcome for the coordinator is returned.
    fn complete(self, outcome: Option<CommandOutcome>) -> Option<CoordinatorOutcome> {
        match self {
            // Callers may have given up.
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

/// Too many commands are in flight.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("too many commands are in flight"))]
pub(super) struct TooManyCommands;

/// The commands of this node that are in flight, and the forwarding of those of other nodes.
#[derive(Debug)]
pub(super) struct CommandClient {
    clock: Clock,
    messenger: Messenger,
    submissions: Submissions<Origin>,
}

impl CommandClient {
    /// A client whose requests are numbered from `first_request` on, which differs between incarnations.
    pub(super) fn new(clock: Clock, messenger: Messenger, first_request: u64) -> Self {
        let submissions = Submissions::new(SubmissionSettings::default(), first_request);
        Self { clock, messenger, submissions }
    }

    /// Submits the command of a call.
    pub(super) fn submit_call(&mut self, command: Command, reply: Sender<Option<CommandOutcome>>) {
        self.submit(command, CALL_TIMEOUT, Origin::Call(reply));
    }

    /// Submits the command of a call that begins a retirement.
    pub(super) fn submit_retirement(&mut self, command: Command, reply: Sender<BeginRetirementOutcome>) {
        self.submit(command, CALL_TIMEOUT, Origin::RetirementCall(reply));
    }

    /// Submits a command of the coordinator, whose outcome is returned under `id`.
    ///
    /// # Errors
    ///
    /// Too many commands are in flight; there will be no outcome.
    pub(super) fn submit_for_coordinator(
        &mut self,
        command: Command,
        id: CoordinatorCommand,
    ) -> Result<(), TooManyCommands> {
        match self.submit(command, COORDINATOR_TIMEOUT, Origin::Coordinator(id)) {
            None => Ok(()),
            Some(_) => Err(TooManyCommands),
        }
    }

    fn submit(&mut self, command: Command, limit: Duration, origin: Origin) -> Option<CoordinatorOutcome> {
        let rejected = self.submissions.add(self.clock.now(), command, limit, origin).err()?;
        rejected.complete(None)
    }

    /// Sends the commands that are due to the head of the chain.
    pub(super) fn send_due(&mut self, now: Duration, chain: &mut ChainHost, directory: &PeerDirectory) {
        for (request, command) in self.submissions.due(now) {
            let reply_to = self.messenger.own().address;
            if !self.send_to_head(SubmittedCommand { request, reply_to, command }, chain, directory) {
                self.submissions.not_sent(now, request);
            }
        }
    }

    /// Gives a command to the head: this node, or another one. Returns whether there was one to give it to.
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

    /// Another control node submits a command to this one, which it takes for the head.
    pub(super) fn on_forwarded(&self, submitted: SubmittedCommand, chain: &mut ChainHost) {
        if chain.is_head() {
            chain.handle_event(ChainEvent::Submit { command: submitted.encode() });
        } else {
            self.reply(submitted.reply_to, submitted.request, None);
        }
    }

    /// The chain has rejected a command, so its submitter has to try again.
    pub(super) fn on_rejected(&mut self, bytes: &[u8]) {
        let Ok(SubmittedCommand { request, reply_to, .. }) = SubmittedCommand::decode(bytes) else { return };
        if reply_to == self.messenger.own().address {
            self.submissions.not_sent(self.clock.now(), request);
        } else {
            self.reply(reply_to, request, None);
        }
    }

    /// Sends the outcome of a command to its submitter; none if the chain has rejected it.
    pub(super) fn reply(&self, to: SocketAddr, request: u64, outcome: Option<CommandOutcome>) {
        self.messenger.send(to, Envelope::Control(ControlMessage::SubmitResponse { request, outcome }));
    }

    /// The outcome of a command of this node has come; none if it was rejected and has to be sent again.
    pub(super) fn on_outcome(
        &mut self,
        request: u64,
        outcome: Option<CommandOutcome>,
    ) -> Option<CoordinatorOutcome> {
        match outcome {
            Some(outcome) => self.submissions.complete(request)?.complete(Some(outcome)),
            None => {
                self.submissions.not_sent(self.clock.now(), request);
                None
            }
        }
    }

    /// A new view is installed: what the head before it was given may be lost.
    pub(super) fn on_view_installed(&mut self) {
        self.submissions.on_view_installed(self.clock.now());
    }

    /// Gives up the commands whose time is over, and returns those of the coordinator.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<CoordinatorOutcome> {
        let expired = self.submissions.expire(now);
        expired.into_iter().filter_map(|origin| origin.complete(None)).collect()
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.submissions.next_timer()
    }
}
