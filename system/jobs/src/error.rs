//! What can go wrong in the backend plane.

use gingerledge_storage::StorageError;
use gingerledge_transport::TransportError;
use snafu::Snafu;

pub use crate::codec::CodecError;

/// Why the backend can't go on, or can't take something.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JobsError {
    /// A command of a partition's chain.
    #[snafu(display("a command {source}"))]
    Command {
        /// What is wrong with it.
        source: CodecError,
    },
    /// The state of a partition.
    #[snafu(display("the state of a partition {source}"))]
    State {
        /// What is wrong with it.
        source: CodecError,
    },
    /// A record on the disk.
    #[snafu(display("a record on the disk {source}"))]
    Record {
        /// What is wrong with it.
        source: CodecError,
    },
    /// The settings name no folder for data.
    #[snafu(display("dataDir: is missing; a backend needs a disk"))]
    NoDisk,
    /// The disk.
    #[snafu(display("the disk: {source}"))]
    Disk {
        /// What is wrong with it.
        source: StorageError,
    },
    /// The network could not be set up.
    #[snafu(display("the network: {source}"))]
    Network {
        /// What is wrong with it.
        source: TransportError,
    },
    /// The signals of the system can't be heard.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
}
