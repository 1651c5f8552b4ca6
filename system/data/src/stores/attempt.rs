//! The time-outs of one attempt, and the reasons why it fails.

use std::time::Duration;

use gingerledge_protocol::Verdict;
use snafu::Snafu;

use super::rejection::Rejection;

/// The time-outs of the phases of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// To get a connection.
    pub connect: Duration,
    /// From the start of the attempt to the head of the response.
    pub head: Duration,
    /// Between two frames of the response's body, and from its head to the first.
    pub idle: Duration,
}

/// Why an attempt ended without a response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum AttemptError {
    /// No connection could be opened.
    #[snafu(display("no connection to the store could be opened"))]
    ConnectFailed,
    /// All connections to the store that this edge may have are in use.
    #[snafu(display("all connections to the store are in use"))]
    NoConnectionAvailable,
    /// The store was removed while the request waited for a connection.
    #[snafu(display("the store was removed from the registry"))]
    StoreRemoved,
    /// The store responded that it did not run the request.
    #[snafu(display("the store rejected the request with {}", rejection.status))]
    Rejected {
        /// The store's response.
        rejection: Rejection,
    },
    /// The connection failed after the request was written, at least in part.
    #[snafu(display("the connection to the store failed"))]
    Disconnected,
    /// The response is not one to this request, or not valid.
    #[snafu(display("the store sent an invalid response"))]
    InvalidResponse,
    /// A time-out expired after the request was written.
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
