//! Commands on their way to the head of the chain, and outcomes on their way back.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_chain::ChainEvent;
use gingerledge_wire::{Command, CommandOutcome, ControlMessage, Envelope};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot::Sender;

use super::request::BeginRetire;
use super::Node;

/// A call of the operator waits for its outcome at most this long.
const CALL_PATIENCE: Duration = Duration::from_millis(1_500);
/// The coordinator's own commands are tried this long.
const LOOP_PATIENCE: Duration = Duration::from_millis(2_000);

/// An entry of the chain: a command and who asked for it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Submission {
    pub request: u64,
    pub reply_to: SocketAddr,
    pub command: Command,
}

pub(super) fn decode_submission(bytes: &[u8]) -> Option<Submission> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(submission, _)| submission)
        .ok()
}

fn encode_submission(submission: &Submission) -> Vec<u8> {
    bincode::serde::encode_to_vec(submission, bincode::config::standard()).unwrap_or_default()
}

/// Who waits for an outcome.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A call of the operator or a trainer.
    Call(Sender<Option<CommandOutcome>>),
    /// The wish to empty a backend.
    Retire(Sender<BeginRetire>),
    /// The coordinator takes a fencing token.
    Fence,
    /// The coordinator has waited long enough after the machine before it.
    Settlement,
    /// The coordinator changes a partition.
    Partition(u16),
    /// The coordinator notes where a backend's disk is.
    Backend(u64),
    /// The coordinator completes the emptying of a backend.
    Completion,
}

impl Node {
    pub(super) fn submit_call(&mut self, command: Command, reply: Sender<Option<CommandOutcome>>) {
        self.submit(command, CALL_PATIENCE, Waiter::Call(reply));
    }

    pub(super) fn submit_retire(&mut self, command: Command, reply: Sender<BeginRetire>) {
        self.submit(command, CALL_PATIENCE, Waiter::Retire(reply));
    }

    pub(super) fn submit_own(&mut self, command: Command, waiter: Waiter) {
        self.submit(command, LOOP_PATIENCE, waiter);
    }

    fn submit(&mut self, command: Command, patience: Duration, waiter: Waiter) {
        let now = self.clock.now();
        if let Err(waiter) = self.submissions.add(now, command, patience, waiter) {
            self.tell_waiter(waiter, None);
        }
    }

    pub(super) fn send_submissions(&mut self, now: Duration) {
        for (request, command) in self.submissions.due(now) {
            let reply_to = self.messenger.own().address;
            if !self.forward(Submission { request, reply_to, command }) {
                self.submissions.not_sent(now, request);
            }
        }
    }

    /// Gives a command to the head: this node, or another one.
    fn forward(&mut self, submission: Submission) -> bool {
        let Some(head) = self.chain.head() else { return false };
        if head.0 == self.messenger.own().member {
            self.chain.handle_event(ChainEvent::Submit { command: encode_submission(&submission) });
            return true;
        }
        let Some(address) = self.peers.directory().address(head.0) else { return false };
        let Submission { request, reply_to, command } = submission;
        let message = Envelope::Control(ControlMessage::Submit { request, reply_to, command });
        self.messenger.try_send(address, &message)
    }

    /// Another control node wants a command committed, and takes this one for the head.
    pub(super) fn take_submission(&mut self, request: u64, reply_to: SocketAddr, command: Command) {
        if self.chain.head().is_some_and(|head| head.0 == self.messenger.own().member) {
            let command = encode_submission(&Submission { request, reply_to, command });
            self.chain.handle_event(ChainEvent::Submit { command });
        } else {
            self.reply(reply_to, request, None);
        }
    }

    /// The chain did not take a command: whoever asked tries again.
    pub(super) fn not_taken(&mut self, bytes: &[u8]) {
        let Some(Submission { request, reply_to, .. }) = decode_submission(bytes) else { return };
        if reply_to == self.messenger.own().address {
            let now = self.clock.now();
            self.submissions.not_sent(now, request);
        } else {
            self.reply(reply_to, request, None);
        }
    }

    pub(super) fn reply_outcome(&mut self, to: SocketAddr, request: u64, outcome: CommandOutcome) {
        self.reply(to, request, Some(outcome));
    }

    fn reply(&mut self, to: SocketAddr, request: u64, outcome: Option<CommandOutcome>) {
        self.messenger.send(to, Envelope::Control(ControlMessage::SubmitResponse { request, outcome }));
    }

    /// An outcome has come, or the news that a command was not taken.
    pub(super) fn finish_submission(&mut self, request: u64, outcome: Option<CommandOutcome>) {
        match outcome {
            Some(outcome) => {
                if let Some(waiter) = self.submissions.complete(request) {
                    self.tell_waiter(waiter, Some(outcome));
                }
            }
            None => {
                let now = self.clock.now();
                self.submissions.not_sent(now, request);
            }
        }
    }

    pub(super) fn expire_submissions(&mut self, now: Duration) {
        for waiter in self.submissions.expired(now) {
            self.tell_waiter(waiter, None);
        }
    }

    fn tell_waiter(&mut self, waiter: Waiter, outcome: Option<CommandOutcome>) {
        match waiter {
            // Whoever asked may have gone away.
            Waiter::Call(reply) => {
                let _ = reply.send(outcome);
            }
            Waiter::Retire(reply) => {
                let taken = outcome == Some(CommandOutcome::Applied);
                let _ = reply.send(if taken { BeginRetire::Taken } else { BeginRetire::Unavailable });
            }
            Waiter::Fence => self.fence_taken(outcome),
            Waiter::Settlement => self.fence_settled(),
            Waiter::Partition(partition) => self.partition_submitted(partition, outcome.as_ref()),
            Waiter::Backend(member) => self.backend_noted(member),
            Waiter::Completion => self.completion_submitted(),
        }
    }
}
