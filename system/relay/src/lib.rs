//! The relay tree that brings the registry to every node, sans I/O.
//!
//! Control nodes are roots: their host feeds [`RelayEvent::EntriesLearned`] and [`RelayEvent::Tick`]. All other nodes subscribe to one parent, a
//! control node or an edge, and serve what they learn to a bounded number of children. A [`Relay`] owns the node's copy of the
//! registry; the host reads it by [`Relay::registry`] and acts on [`RelayAction::EntriesChanged`].
//!
//! It promises:
//!
//! - a copy never goes back: entries only rise, whatever parent they come from;
//! - an entry is removed only by a tombstone. The exception are entries of sessions at a node that was without a fresh parent for
//!   longer than half of [`RelaySettings::tombstone_retention`]: those that no parent has confirmed after the node has been fresh
//!   again for as long are removed, since their tombstones may have expired everywhere else;
//! - a node is [fresh](Relay::is_fresh) only while ticks of the control chain move through its whole path from a root, and then has
//!   every entry that the root had at that tick;
//! - a node without a fresh parent looks for another until it has one; only a fresh node accepts children, so that a cycle can't last;
//! - children, buffered changes, frame sizes and known addresses are bounded, most of them by [`RelaySettings`].
//!
//! It does not know sockets, clocks or the meaning of most entries.

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
