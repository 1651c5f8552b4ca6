//! Outcome of forwarding a request: a store's response, or the reason why there is none.

use std::rc::Rc;

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use hyper::http::{HeaderMap, StatusCode};
use snafu::Snafu;

use crate::index::KnownStore;
use crate::stores::{InFlightGuard, StoreBody};

/// Response of a store whose body has arrived completely.
pub struct CompleteResponse {
    /// HTTP status of the store's response.
    pub status: StatusCode,
    /// Headers of the store's response.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Response of a store whose body is still arriving.
pub struct StreamedResponse {
    /// HTTP status of the store's response.
    pub status: StatusCode,
    /// Headers of the store's response.
    pub headers: HeaderMap,
    /// Body that is still arriving.
    pub body: StoreBody,
    /// Store that sent the response.
    pub store: Rc<KnownStore>,
    /// Keeps the request counted as in flight at the store.
    pub in_flight_guard: InFlightGuard,
}

/// Response of a store that is forwarded to the client.
pub enum ForwardedResponse {
    /// The body is complete.
    Complete(CompleteResponse),
    /// The body is still arriving.
    Streamed(StreamedResponse),
}

/// Why there is no response of a store to forward.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum ForwardError {
    /// A store rejected the request as invalid.
    #[snafu(display("a store rejected the request as invalid"))]
    BadRequest {
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// No further attempt is possible, because the retry policy forbids it or no other store is available.
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
