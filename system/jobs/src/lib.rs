//! The backend plane: batch jobs with their items and results, divided into partitions that are replicated by chains.
//!
//! [`store`] is the replicated state of one partition. [`partition`] adds the chain replica and the work of the chain's head and
//! tail. [`backend`] combines all partitions of a process on one disk. None of these performs I/O: [`node`] owns the sockets, the
//! disk and the clock.

#![warn(unreachable_pub)]

mod codec;
mod error;
mod settings;

pub mod backend;
pub mod node;
pub mod partition;
pub mod store;

pub use error::{CodecError, JobsError};
pub use settings::JobsSettings;
