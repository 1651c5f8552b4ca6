//! A replicated, durable log among 3, 5 or 7 voters that the operator names; it knows no command. [`Voter`] is the machine:
//! events and the time in, actions out, all that it promises on its [`Disk`] before it is said. Raft itself is the `raft`
//! crate's; what is ours is what stands around it: the file, what is taken from peers, the bounds, and how a voter that
//! lost its disk comes back without voting as if it remembered. Design: `docs/design/agreement.md`.

// The tests inside share their world with those outside, which know the package by its name.
#[cfg(test)]
extern crate self as gingerledge_agreement;

mod bounds;
mod disk;
mod file;
mod frame;
#[cfg(test)]
mod hostile;
mod member;
mod newcomer;
mod store;
mod voter;
mod wire;

pub use bounds::{Bounds, DiskError, Millis, OpenError, Unmet, Unreadable, VoterId};
pub use disk::{Disk, ForgetfulDisk, Torn};
pub use file::FileDisk;
pub use frame::LogError;
pub use voter::{Action, Event, Machine, Voter};
