//! Commands on their way through the chain, sans I/O: each is sent to the head, again after a change of view or a while without an
//! outcome, until its outcome is known or its time is over. Sending twice is harmless: the state answers a repeated command alike.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{Command, CommandOutcome};

/// Bounds and times of submissions.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionSettings {
    /// A command without outcome goes out again after this long.
    pub resend: Duration,
    /// A command that could not be sent at all goes out again after this long.
    pub retry: Duration,
    /// Most commands under way.
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
    due: Duration,
    deadline: Duration,
}

/// The commands under way, each with whoever waits for its outcome.
#[derive(Debug)]
pub struct Submissions<W> {
    settings: SubmissionSettings,
    next: u64,
    waiting: BTreeMap<u64, Submission<W>>,
}

impl<W> Submissions<W> {
    /// None under way. Numbers start at `first`, which differs between the lives of a process.
    pub fn new(settings: SubmissionSettings, first: u64) -> Self {
        Self { settings, next: first, waiting: BTreeMap::new() }
    }

    /// Adds a command; gives the waiter back if too many are under way.
    pub fn add(&mut self, now: Duration, command: Command, patience: Duration, waiter: W) -> Result<u64, W> {
        if self.waiting.len() >= self.settings.capacity {
            return Err(waiter);
        }
        self.next = self.next.wrapping_add(1);
        let submission = Submission { command, waiter, due: now, deadline: now + patience };
        self.waiting.insert(self.next, submission);
        Ok(self.next)
    }

    /// The commands that are to be sent now. Each counts as sent.
    pub fn due(&mut self, now: Duration) -> Vec<(u64, Command)> {
        let resend = self.settings.resend;
        let due = self.waiting.iter_mut().filter(|(_, submission)| submission.due <= now);
        due.map(|(request, submission)| {
            submission.due = now + resend;
            (*request, submission.command.clone())
        })
        .collect()
    }

    /// A command did not reach a head.
    pub fn not_sent(&mut self, now: Duration, request: u64) {
        if let Some(submission) = self.waiting.get_mut(&request) {
            submission.due = submission.due.min(now + self.settings.retry);
        }
    }

    /// The view has changed: what the head before was given may be lost.
    pub fn view_changed(&mut self, now: Duration) {
        for submission in self.waiting.values_mut() {
            submission.due = now;
        }
    }

    /// The outcome of a command is known; the waiter, if somebody still waits.
    pub fn complete(&mut self, request: u64) -> Option<W> {
        self.waiting.remove(&request).map(|submission| submission.waiter)
    }

    /// Those that have waited for too long. Their outcome stays unknown.
    pub fn expired(&mut self, now: Duration) -> Vec<W> {
        let over: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, submission)| submission.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        over.into_iter().filter_map(|request| self.complete(request)).collect()
    }

    /// When something is due next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.waiting.values().map(|submission| submission.due.min(submission.deadline)).min()
    }

    /// How many are under way.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// What an outcome means to whoever waits: none is an outcome that is not known.
pub type KnownOutcome = Option<CommandOutcome>;
