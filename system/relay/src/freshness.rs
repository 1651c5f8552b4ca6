//! The newest tick, and its age since the root confirmed it.

use std::time::Duration;

use gingerledge_wire::FreshnessTick;

/// The newest tick of this node and the time at which it expires. The age of a tick starts at zero at the root that confirmed it and
/// increases along the path; the time spent in transmission is not included.
#[derive(Debug)]
pub(crate) struct Freshness {
    max_tick_age: Duration,
    /// The newest tick and the time at which it expires.
    newest: Option<(FreshnessTick, Duration)>,
}

impl Freshness {
    /// Creates the state of a node without a tick. A node is fresh while its newest tick is younger than `max_tick_age`.
    pub(crate) fn new(max_tick_age: Duration) -> Self {
        Self { max_tick_age, newest: None }
    }

    /// Whether the newest tick has not expired.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        self.expires_at().is_some_and(|at| now < at)
    }

    /// The time until which the node is fresh if no further tick comes; `None` without a tick.
    pub(crate) fn expires_at(&self) -> Option<Duration> {
        self.newest.map(|(_, at)| at)
    }

    /// The newest tick, or the lowest possible tick if there is none.
    pub(crate) fn tick(&self) -> FreshnessTick {
        self.newest.map(|(tick, _)| tick).unwrap_or_default()
    }

    /// The age of the newest tick; [`Duration::MAX`] without a tick.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        self.expires_at().map_or(Duration::MAX, |at| (now + self.max_tick_age).saturating_sub(at))
    }

    /// Records a tick that the control chain has just confirmed.
    pub(crate) fn on_confirmed_tick(&mut self, tick: FreshnessTick, now: Duration) {
        self.newest = Some((tick, now + self.max_tick_age));
    }

    /// Records a tick of the given age from the parent if it extends the freshness; returns whether it does. `is_higher` is true if
    /// the tick is higher than the previous one of the same subscription. Only a node that is no longer fresh accepts a lower tick
    /// than its newest: after a restart of the whole control chain, ticks may start from the beginning.
    pub(crate) fn on_relayed_tick(
        &mut self,
        tick: FreshnessTick,
        age: Duration,
        is_higher: bool,
        now: Duration,
    ) -> bool {
        if tick == FreshnessTick::default() || age >= self.max_tick_age {
            return false;
        }
        let expires_at = now + (self.max_tick_age - age);
        let is_newer = match self.newest {
            None => true,
            Some((known_tick, known_expires_at)) => {
                expires_at > known_expires_at && (tick > known_tick || (is_higher && !self.is_fresh(now)))
            }
        };
        if is_newer {
            self.newest = Some((tick, expires_at));
        }
        is_newer
    }
}
