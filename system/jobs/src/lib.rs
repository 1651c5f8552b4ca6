//! The backend plane: batch jobs, their items and results, replicated by partition.
//!
//! [`store`] is the state of one partition, [`partition`] adds its replica and its duties as head and tail, [`backend`] holds
//! all partitions over one disk; none of them does I/O. [`node`] owns the sockets, the disk and the time.

mod codec;
mod error;
mod settings;

pub mod backend;
pub mod node;
pub mod partition;
pub mod store;

pub use error::{CodecError, JobsError};
pub use settings::JobsSettings;
