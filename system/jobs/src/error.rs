//! Errors of a backend.

use gingerledge_storage::StorageError;
use gingerledge_transport::TransportError;
use snafu::Snafu;

pub use crate::codec::CodecError;

/// Error in starting a backend, or in reading or writing its data.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JobsError {
    /// A command of a partition can't be encoded or decoded.
    #[snafu(display("a command {source}"))]
    Command {
        /// The cause.
        source: CodecError,
    },
    /// The state of a partition can't be encoded or decoded.
    #[snafu(display("the state of a partition {source}"))]
    State {
        /// The cause.
        source: CodecError,
    },
    /// A record of the disk can't be encoded or decoded.
    #[snafu(display("a record on the disk {source}"))]
    Record {
        /// The cause.
        source: CodecError,
    },
    /// The settings contain no data directory, which a backend needs.
    #[snafu(display("dataDir: is missing; a backend needs a disk"))]
    MissingDataDir,
    /// The disk can't be opened or written.
    #[snafu(display("the disk: {source}"))]
    Disk {
        /// The cause.
        source: StorageError,
    },
    /// The network could not be set up.
    #[snafu(display("the network: {source}"))]
    Network {
        /// The cause.
        source: TransportError,
    },
    /// Signals of the operating system can't be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}
