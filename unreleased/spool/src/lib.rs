//! A durable spool: what is put in stays until it is taken out, through kills at any byte and full disks. The machine
//! ([`Spool`]) decides what is written where, when segments are cut, compacted and let go, and how much fits; it speaks to a
//! [`Shelf`], of which there is one in a folder and one that forgets exactly what a crash would lose.

mod frame;
mod shelf;
mod spool;

pub use frame::{Frame, Item, GROUP_MOST, MAGIC};
pub use shelf::{DirShelf, ForgetfulShelf, Shelf};
pub use spool::{Bounds, Level, Seq, Spool, SpoolError, Stored};
