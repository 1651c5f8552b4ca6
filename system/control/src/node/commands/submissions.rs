//! Commands in flight through the control chain, sans I/O. Each command is sent to the head, and again after a change of view or
//! a time without an outcome, until its outcome is known or its deadline has passed. Commands are idempotent: a repeated command
//! has the same outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::Command;

/// Limits and time-outs of submissions.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionSettings {
    /// A command without an outcome is sent again after this time.
    pub resend_interval: Duration,
    /// A command that could not be sent is sent again after this time.
    pub retry_delay: Duration,
    /// Maximum number of commands in flight.
    pub capacity: usize,
}

impl Default for SubmissionSettings {
    fn default() -> Self {
        Self {
            resend_interval: Duration::from_millis(600),
            retry_delay: Duration::from_millis(60),
            capacity: 256,
        }
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
    /// Creates an empty set of submissions. Requests are numbered from after `first_request`, which differs between the
    /// incarnations of a process.
    #[must_use]
    pub fn new(settings: SubmissionSettings, first_request: u64) -> Self {
        Self { settings, last_request: first_request, in_flight: BTreeMap::new() }
    }

    /// Adds a command, which expires after `timeout`. Returns the number of its request.
    ///
    /// # Errors
    ///
    /// Too many commands are in flight; the waiter is returned.
    pub fn add(&mut self, now: Duration, command: Command, timeout: Duration, waiter: W) -> Result<u64, W> {
        if self.in_flight.len() >= self.settings.capacity {
            return Err(waiter);
        }
        self.last_request = self.last_request.wrapping_add(1);
        let submission = Submission { command, waiter, next_send: now, deadline: now + timeout };
        self.in_flight.insert(self.last_request, submission);
        Ok(self.last_request)
    }

    /// Returns the commands that are due to be sent, with the numbers of their requests, and marks them as sent.
    pub fn take_due(&mut self, now: Duration) -> Vec<(u64, Command)> {
        let resend_interval = self.settings.resend_interval;
        let due = self.in_flight.iter_mut().filter(|(_, submission)| submission.next_send <= now);
        due.map(|(request, submission)| {
            submission.next_send = now + resend_interval;
            (*request, submission.command.clone())
        })
        .collect()
    }

    /// Schedules a command that did not reach the head to be sent again.
    pub fn on_send_failed(&mut self, now: Duration, request: u64) {
        if let Some(submission) = self.in_flight.get_mut(&request) {
            submission.next_send = submission.next_send.min(now + self.settings.retry_delay);
        }
    }

    /// Schedules all commands to be sent again, because the view has changed and commands sent to the previous head may be lost.
    pub fn on_view_installed(&mut self, now: Duration) {
        for submission in self.in_flight.values_mut() {
            submission.next_send = now;
        }
    }

    /// Removes a command whose outcome is known, and returns its waiter; `None` if the command has expired.
    pub fn complete(&mut self, request: u64) -> Option<W> {
        self.in_flight.remove(&request).map(|submission| submission.waiter)
    }

    /// Removes the commands whose deadline has passed, and returns their waiters. Their outcomes stay unknown.
    pub fn expire(&mut self, now: Duration) -> Vec<W> {
        let expired: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, submission)| submission.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        expired.into_iter().filter_map(|request| self.complete(request)).collect()
    }

    /// Time at which the next command is due to be sent or expires.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.in_flight.values().map(|submission| submission.next_send.min(submission.deadline)).min()
    }

    /// Number of commands in flight.
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
