//! The newest tick, and how old it is along its whole path.

use std::time::Duration;

use gingerledge_wire::FreshnessTick;

/// The newest tick of this node and how long it counts. Its age starts at the root that confirmed it and grows along the path,
/// except for the time on the wire.
#[derive(Debug)]
pub(crate) struct Freshness {
    limit: Duration,
    newest: Option<(FreshnessTick, Duration)>,
}

impl Freshness {
    /// Without a tick yet. A node is fresh while its tick is younger than `limit`.
    pub(crate) fn new(limit: Duration) -> Self {
        Self { limit, newest: None }
    }

    /// Whether the newest tick is young enough.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        self.expires_at().is_some_and(|at| now < at)
    }

    /// Until when the node is fresh without another tick.
    pub(crate) fn expires_at(&self) -> Option<Duration> {
        self.newest.map(|(_, at)| at)
    }

    /// The newest tick, or the lowest of all if there is none.
    pub(crate) fn tick(&self) -> FreshnessTick {
        self.newest.map(|(tick, _)| tick).unwrap_or_default()
    }

    /// The age of the newest tick.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        self.expires_at().map_or(Duration::MAX, |at| (now + self.limit).saturating_sub(at))
    }

    /// Records a tick from the control chain itself.
    pub(crate) fn on_confirmed_tick(&mut self, tick: FreshnessTick, now: Duration) {
        self.newest = Some((tick, now + self.limit));
    }

    /// Records a parent's tick of some age if it extends the freshness; returns whether it does. `rises` is set if it is higher than
    /// the one before it in the same subscription. Only a node that is no longer fresh accepts a lower tick than it had: the control
    /// chain may count from the beginning after all of it restarted.
    pub(crate) fn on_relayed_tick(
        &mut self,
        tick: FreshnessTick,
        age: Duration,
        rises: bool,
        now: Duration,
    ) -> bool {
        if tick == FreshnessTick::default() || age >= self.limit {
            return false;
        }
        let expires_at = now + (self.limit - age);
        let is_newer = match self.newest {
            None => true,
            Some((known, known_at)) => {
                expires_at > known_at && (tick > known || (rises && !self.is_fresh(now)))
            }
        };
        if is_newer {
            self.newest = Some((tick, expires_at));
        }
        is_newer
    }
}
