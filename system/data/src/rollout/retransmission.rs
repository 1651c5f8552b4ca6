//! When a request to a backend is transmitted again.
//!
//! A request may be as long as a batch job. While its backend has not read it yet, a repeat only makes the queue longer, so the interval
//! doubles with each transmission to the same destination. A new destination gets the request at once.

use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound of the interval, as a multiple of the first one.
const MAX_INTERVAL_FACTOR: u32 = 8;

/// The member that a request is transmitted to, in an epoch of its chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Destination {
    pub address: SocketAddr,
    pub epoch: u64,
}

/// The last transmission of a request, and the interval to the next one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retransmission {
    first_interval: Duration,
    interval: Duration,
    last: Option<(Destination, Duration)>,
}

impl Retransmission {
    /// A request that has not been transmitted; `first_interval` is the time without a response before the second transmission.
    pub(super) fn new(first_interval: Duration) -> Self {
        Self { first_interval, interval: first_interval, last: None }
    }

    /// Whether the request is to be transmitted to a destination now.
    pub(super) fn is_due(&self, now: Duration, destination: Destination) -> bool {
        self.last.is_none_or(|(last, sent_at)| last != destination || now >= sent_at + self.interval)
    }

    /// Records a transmission.
    pub(super) fn on_sent(&mut self, now: Duration, destination: Destination) {
        let is_repeated = self.last.is_some_and(|(last, _)| last == destination);
        let longest = self.first_interval * MAX_INTERVAL_FACTOR;
        self.interval = if is_repeated { (self.interval * 2).min(longest) } else { self.first_interval };
        self.last = Some((destination, now));
    }

    /// Makes the next transmission due at once, because messages may have been lost.
    pub(super) fn on_messages_lost(&mut self) {
        self.last = None;
    }
}
