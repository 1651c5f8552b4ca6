//! The fleet's sense of itself: who of the brokers lives. Sans I/O: datagrams and the time go in, datagrams and changes of mind
//! come out, and equal calls give equal answers. The protocol is SWIM with suspicion and incarnations, of the crate `foca`; what this
//! package adds is what the fleet's promises need and the protocol alone does not give:
//!
//! - a datagram is never longer than [`DATAGRAM_MOST`], and a broker sends no more than [`Settings::sent_per_s`] a second on the mean,
//!   and twice that in any one second, whatever the size of the fleet and whatever happens in it; what would be more is not sent;
//! - a broker that stood still (its process stopped, its machine asleep) does not take its own silence for that of others;
//! - one that is badly off (its own probes fail) waits longer before it suspects others, up to eight times;
//! - a name that comes back is taken in again within a few exchanges, though its clock has gone back;
//! - parts of the fleet that were cut off from each other find each other again, at a bounded rate;
//! - a datagram says only what its sender may say of itself: one that bears another's number changes nothing.
//!
//! Datagrams are not signed: who can send from another broker's address, or lies about third ones, is believed until they refute it.
//!
//! It does not know sockets, addresses, stores or queries.

mod members;
mod wire;

pub use members::{Change, Counts, Fault, Member, Members, Settings, State};
pub use wire::DATAGRAM_MOST;

/// Milliseconds on the host's clock, which has to run on evenly; its zero is of no matter.
pub type Millis = f64;
/// A broker's place in the list of all.
pub type Number = u16;
