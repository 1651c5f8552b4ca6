//! Membership of the brokers of a fleet: decides which of them are alive. Sans I/O: received datagrams and the time are inputs,
//! datagrams to send and membership changes are outputs, and equal inputs give equal outputs. The protocol is SWIM with
//! suspicion and incarnations, implemented by the crate `foca`. This package adds guarantees that the protocol alone does not
//! give:
//!
//! - A datagram is never longer than [`MAX_DATAGRAM_BYTES`]. A broker sends at most [`Settings::sent_per_s`] datagrams per
//!   second on average, and at most twice that in any one second, regardless of the size of the fleet and of the number of
//!   changes. Datagrams beyond that limit are dropped.
//! - A broker whose process was suspended does not count the time of its suspension against other members.
//! - A broker whose own probes fail waits longer before it suspects others or declares them down, up to eight times as long.
//! - A broker that restarts is accepted again within a few exchanges, even if its clock was set back.
//! - Partitions of the fleet rediscover each other once they can communicate again, at a bounded rate.
//! - A datagram from one broker's address that carries another broker's number as its sender changes nothing.
//!
//! Datagrams are not signed. A forged datagram from another broker's address, or false information about third parties, is
//! believed until the affected brokers refute it.
//!
//! This package has no knowledge of sockets, addresses, stores or queries.

mod members;
mod wire;

pub use members::{Change, Counts, DatagramError, Member, Membership, Settings, State};
pub use wire::MAX_DATAGRAM_BYTES;

/// Milliseconds on the host's clock. The clock has to advance steadily; its origin is arbitrary.
pub type Millis = f64;
/// Index of a broker in the configured list of all brokers.
pub type BrokerNumber = u16;
