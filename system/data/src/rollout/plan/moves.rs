//! Which streams are taken from a slow store and carried on at another.
//!
//! A store may turn slow, or silent, while streams are under way there. A stream can be taken up elsewhere at the price of reading
//! its prompt again, so one that has become much slower than usual is moved if there is a store with room that is not.

use std::time::Duration;

use super::StoreView;

/// A stream is slow if its pauses are that much of the usual one, in percent. A store that takes new weights pauses for a moment,
/// which is no reason to leave it.
const SLOW_PAUSE_PERCENT: u32 = 250;
/// Streams are looked at so often, or after so many usual pauses, whichever is longer.
const LEAST_WINDOW: Duration = Duration::from_millis(500);
const WINDOW_PAUSES: u32 = 20;
/// The most streams of one batch job that are moved at once.
const MOST_MOVES: usize = 8;
/// If more streams than this share of four are slow, and more than a few, the fault may lie here.
const MOST_SLOW_QUARTERS: usize = 3;
const FEW: usize = 4;
/// A store that itself is that slow, in percent, takes over nothing.
const SLOW_PERCENT: u32 = 175;

/// A stream under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamView {
    /// The index of its item.
    pub item: u32,
    /// The place of its store among those given; none if that takes no requests any more.
    pub store: Option<usize>,
    /// Events that it brought since the last look; none if it has not begun, or began since then.
    pub events: Option<u64>,
}

/// How long streams are watched before they are judged.
pub fn window(usual_pause: Duration) -> Duration {
    LEAST_WINDOW.max(usual_pause * WINDOW_PAUSES)
}

/// The streams to move now, given that they were watched for so long. `same_version`: only to a store of the same version.
pub fn slow_streams(
    watched: Duration,
    usual_pause: Duration,
    streams: &[StreamView],
    stores: &[StoreView],
    min_version: u64,
    same_version: bool,
) -> Vec<u32> {
    // After a longer time this process was held up itself, and what came meanwhile has not been read.
    if usual_pause.is_zero() || watched > window(usual_pause) * 2 {
        return Vec::new();
    }
    let slow_pause = usual_pause * SLOW_PAUSE_PERCENT / 100;
    let slow =
        |events: u64| watched >= slow_pause.saturating_mul(u32::try_from(events.max(1)).unwrap_or(u32::MAX));
    let slow: Vec<&StreamView> = streams.iter().filter(|stream| stream.events.is_some_and(slow)).collect();
    if slow.len() > FEW && slow.len() * 4 > streams.len() * MOST_SLOW_QUARTERS {
        return Vec::new();
    }
    let mut room: Vec<u32> = stores
        .iter()
        .map(|store| match store.avoided || store.pace_percent >= SLOW_PERCENT {
            true => 0,
            false => (store.limit / 2).saturating_sub(store.out),
        })
        .collect();
    let mut moves = Vec::new();
    for stream in slow.into_iter().take(MOST_MOVES) {
        let from = stream.store.and_then(|place| stores.get(place));
        let fits = |store: &StoreView| match from {
            Some(from) if same_version => store.version == from.version,
            _ => store.version >= min_version && !same_version,
        };
        let places =
            stores.iter().enumerate().filter(|(place, store)| Some(*place) != stream.store && fits(store));
        let target =
            places.map(|(place, _)| place).filter(|&place| room.get(place).is_some_and(|room| *room > 0));
        let Some(target) = target.max_by_key(|&place| room.get(place).copied()) else { continue };
        if let Some(room) = room.get_mut(target) {
            *room -= 1;
        }
        moves.push(stream.item);
    }
    moves
}
