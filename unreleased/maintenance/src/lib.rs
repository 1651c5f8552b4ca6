//! Safe maintenance windows. Owns how many stores may be away at once, in how many waves a set of them gets through and how far that
//! may be from the best, when, by the load of the week's hours, and the play of bookings; promises that coverage allows each wave and
//! that the record at hand takes what is found. Knows no socket, file or clock: time is an argument, randomness comes from a seed.

mod bound;
mod find;
mod keeper;
mod profile;
mod waves;

pub use find::{find, scaled, Ask, Found, Goal, NotFound, Why, Window};
pub use keeper::{Action, Event, Keeper, Settings};
pub use profile::{Cell, Counter, Forecast, Profile, Unfit, Week, HOURS};
pub use waves::{waves, Effort, NoWaves, Waves};
