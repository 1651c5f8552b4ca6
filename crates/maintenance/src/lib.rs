//! Safe maintenance windows. Owns how many stores may be away at once, in how many waves a set of them gets through, and how far
//! that may be from the best, and the play of bookings; promises that coverage allows each wave. Knows no socket, file or clock: time is an argument,
//! randomness comes from a seed.

mod bound;
mod keeper;
mod waves;

pub use keeper::{Action, Event, Keeper, Settings};
pub use waves::{waves, Effort, NoWaves, Waves};
