//! What the brokers of a tier tell each other of the reading stores. Where there are many, each sees next to nothing of any
//! store; together they see all. A [`Circle`] notes how this broker's own parts ended, says in a datagram now and then how
//! the stores did since the last one, takes in what the others say, and makes of both a [`View`] of each store: a hint, no
//! more, for whoever places parts. Sans I/O; time is an argument, and equal calls give equal answers.
//!
//! It promises:
//!
//! - a datagram is never longer than [`DATAGRAM_MOST`];
//! - what any one broker receives in a second is bounded, whatever the number of brokers: each sends as much rarer as there
//!   are more ([`Settings::heard_per_s`]);
//! - what cannot be read, comes from nobody known, or is not newer than the last from there, changes nothing;
//! - no sender counts for more than its own samples, capped for each store and datagram, and a view that rests on too little
//!   is none;
//! - views fade by themselves, and what belongs to stores no longer listed is let go.
//!
//! It does not know sockets, addresses or queries.

mod circle;
mod report;

pub use circle::{Circle, End, Settings, View};
pub use report::{Entry, Fault, Report, DATAGRAM_MOST};

/// Milliseconds on the host's clock.
pub type Millis = f64;
/// Identifies a store within this process; chosen by the host.
pub type Store = u32;
