//! The search for a parent, one attempt after the other.
//!
//! A search runs while a node has no parent, or one through which no ticks come. The old parent is kept until another accepts,
//! since ticks may stand still for all: then the tree stays as it is.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use crate::settings::RelaySettings;

/// The longest wait for an answer is so many times the shortest.
const ANSWER_TIMEOUT_GROWTH: u32 = 3;

/// A search that goes on.
#[derive(Debug)]
pub(crate) struct Search {
    attempt: Option<Attempt>,
    round: u32,
    in_round: bool,
    pause: Duration,
    next_at: Duration,
}

/// A subscription without an answer yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Who was asked.
    pub to: SocketAddr,
    /// The name of the subscription.
    pub subscription: u64,
    /// How much room the node told that it has.
    pub room: u16,
    /// Until when an answer counts.
    pub until: Duration,
}

impl Search {
    /// Begins with the first round at once.
    pub fn new(now: Duration, settings: &RelaySettings) -> Self {
        Self { attempt: None, round: 0, in_round: false, pause: settings.retry_least, next_at: now }
    }

    /// The attempt that waits for an answer.
    pub fn attempt(&self) -> Option<&Attempt> {
        self.attempt.as_ref()
    }

    /// Whether a message answers the attempt.
    pub fn asks(&self, from: SocketAddr, subscription: u64) -> bool {
        self.attempt.is_some_and(|attempt| attempt.to == from && attempt.subscription == subscription)
    }

    /// Whether no attempt waits and the pause is over.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.attempt.is_none() && self.next_at <= now
    }

    /// Whether earlier rounds were in vain.
    pub fn is_repeated(&self) -> bool {
        self.round > 1
    }

    /// Nobody is left to ask. Begins the next round if its time has come; else the round that ends now is followed by a pause,
    /// which grows from round to round. Says whether a round begins.
    pub fn begin_round(&mut self, now: Duration, settings: &RelaySettings, rng: &mut Rng) -> bool {
        if !self.in_round {
            self.in_round = true;
            self.round = self.round.saturating_add(1);
            return true;
        }
        self.in_round = false;
        self.next_at = now + self.pause.mul_f64(0.5 + 0.5 * rng.f64());
        self.pause = (self.pause * 2).min(settings.retry_most);
        false
    }

    /// The next round begins now.
    pub fn hurry(&mut self, now: Duration) {
        self.next_at = now;
    }

    /// Asks one.
    pub fn ask(
        &mut self,
        to: SocketAddr,
        room: u16,
        now: Duration,
        settings: &RelaySettings,
        rng: &mut Rng,
    ) -> Attempt {
        let patience = settings.answer_timeout * self.round.clamp(1, ANSWER_TIMEOUT_GROWTH);
        let attempt = Attempt { to, subscription: rng.u64(1..), room, until: now + patience };
        self.attempt = Some(attempt);
        attempt
    }

    /// The attempt has come to nothing.
    pub fn give_up(&mut self) -> Option<Attempt> {
        self.attempt.take()
    }

    /// When there is something to do.
    pub fn next_timer(&self) -> Duration {
        self.attempt.map_or(self.next_at, |attempt| attempt.until)
    }
}
