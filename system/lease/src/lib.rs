//! A lease granted by a majority of voters, with the holder stopping before its grants expire (Gray and Cheriton, "Leases", SOSP
//! 1989), sans I/O.
//!
//! Each process runs one [`Lease`]: it grants as a voter, and requests as a candidate. The promise: no two processes hold the lease
//! at the same time. It rests on these assumptions:
//!
//! - the clocks of two machines run at rates that differ by less than [`LeaseSettings::max_clock_drift`];
//! - the voters change by one at a time, and a voter that has sealed an epoch says so ([`LeaseEvent::Sealed`]) before the next epoch
//!   is decided;
//! - a process checks [`Lease::is_held`] right before each action under the lease. What it sent may arrive later all the same, so
//!   the receiver compares fencing tokens (Burrows, "The Chubby lock service", OSDI 2006).
//!
//! It does not know what the lease is for, and keeps nothing on a disk.

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
