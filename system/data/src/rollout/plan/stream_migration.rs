//! Decides which streams are migrated from a slow store to another.
//!
//! A store may become slow or unresponsive while streams are in flight there. A stream can be resumed at another store at the cost of
//! another prefill, so a stream that is much slower than the average is migrated if a store that is not slow has capacity.

use std::time::Duration;

use super::StoreView;

/// The interval between two events, in percent of the average, from which on a stream counts as slow. The short stall of a store that loads
/// new weights stays below it.
const SLOW_STREAM_PERCENT: u32 = 250;
/// The minimum duration of the observation window.
const MIN_WINDOW: Duration = Duration::from_millis(500);
/// The minimum duration of the observation window, as a multiple of the average interval between two events.
const MIN_WINDOW_INTERVALS: u32 = 20;
/// The maximum number of streams of one batch job that are migrated at the end of a window.
const MAX_MIGRATIONS: usize = 8;
/// The maximum share of slow streams, in quarters. If the slow streams exceed both this share and [`MAX_SLOW_STREAMS`], the edge itself may
/// be slow, and no stream is migrated.
const MAX_SLOW_QUARTERS: usize = 3;
/// The number of slow streams up to which their share does not matter.
const MAX_SLOW_STREAMS: usize = 4;
/// The interval between two events, in percent of the average, from which on a store is no target of a migration.
const SLOW_STORE_PERCENT: u32 = 175;

/// The state of a stream in flight at the end of an observation window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamView {
    /// The index of the stream's item.
    pub item: u32,
    /// The position of the stream's store in the list of stores; `None` if the store accepts no requests any more.
    pub store: Option<usize>,
    /// The number of new events in the observation window; `None` if there was no event before the window.
    pub new_events: Option<u64>,
}

/// The duration of the observation window, at the end of which migrations are decided.
#[must_use]
pub fn observation_window(average_interval: Duration) -> Duration {
    MIN_WINDOW.max(average_interval * MIN_WINDOW_INTERVALS)
}

/// The items whose streams are to be migrated now, at the end of an observation window of the duration `window`.
///
/// With `same_version`, only stores with the version of the stream's current store are targets; otherwise those with at least
/// `min_version`.
#[must_use]
pub fn streams_to_migrate(
    window: Duration,
    average_interval: Duration,
    streams: &[StreamView],
    stores: &[StoreView],
    min_version: u64,
    same_version: bool,
) -> Vec<u32> {
    // If the window is longer, this process itself was delayed, and events that have arrived since are not read yet.
    if average_interval.is_zero() || window > observation_window(average_interval) * 2 {
        return Vec::new();
    }
    let slow_interval = average_interval * SLOW_STREAM_PERCENT / 100;
    let is_slow = |new_events: u64| {
        window >= slow_interval.saturating_mul(u32::try_from(new_events.max(1)).unwrap_or(u32::MAX))
    };
    let slow_streams: Vec<&StreamView> =
        streams.iter().filter(|stream| stream.new_events.is_some_and(is_slow)).collect();
    if slow_streams.len() > MAX_SLOW_STREAMS && slow_streams.len() * 4 > streams.len() * MAX_SLOW_QUARTERS {
        return Vec::new();
    }
    let mut free_capacity: Vec<u32> = stores
        .iter()
        .map(|store| match store.is_suspect || store.interval_percent >= SLOW_STORE_PERCENT {
            true => 0,
            false => (store.limit / 2).saturating_sub(store.in_flight),
        })
        .collect();
    let mut migrations = Vec::new();
    for stream in slow_streams.into_iter().take(MAX_MIGRATIONS) {
        let source = stream.store.and_then(|position| stores.get(position));
        let is_eligible = |store: &StoreView| match source {
            Some(source) if same_version => store.version == source.version,
            _ => store.version >= min_version && !same_version,
        };
        let candidates = stores
            .iter()
            .enumerate()
            .filter(|(position, store)| Some(*position) != stream.store && is_eligible(store));
        let targets = candidates
            .map(|(position, _)| position)
            .filter(|&position| free_capacity.get(position).is_some_and(|free_capacity| *free_capacity > 0));
        let Some(target) = targets.max_by_key(|&position| free_capacity.get(position).copied()) else {
            continue;
        };
        if let Some(free_capacity) = free_capacity.get_mut(target) {
            *free_capacity -= 1;
        }
        migrations.push(stream.item);
    }
    migrations
}
