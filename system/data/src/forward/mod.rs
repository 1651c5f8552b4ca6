//! Forwarding: which stores a request goes to, how often, and what becomes of it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use hyper::http::StatusCode;

use crate::Shared;

/// The answer to a call that this edge made itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The store's status.
    pub status: StatusCode,
    /// The store's `Server-Signature`; empty if it gave none.
    pub signature: String,
    /// The whole body.
    pub body: Bytes,
}

/// One call that this edge makes itself, for instance a reward call: a `POST` by the route of the host and path.
pub struct Call {
    /// The host whose routes are taken.
    pub host: String,
    /// The path and query.
    pub path: String,
    /// Sent as `Attempt-Id`.
    pub id: String,
    /// The body.
    pub body: Bytes,
    /// Given up then, on the clock of [`Shared::now`].
    pub deadline: Duration,
}

/// Makes a call by its route; an idempotent one is tried at several stores. Dropping the future drops the call.
pub async fn call(_shared: &Rc<Shared>, _call: Call) -> Result<CallAnswer, Verdict> {
    Err(Verdict::NeverRan)
}
