//! The relay tree that replicates the registry to every node, as a state machine without I/O.
//!
//! Control nodes are the roots of the tree: their host passes in [`RelayEvent::EntriesReceived`] and [`RelayEvent::Tick`]. Every other
//! node subscribes to one parent, a control node or an edge, and forwards the entries it receives to a bounded number of children. A
//! [`Relay`] owns the node's copy of the registry; the host reads it through [`Relay::registry`] and acts on
//! [`RelayAction::EntriesChanged`].
//!
//! Guarantees:
//!
//! - A copy never regresses: the version of an entry only increases, whichever parent sends it.
//! - An entry is removed only by a tombstone. The exception is session entries at a node that had no fresh parent for longer than
//!   half of [`RelaySettings::tombstone_retention`]: entries that no parent has confirmed by the time the node has been fresh again
//!   for as long are removed, since their tombstones may have expired everywhere else.
//! - A node is [fresh](Relay::is_fresh) only while ticks of the control chain reach it along its whole path from a root. It then has
//!   every entry that the root had at that tick.
//! - A node without a fresh parent searches for another until it has one. Only a fresh node accepts children, so a cycle cannot last.
//! - Children, buffered changes, frame sizes and known addresses are bounded, most of them by [`RelaySettings`].
//!
//! The crate uses no sockets and no clocks, and interprets only a few kinds of entries.

#![warn(unreachable_pub)]

mod candidates;
mod change_log;
mod child_progress;
mod children;
mod digest;
mod directory;
mod entry_size;
mod event;
mod freshness;
mod parent_search;
mod parent_subscription;
mod relay;
mod replica;
mod settings;
mod unconfirmed;
mod upstream;

pub use event::{RelayAction, RelayEvent};
pub use relay::Relay;
pub use settings::RelaySettings;
