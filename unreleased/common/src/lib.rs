//! The record that a fleet agrees on, and what a broker holds of it. Owns zones' shares, the block map's version and holders, and
//! maintenance windows; promises that nothing is taken that leaves a range short at the very version it is taken at, that equal
//! logs make equal records, and that whoever follows never goes back. Knows no socket, file or clock, nor how the log is agreed on.
//!
//! A proposal is checked where it is made and once more where it is taken ([`Record::apply`]), by the one calculus of
//! `gingerledge-coverage`; so of two that are safe alone and unsafe together the second is refused, with the name of the first.

mod bookings;
mod command;
mod examples;
mod follower;
mod maps;
mod record;
mod table;

pub use command::*;
pub use follower::{Follower, Offered, Standing, View};
pub use record::{Record, Zone};
