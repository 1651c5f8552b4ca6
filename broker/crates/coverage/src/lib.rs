//! The one calculus of cover: who holds which key range, how many of them are sound, in which zones and regions, and what they
//! have to spare; what a proposal would leave short, told by its smallest counterexample. Whoever decides something that takes
//! stores, zones or blocks away asks here and counts nothing itself. Sans I/O, without time and without randomness.
//!
//! It promises:
//!
//! - C1: the answer after any row of changes is, to the bit, that of a table built anew in any order: amounts are whole
//!   millionths inside, and sums of those don't depend on order;
//! - C2: [`Coverage::check`] refuses exactly what a look at every single key finds short;
//! - C3: a counterexample is true, and taking any one of its causes away mends it or shows another.
//!
//! It does not know brokers, epochs, bookings or why a store is gone.

mod check;
mod coverage;
mod increments;
mod load;
mod slots;
mod sweep;
mod types;

pub use coverage::Coverage;
pub use types::{
    Block, Bounds, Counterexample, Cover, Full, Held, Keys, Least, Lost, Proposal, Region, Room, Short, Site,
    State, Store, Unfit, Zone,
};
