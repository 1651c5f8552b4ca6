//! Whose slot lies where, among aggregators that can't ask one another. It owns no state and decides nothing but the order.

use crate::numbers::{mix, unit};
use crate::Settings;

/// Where among all aggregators this one's slot lies for something, from 0 up to 1. Slots lie evenly, in an order that differs
/// by what they are for; where its own number is not told, `spread` says, and only chance keeps them apart. `numbers` is
/// how many numbers there are: two processes of one number have one slot, however many processes count just now.
pub(crate) fn slot(set: &Settings, numbers: u32, of: u32, spread: f64) -> f64 {
    let among = f64::from(numbers.max(1));
    let place = |index: u32| (f64::from(index) + spread) / among + unit(mix(u64::from(of)));
    set.index.map_or(spread, |index| place(index).fract())
}
