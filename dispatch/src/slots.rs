//! Orders aggregators that do not communicate with each other: for each key, each aggregator has a slot
//! between 0 and 1.
//!
//! The module has no state, and decides nothing except this order.

use crate::pseudorandom::{splitmix64, unit_interval};
use crate::Settings;

/// The slot of this aggregator for `key`, from 0 to below 1.
///
/// The slots of `slot_count` aggregators are evenly spaced, in an order that depends on the key. `offset`,
/// from 0 to below 1, shifts the slot within its space. If the aggregator does not know its own index,
/// `offset` is the slot, and slots of different aggregators may coincide by chance. Two processes with the
/// same index share a slot, regardless of the present number of processes.
pub(crate) fn slot(settings: &Settings, slot_count: u32, key: u32, offset: f64) -> f64 {
    let Some(index) = settings.index else { return offset };
    let count = f64::from(slot_count.max(1));
    let rotation = unit_interval(splitmix64(u64::from(key)));
    let position = (f64::from(index) + offset) / count + rotation;
    position.fract()
}
