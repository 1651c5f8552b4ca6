//! Orders aggregators that cannot communicate: each has a slot between 0 and 1 for each key.
//!
//! It owns no state and decides nothing but the order.

use crate::pseudorandom::{splitmix64, unit_interval};
use crate::Settings;

/// The slot of this aggregator for `key`, from 0 up to 1.
///
/// The slots of `slot_count` aggregators are evenly spaced, in an order that depends on the key. `offset` shifts the slot
/// within its space; where the aggregator does not know its own index, `offset` is the slot, and only chance keeps the
/// aggregators apart. Two processes with the same index share a slot, however many processes there are at present.
pub(crate) fn slot(settings: &Settings, slot_count: u32, key: u32, offset: f64) -> f64 {
    let Some(index) = settings.index else { return offset };
    let count = f64::from(slot_count.max(1));
    let rotation = unit_interval(splitmix64(u64::from(key)));
    let position = (f64::from(index) + offset) / count + rotation;
    position.fract()
}
