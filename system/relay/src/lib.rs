//! The relay tree that brings the registry to every node, sans I/O.
//!
//! Control nodes are roots: their host feeds [`RelayEvent::EntriesLearned`] and [`RelayEvent::Tick`]. All other nodes subscribe to one parent, a
//! control node or an edge, and serve what they learn to a bounded number of children. A [`Relay`] owns the node's copy of the
//! registry; the host reads it by [`Relay::registry`] and acts on [`RelayAction::EntriesChanged`].
//!
//! It promises:
//!
//! - a copy never goes back: entries only rise, whatever parent they come from;
//! - an entry is removed only by one that says "gone". The exception are entries of sessions at a node that was without a fresh
//!   parent for longer than half of [`RelaySettings::tombstone_retention`]: what no parent has confirmed after the node has been
//!   fresh again for as long goes, since the word of its end may have been missed for good;
//! - a node is [fresh](Relay::fresh) only while ticks of the control chain move through its whole path from a root, and then has
//!   every entry that the root had at that tick;
//! - a node without a fresh parent looks for another until it has one; only a fresh node takes children, so that a cycle starves;
//! - children, buffered changes, frame sizes and known addresses are bounded, most of them by [`RelaySettings`].
//!
//! It does not know sockets, clocks or the meaning of most entries.

mod candidates;
mod children;
mod digest;
mod directory;
mod event;
mod feed;
mod freshness;
mod link;
mod log;
mod relay;
mod replica;
mod search;
mod settings;
mod suspects;
mod upstream;
mod weight;

pub use event::{RelayAction, RelayEvent};
pub use relay::Relay;
pub use settings::RelaySettings;
