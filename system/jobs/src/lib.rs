//! The backend plane: batch jobs, their items and results, replicated by partition.
//!
//! [`store`] is the replicated state of one partition, [`partition`] adds its replica and the duties of head and tail, [`backend`]
//! has all partitions on one disk; none of them does I/O. [`node`] owns the sockets, the disk and the clock.

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
