//! The data plane: routing, forwarding, streams, and the driver of a batch job.
//!
//! One edge is one process with one thread. [`node::run`] brings it up: internal messages and the registry ([`Shared`]), the
//! front for clients, readiness, and the driver of batch jobs. All state is shared by `Rc`; nothing here is sent to
//! another thread.

#![warn(unreachable_pub)]

mod clock;
pub mod forward;
pub mod front;
pub mod headers;
pub mod index;
pub mod node;
mod reply;
pub mod rollout;
pub mod routing;
mod shared;
pub mod stores;

pub use clock::Clock;
pub use reply::{CloseConnection, Reply, ReplyBody};
pub use shared::Shared;
