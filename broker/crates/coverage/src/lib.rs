//! Coverage of the key space: which stores hold each key range, how many of them are sound, in which zones and regions, how much
//! free capacity they have, and whether a proposed change leaves a range short, reported as the smallest counterexample. Every
//! decision that takes stores, zones or blocks away uses this package rather than counts of its own. Sans I/O, without time and
//! without randomness.
//!
//! A store is sound if its state lets it count as a holder ([`State::is_sound`]). The share of a zone is the part of its load that
//! it serves itself; the rest is redirected to holders in other zones ([`Coverage::set_share`]).
//!
//! Guarantees:
//!
//! - C1: The answers after any sequence of changes are bit-identical to those of a table that is built from the same facts in any
//!   order: amounts are integers in millionths internally, and sums of integers do not depend on their order.
//! - C2: [`Coverage::check`] refuses exactly the proposals for which an examination of every single key finds a shortage.
//! - C3: A counterexample is correct, and removing any one of its causes resolves it or leads to a different one.
//!
//! This package has no knowledge of brokers, epochs, bookings or the reasons why a store is unavailable.

mod check;
mod coverage;
mod increments;
mod load;
mod slots;
mod sweep;
mod types;

pub use coverage::Coverage;
pub use types::{
    Block, BlockAssignment, BlockError, Bounds, Counterexample, Cover, HolderStatus, KeyRange, LimitError,
    Proposal, Region, Requirements, Shortage, Site, State, Store, Zone, ZoneLoad,
};
