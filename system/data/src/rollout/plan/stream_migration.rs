//! Decides which streams are migrated from a slow store to another.
//!
//! A store may become slow, or unresponsive, while streams are in flight there. A stream can be resumed elsewhere at the price of
//! another prefill, so one that is much slower than average is migrated if a store that is not slow has capacity.

use std::time::Duration;

use super::StoreView;

/// A stream is slow from this interval between events on, in percent of the average. The short stall of a store that loads new
/// weights stays below it.
const SLOW_STREAM_PERCENT: u32 = 250;
/// Streams are observed for this time, or for so many average intervals, whichever is longer.
const MIN_WINDOW: Duration = Duration::from_millis(500);
const WINDOW_INTERVALS: u32 = 20;
/// The most streams of one batch job that are migrated at a time.
const MAX_MIGRATIONS: usize = 8;
/// If more than so many quarters of the streams are slow, and more than a few, this edge may be the slow one.
const MAX_SLOW_QUARTERS: usize = 3;
const FEW: usize = 4;
/// A store with this interval, in percent of the average, is no target.
const SLOW_STORE_PERCENT: u32 = 175;

/// A stream in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamView {
    /// The index of its item.
    pub item: u32,
    /// Position of its store among those given; `None` if that accepts no requests any more.
    pub store: Option<usize>,
    /// Events that it brought in the observation window; `None` if it had not begun at the start of the window.
    pub events: Option<u64>,
}

/// How long streams are observed between two decisions.
#[must_use]
pub fn observation_window(average_interval: Duration) -> Duration {
    MIN_WINDOW.max(average_interval * WINDOW_INTERVALS)
}

/// The items whose streams are to be migrated now, after they were observed for `observed`.
///
/// With `same_version`, only stores that serve the same version are targets, else those of at least `min_version`.
#[must_use]
pub fn streams_to_migrate(
    observed: Duration,
    average_interval: Duration,
    streams: &[StreamView],
    stores: &[StoreView],
    min_version: u64,
    same_version: bool,
) -> Vec<u32> {
    // After a longer time this process was delayed itself, and what arrived meanwhile has not been read.
    if average_interval.is_zero() || observed > observation_window(average_interval) * 2 {
        return Vec::new();
    }
    let slow_interval = average_interval * SLOW_STREAM_PERCENT / 100;
    let is_slow = |events: u64| {
        observed >= slow_interval.saturating_mul(u32::try_from(events.max(1)).unwrap_or(u32::MAX))
    };
    let slow: Vec<&StreamView> = streams.iter().filter(|stream| stream.events.is_some_and(is_slow)).collect();
    if slow.len() > FEW && slow.len() * 4 > streams.len() * MAX_SLOW_QUARTERS {
        return Vec::new();
    }
    let mut free: Vec<u32> = stores
        .iter()
        .map(|store| match store.is_suspect || store.interval_percent >= SLOW_STORE_PERCENT {
            true => 0,
            false => (store.limit / 2).saturating_sub(store.in_flight),
        })
        .collect();
    let mut migrations = Vec::new();
    for stream in slow.into_iter().take(MAX_MIGRATIONS) {
        let from = stream.store.and_then(|position| stores.get(position));
        let is_eligible = |store: &StoreView| match from {
            Some(from) if same_version => store.version == from.version,
            _ => store.version >= min_version && !same_version,
        };
        let candidates = stores
            .iter()
            .enumerate()
            .filter(|(position, store)| Some(*position) != stream.store && is_eligible(store));
        let target = candidates
            .map(|(position, _)| position)
            .filter(|&position| free.get(position).is_some_and(|free| *free > 0));
        let Some(target) = target.max_by_key(|&position| free.get(position).copied()) else { continue };
        if let Some(free) = free.get_mut(target) {
            *free -= 1;
        }
        migrations.push(stream.item);
    }
    migrations
}
