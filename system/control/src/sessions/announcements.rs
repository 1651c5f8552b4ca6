//! Ends of stores that are acknowledged (`draining`, and the end of a session), sans I/O.
//!
//! Such an acknowledgement binds every edge that is in touch, whichever control node gave it. So it is given only once
//!
//! 1. every other member of the control chain has answered that it holds the change, and
//! 2. after that, the whole chain has confirmed that this membership is still in force.
//!
//! Edges are fed with fresh ticks by members of the chain in force alone, and a tick passes the whole chain. So whoever feeds an edge
//! holds the change. A node that is cut off from the chain never gets the second word and acknowledges nothing; whoever asked is
//! told to try another control node.

use std::time::Duration;

use gingerledge_wire::Key;

/// A store waits for its answer one second; it has to get one that sends it elsewhere before that.
const PATIENCE: Duration = Duration::from_millis(900);
/// Most announcements that wait.
pub const MAX_ANNOUNCEMENTS: usize = 8_192;

/// A question to the chain: is the membership of this epoch still in force?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Names the question.
    pub token: u64,
    /// The epoch whose members hold the change.
    pub epoch: u64,
}

#[derive(Debug)]
struct Announcement<R> {
    key: Key,
    deadline: Duration,
    reply: R,
    asked: Option<Confirmation>,
}

/// Changes that are acknowledged once the whole chain holds them, each with where its acknowledgement goes.
#[derive(Debug)]
pub struct Announcements<R> {
    /// In the order of their deadlines.
    waiting: Vec<Announcement<R>>,
    /// Something has happened since the last look, so that a change may be held by all now.
    changed: bool,
}

impl<R> Default for Announcements<R> {
    fn default() -> Self {
        Self { waiting: Vec::new(), changed: false }
    }
}

impl<R> Announcements<R> {
    /// A change is to be acknowledged; it is learned and shared already. Gives the reply back if too many wait.
    pub fn add(&mut self, now: Duration, key: Key, reply: R) -> Option<R> {
        if self.waiting.len() >= MAX_ANNOUNCEMENTS {
            return Some(reply);
        }
        self.waiting.push(Announcement { key, deadline: now + PATIENCE, reply, asked: None });
        self.changed = true;
        None
    }

    /// A member has answered, or the membership has changed: who holds what is looked at again.
    pub fn look_again(&mut self) {
        self.changed = true;
    }

    /// Those that have waited for too long. They are not acknowledged.
    pub fn expired(&mut self, now: Duration) -> Vec<R> {
        if self.next_timer().is_none_or(|first| now < first) {
            return Vec::new();
        }
        self.take(|announcement| announcement.deadline <= now)
    }

    /// Whether the chain is to be asked: all members hold a change for which it was not asked yet. Nothing is looked at where nothing
    /// has happened since the last look.
    pub fn wants_confirmation(&mut self, is_held: impl Fn(&Key) -> bool) -> bool {
        if !std::mem::take(&mut self.changed) {
            return false;
        }
        self.waiting.iter().any(|announcement| announcement.asked.is_none() && is_held(&announcement.key))
    }

    /// The chain is asked now. The answer counts for the changes that all members hold already.
    pub fn asked(&mut self, confirmation: Confirmation, is_held: impl Fn(&Key) -> bool) {
        let unasked = self.waiting.iter_mut().filter(|announcement| announcement.asked.is_none());
        for announcement in unasked.filter(|announcement| is_held(&announcement.key)) {
            announcement.asked = Some(confirmation);
        }
    }

    /// The chain has confirmed the membership in force, that of `epoch`. Gives those that may be acknowledged; the others for which it
    /// was asked have it asked again.
    pub fn confirmed(&mut self, token: u64, epoch: u64, is_held: impl Fn(&Key) -> bool) -> Vec<R> {
        let asked = Some(Confirmation { token, epoch });
        let acknowledged =
            self.take(|announcement| announcement.asked == asked && is_held(&announcement.key));
        self.not_confirmed(token);
        acknowledged
    }

    /// The chain could not confirm: it is asked again.
    pub fn not_confirmed(&mut self, token: u64) {
        for announcement in &mut self.waiting {
            announcement.asked = announcement.asked.filter(|asked| asked.token != token);
        }
        self.changed = true;
    }

    /// When the first one expires.
    pub fn next_timer(&self) -> Option<Duration> {
        self.waiting.first().map(|announcement| announcement.deadline)
    }

    fn take(&mut self, test: impl Fn(&Announcement<R>) -> bool) -> Vec<R> {
        let (taken, left) = std::mem::take(&mut self.waiting).into_iter().partition(test);
        self.waiting = left;
        let taken: Vec<Announcement<R>> = taken;
        taken.into_iter().map(|announcement| announcement.reply).collect()
    }
}
