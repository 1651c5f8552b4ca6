//! The voter's side. Nothing is kept on a disk: a voter that has just started grants nothing for as long as a grant of
//! its life before could last.

use std::time::Duration;

use crate::{LeaseMessage, LeaseSettings, VoterId};

#[derive(Clone, Debug)]
struct Granted {
    holder: VoterId,
    generation: u64,
    until: Duration,
}

/// A question, as it is in [`LeaseMessage::Request`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub epoch: u64,
    pub generation: u64,
    pub renewal: bool,
    pub attempt: u64,
}

/// What a voter has granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Granter {
    granted: Option<Granted>,
    highest_generation: u64,
    /// Grants nothing before this.
    silent_until: Duration,
    /// The highest epoch in which nothing more is granted.
    sealed: u64,
}

impl Granter {
    /// Grants may be out that this voter doesn't know of.
    pub fn be_silent(&mut self, now: Duration, settings: &LeaseSettings) {
        self.silent_until = self.silent_until.max(now + settings.outstanding_grant_bound());
    }

    pub fn seal(&mut self, epoch: u64) {
        self.sealed = self.sealed.max(epoch);
    }

    /// Until when somebody else than `me` may hold the lease, as far as known here.
    pub fn taken_until(&self, me: VoterId) -> Duration {
        let others = self.granted.as_ref().filter(|granted| granted.holder != me);
        others.map_or(Duration::ZERO, |granted| granted.until)
    }

    pub fn highest_generation(&self) -> u64 {
        self.highest_generation
    }

    /// Answers a request of the present epoch. A new round must be higher than all before; a renewal need not be, since
    /// its sender counts it only while it still holds the lease, so that no higher round can have been held.
    pub fn request(
        &mut self,
        now: Duration,
        from: VoterId,
        request: Request,
        settings: &LeaseSettings,
    ) -> LeaseMessage {
        let Request { epoch, generation, renewal, attempt } = request;
        let wait = self.wait_for(now, from);
        let stale = generation <= self.highest_generation && !renewal;
        if !wait.is_zero() || stale || epoch <= self.sealed {
            return LeaseMessage::Refuse { attempt, highest_generation: self.highest_generation, wait };
        }
        self.highest_generation = self.highest_generation.max(generation);
        // A late renewal must not lower the round: a late release of the lower one would then end the higher one.
        let before =
            self.granted.as_ref().filter(|granted| granted.holder == from).map_or(0, |held| held.generation);
        self.granted = Some(Granted {
            holder: from,
            generation: generation.max(before),
            until: now + settings.grant_duration,
        });
        LeaseMessage::Grant { epoch, generation, attempt }
    }

    fn wait_for(&self, now: Duration, from: VoterId) -> Duration {
        self.silent_until.max(self.taken_until(from)).saturating_sub(now)
    }

    pub fn release(&mut self, from: VoterId, generation: u64) {
        if self
            .granted
            .as_ref()
            .is_some_and(|granted| granted.holder == from && granted.generation <= generation)
        {
            self.granted = None;
        }
    }
}
