//! The outcome of forwarding a request: a store's response, or the reason why there is none.

use std::rc::Rc;

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use hyper::http::{HeaderMap, StatusCode};
use snafu::Snafu;

use crate::index::KnownStore;
use crate::stores::{InFlightGuard, StoreBody};

/// A response whose body has arrived completely.
pub struct CompleteResponse {
    /// The store's status.
    pub status: StatusCode,
    /// The store's headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A response whose body is still arriving.
pub struct StreamedResponse {
    /// The store's status.
    pub status: StatusCode,
    /// The store's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: StoreBody,
    /// The store.
    pub store: Rc<KnownStore>,
    /// Counts the request as in flight at the store.
    pub in_flight: InFlightGuard,
}

/// A store's response, to be forwarded to the client.
pub enum ForwardedResponse {
    /// Its body is complete.
    Complete(CompleteResponse),
    /// Its body follows.
    Streamed(StreamedResponse),
}

/// There is no store's response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum ForwardError {
    /// A store rejected the request as invalid.
    #[snafu(display("a store rejected the request as invalid"))]
    BadRequest {
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// No further attempt is possible: by the retry policy, or for want of a store.
    #[snafu(display("no store answered the request"))]
    AttemptsExhausted {
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

impl ForwardError {
    /// Whether the request may have run.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::BadRequest { verdict } | Self::AttemptsExhausted { verdict } => verdict,
        }
    }
}
