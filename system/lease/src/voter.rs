//! The voter state of one process. Nothing is stored on a disk: a voter that has just started grants nothing for as long as a
//! grant of an earlier incarnation could last.

use std::time::Duration;

use crate::{LeaseMessage, LeaseSettings, VoterId};

/// The grant of a voter to a holder.
#[derive(Clone, Debug)]
struct Grant {
    holder: VoterId,
    generation: u64,
    expires_at: Duration,
}

/// The content of a [`LeaseMessage::Request`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub epoch: u64,
    pub generation: u64,
    pub is_renewal: bool,
    pub attempt: u64,
}

/// The grant of a voter, and the conditions under which it refuses requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Voter {
    grant: Option<Grant>,
    highest_generation: u64,
    /// Latest expiry of grants that this voter has no record of; it grants nothing before that time.
    unknown_grants_until: Duration,
    /// The highest sealed epoch. Nothing more is granted in this epoch and earlier ones.
    sealed_epoch: u64,
}

impl Voter {
    /// Refuses all requests until all grants that this voter may have no record of have expired.
    pub(crate) fn wait_out_unknown_grants(&mut self, now: Duration, settings: &LeaseSettings) {
        self.unknown_grants_until = self.unknown_grants_until.max(now + settings.outstanding_grant_bound());
    }

    /// Refuses all requests in an epoch and earlier ones from now on.
    pub(crate) fn seal(&mut self, epoch: u64) {
        self.sealed_epoch = self.sealed_epoch.max(epoch);
    }

    /// When the grant of this voter to a process other than `candidate` expires; zero if there is none.
    pub(crate) fn granted_to_others_until(&self, candidate: VoterId) -> Duration {
        let grant = self.grant.as_ref().filter(|grant| grant.holder != candidate);
        grant.map_or(Duration::ZERO, |grant| grant.expires_at)
    }

    /// The highest generation granted.
    pub(crate) fn highest_generation(&self) -> u64 {
        self.highest_generation
    }

    /// Responds to a request of the current epoch. A new generation must be higher than all earlier ones. A renewal need not be,
    /// since its sender accepts it only while it still holds the lease, so that no higher generation can have been held.
    pub(crate) fn on_request(
        &mut self,
        now: Duration,
        from: VoterId,
        request: Request,
        settings: &LeaseSettings,
    ) -> LeaseMessage {
        let Request { epoch, generation, is_renewal, attempt } = request;
        let wait = self.remaining_wait(now, from);
        let is_stale = generation <= self.highest_generation && !is_renewal;
        if !wait.is_zero() || is_stale || epoch <= self.sealed_epoch {
            return LeaseMessage::Refuse { attempt, highest_generation: self.highest_generation, wait };
        }
        self.highest_generation = self.highest_generation.max(generation);
        // A late renewal must not lower the generation: a late release of the lower one would then end the higher one.
        let granted = self.grant.as_ref().filter(|grant| grant.holder == from);
        let granted_generation = granted.map_or(0, |grant| grant.generation);
        self.grant = Some(Grant {
            holder: from,
            generation: generation.max(granted_generation),
            expires_at: now + settings.grant_duration,
        });
        LeaseMessage::Grant { epoch, generation, attempt }
    }

    /// How long a candidate will still be refused.
    fn remaining_wait(&self, now: Duration, from: VoterId) -> Duration {
        self.unknown_grants_until.max(self.granted_to_others_until(from)).saturating_sub(now)
    }

    /// Handles the release of the lease by its holder, for all generations up to `generation`.
    pub(crate) fn on_release(&mut self, from: VoterId, generation: u64) {
        self.grant = self.grant.take().filter(|grant| grant.holder != from || grant.generation > generation);
    }
}
