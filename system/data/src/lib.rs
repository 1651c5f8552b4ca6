//! Data plane: routing, forwarding, streams, and the driver of batch jobs.
//!
//! An edge is a process with one thread. [`node::run`] starts its parts: internal messages and the registry ([`Shared`]), the front
//! end for clients, the readiness check, and the driver of batch jobs. All state is shared by `Rc` and stays on the thread.

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
