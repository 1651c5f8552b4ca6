//! Timeouts of one attempt of a request at a store, and the reasons why an attempt fails.

use std::time::Duration;

use gingerledge_protocol::Verdict;
use snafu::Snafu;

use super::rejection::Rejection;

/// Timeouts of the phases of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// Timeout for opening a connection, and for waiting until one is released if none may be opened.
    pub connect: Duration,
    /// Timeout from the start of the attempt to the response head.
    pub head: Duration,
    /// Timeout between two frames of the response body, and between the response head and the first frame.
    pub idle: Duration,
}

/// Why an attempt ended without a response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum AttemptError {
    /// No connection could be opened.
    #[snafu(display("no connection to the store could be opened"))]
    ConnectFailed,
    /// All connections that this edge may have to the store are in use.
    #[snafu(display("all connections to the store are in use"))]
    NoConnectionAvailable,
    /// The store was removed while the request waited for a connection.
    #[snafu(display("the store was removed from the registry"))]
    StoreRemoved,
    /// The store responded that it did not run the request.
    #[snafu(display("the store rejected the request with {}", rejection.status))]
    Rejected {
        /// Details of the rejection.
        rejection: Rejection,
    },
    /// The connection failed after at least a part of the request was written.
    #[snafu(display("the connection to the store failed"))]
    Disconnected,
    /// The response does not belong to this request or is not valid.
    #[snafu(display("the store sent an invalid response"))]
    InvalidResponse,
    /// A timeout expired after the request was written.
    #[snafu(display("the store timed out"))]
    TimedOut,
}

impl AttemptError {
    /// Whether the request may have run at the store.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::ConnectFailed
            | Self::NoConnectionAvailable
            | Self::StoreRemoved
            | Self::Rejected { .. } => Verdict::NeverRan,
            Self::Disconnected | Self::InvalidResponse | Self::TimedOut => Verdict::MayHaveRun,
        }
    }
}
