//! Commands in flight through the control chain, sans I/O: each is sent to the head, again after a change of view or a while without an
//! outcome, until its outcome is known or its time is over. Commands are idempotent: the state answers a repeated one alike.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::Command;

/// Bounds and times of submissions.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionSettings {
    /// A command without an outcome is sent again after this long.
    pub resend: Duration,
    /// A command that could not be sent is sent again after this long.
    pub retry: Duration,
    /// Most commands in flight.
    pub capacity: usize,
}

impl Default for SubmissionSettings {
    fn default() -> Self {
        Self { resend: Duration::from_millis(600), retry: Duration::from_millis(60), capacity: 256 }
    }
}

#[derive(Debug)]
struct Submission<W> {
    command: Command,
    waiter: W,
    next_send: Duration,
    deadline: Duration,
}

/// The commands in flight, each with the waiter `W` for its outcome.
#[derive(Debug)]
pub struct Submissions<W> {
    settings: SubmissionSettings,
    last_request: u64,
    in_flight: BTreeMap<u64, Submission<W>>,
}

impl<W> Submissions<W> {
    /// None in flight. Requests are numbered from after `first` on, which differs between the incarnations of a process.
    #[must_use]
    pub fn new(settings: SubmissionSettings, first: u64) -> Self {
        Self { settings, last_request: first, in_flight: BTreeMap::new() }
    }

    /// Adds a command, which is given up after `limit`. Returns the number of its request.
    ///
    /// # Errors
    ///
    /// Too many commands are in flight; the waiter is returned.
    pub fn add(&mut self, now: Duration, command: Command, limit: Duration, waiter: W) -> Result<u64, W> {
        if self.in_flight.len() >= self.settings.capacity {
            return Err(waiter);
        }
        self.last_request = self.last_request.wrapping_add(1);
        let submission = Submission { command, waiter, next_send: now, deadline: now + limit };
        self.in_flight.insert(self.last_request, submission);
        Ok(self.last_request)
    }

    /// The commands that are to be sent now. Each counts as sent.
    pub fn due(&mut self, now: Duration) -> Vec<(u64, Command)> {
        let resend = self.settings.resend;
        let due = self.in_flight.iter_mut().filter(|(_, submission)| submission.next_send <= now);
        due.map(|(request, submission)| {
            submission.next_send = now + resend;
            (*request, submission.command.clone())
        })
        .collect()
    }

    /// A command did not reach a head.
    pub fn not_sent(&mut self, now: Duration, request: u64) {
        if let Some(submission) = self.in_flight.get_mut(&request) {
            submission.next_send = submission.next_send.min(now + self.settings.retry);
        }
    }

    /// The view has changed: what the head before was given may be lost.
    pub fn on_view_installed(&mut self, now: Duration) {
        for submission in self.in_flight.values_mut() {
            submission.next_send = now;
        }
    }

    /// The outcome of a command is known. Returns its waiter, unless it was given up before.
    pub fn complete(&mut self, request: u64) -> Option<W> {
        self.in_flight.remove(&request).map(|submission| submission.waiter)
    }

    /// Gives up the commands whose time is over, and returns their waiters. Their outcomes stay unknown.
    pub fn expire(&mut self, now: Duration) -> Vec<W> {
        let expired: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, submission)| submission.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        expired.into_iter().filter_map(|request| self.complete(request)).collect()
    }

    /// When the next command is to be sent or given up.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.in_flight.values().map(|submission| submission.next_send.min(submission.deadline)).min()
    }

    /// How many commands are in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether no command is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }
}
