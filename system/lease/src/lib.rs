//! A lease granted by a majority, with the holder stopping before it expires, sans I/O.
//!
//! Each process runs one [`Lease`]: it grants as a voter, and asks as a candidate. The promise: no two processes hold
//! the lease at the same time. It rests on these assumptions:
//!
//! - the clocks of two machines run at rates that differ by less than [`LeaseSettings::max_clock_drift`];
//! - the voters change by one at a time, and a voter that has sealed an epoch says so ([`LeaseEvent::Sealed`]) before the
//!   next epoch is decided;
//! - whoever acts under the lease asks [`Lease::is_held`] right before. What it sent may arrive later all the same, so the
//!   receiver compares fencing tokens.

mod granter;
mod holder;
mod lease;
mod message;
mod settings;

pub use lease::{Lease, LeaseAction, LeaseEvent};
pub use message::{LeaseMessage, VoterId};
pub use settings::LeaseSettings;
