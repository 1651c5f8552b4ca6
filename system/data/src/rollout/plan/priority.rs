//! How urgent the generations of a batch job are among all requests at a store, which no edge sees all of.

use std::time::Duration;

/// Generations of groups that the trainer does not wait for: behind all others.
const SPARE: u8 = 8;
/// With so much time or less until the results of the batch job are due, or past it, from the most urgent on.
const BY_TIME_LEFT: [(Duration, u8); 4] = [
    (Duration::from_millis(1_500), 1),
    (Duration::from_millis(3_000), 2),
    (Duration::from_millis(5_000), 3),
    (Duration::from_millis(8_000), 4),
];
/// With more time left. What has no priority has this one.
const USUAL: u8 = 5;

/// The priority of a generation whose batch job is due after so long.
pub fn priority(time_left: Duration, spare: bool) -> u8 {
    if spare {
        return SPARE;
    }
    let urgent = BY_TIME_LEFT.iter().find(|(least, _)| time_left <= *least);
    urgent.map_or(USUAL, |(_, priority)| *priority)
}
