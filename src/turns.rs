//! Whose turn comes when, among aggregators that can't ask one another. It owns no state and decides nothing but the order.

use crate::numbers::{mix, unit};
use crate::Settings;

/// Where in a span of time this aggregator's turn comes for something, from 0 up to 1. Turns lie evenly over the span, in an
/// order that differs by what it is for; where its own number is not told, `spread` says, and only chance keeps them apart.
pub(crate) fn turn(set: &Settings, of: u32, spread: f64) -> f64 {
    let among = f64::from(set.aggregators.max(1));
    let place = |index: u32| (f64::from(index) + spread) / among + unit(mix(u64::from(of)));
    set.index.map_or(spread, |index| place(index).fract())
}
