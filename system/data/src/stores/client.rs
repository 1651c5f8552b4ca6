//! Sends requests to stores over pooled connections.

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use http_body_util::Full;
use hyper::http::Request;

use super::{Attempt, Cause, StoreAnswer, StoreTarget, Timings};

/// Sends requests to stores.
#[derive(Default)]
pub struct StoreClient {}

impl StoreClient {
    /// A client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// One attempt of a request at one store. The request's URI is its path and query; `Expected-Instance` is set here.
    /// `Attempt-Id` must be set by the caller, and the answer's must equal it. A refusal by the store is an [`Attempt`] that
    /// never ran; anything else that the store said itself is an answer.
    pub async fn send(
        &self,
        _target: &StoreTarget,
        _request: Request<Full<Bytes>>,
        _timings: Timings,
    ) -> Result<StoreAnswer, Attempt> {
        Err(Attempt { verdict: Verdict::NeverRan, cause: Cause::Connect })
    }
}
