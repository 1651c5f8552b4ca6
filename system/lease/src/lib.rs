//! A lease that is granted by a majority of voters, and whose holder stops before its grants expire (Gray and Cheriton, "Leases",
//! SOSP 1989), sans I/O.
//!
//! Each process runs one [`Lease`]: as a voter it grants the lease, as a candidate it requests it. The guarantee is that no two
//! processes hold the lease at the same time. It depends on these assumptions:
//!
//! - the clocks of two machines run at rates that differ by less than [`LeaseSettings::max_clock_drift`];
//! - the voters change by one at a time, and each voter that seals an epoch receives [`LeaseEvent::Sealed`] before the next epoch
//!   is decided;
//! - a process checks [`Lease::is_held`] immediately before each action that requires the lease. Messages that it sent may still
//!   arrive after the lease has expired, so their receivers compare fencing tokens (Burrows, "The Chubby lock service", OSDI
//!   2006).
//!
//! The crate does not depend on the purpose of the lease, and stores nothing on a disk.

#![warn(unreachable_pub)]

mod candidate;
mod event;
mod lease;
mod message;
mod settings;
mod voter;

pub use event::{LeaseAction, LeaseEvent};
pub use lease::Lease;
pub use message::{LeaseMessage, VoterId};
pub use settings::LeaseSettings;
