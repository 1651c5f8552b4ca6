//! Requests that this edge itself makes, with the same routing and retries as a client's request.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use hyper::http::{header, HeaderValue, Method, Request, StatusCode};
use tokio::time::timeout;

use super::attempts::Attempts;
use super::outgoing::OutgoingRequest;
use super::response::{CompleteResponse, ForwardedResponse};
use crate::headers;
use crate::Shared;

/// Maximum length of a response body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A `POST` request that this edge itself makes, for instance a scoring call, routed by its host and path.
pub struct Call {
    /// Host by which the request is routed.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Value of the `Attempt-Id` header.
    pub id: String,
    /// Request body.
    pub body: Bytes,
    /// Deadline of the request, on the clock of [`Shared::now`].
    pub deadline: Duration,
}

/// Response to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status of the store's response.
    pub status: StatusCode,
    /// `Server-Signature` header of the store's response; empty if there is none.
    pub signature: String,
    /// Complete response body.
    pub body: Bytes,
    /// Number of server errors that stores responded with, including this response.
    pub server_error_count: u32,
}

/// Makes a call. It is retried at other stores if its route is idempotent. Dropping the future cancels the call.
///
/// # Errors
///
/// Returns whether the call may have run if there is no response of a store.
pub async fn call(shared: &Rc<Shared>, call: Call) -> Result<CallResponse, Verdict> {
    let path = call.path.split('?').next().unwrap_or_default();
    let route = shared.route(&call.host, path).ok_or(Verdict::NeverRan)?;
    let deadline = call.deadline;
    let request = build_request(call).ok_or(Verdict::NeverRan)?;
    let outgoing = Rc::new(OutgoingRequest::new(request, route, deadline));
    let mut attempts = Attempts::new(Rc::clone(shared), outgoing);
    let response = attempts.run(None).await.map_err(super::response::ForwardError::verdict)?;
    let response = read_complete(response, attempts.time_left()).await?;
    let signature =
        headers::text(&response.headers, &headers::SERVER_SIGNATURE).unwrap_or_default().to_owned();
    let server_error_count = attempts.server_error_count();
    Ok(CallResponse { status: response.status, signature, body: response.body, server_error_count })
}

/// Builds the HTTP request of a call; `None` if its host, path or id is not valid in HTTP.
fn build_request(call: Call) -> Option<Request<Bytes>> {
    let mut request = Request::new(call.body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = call.path.parse().ok()?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(&call.host).ok()?);
    headers.insert(headers::ATTEMPT_ID, HeaderValue::from_str(&call.id).ok()?);
    Some(request)
}

/// Reads the rest of a response body.
async fn read_complete(
    response: ForwardedResponse,
    time_left: Duration,
) -> Result<CompleteResponse, Verdict> {
    match response {
        ForwardedResponse::Complete(response) => Ok(response),
        ForwardedResponse::Streamed(streamed) => {
            let collected = timeout(time_left, streamed.body.collect(MAX_BODY_BYTES)).await;
            let body = collected.map_err(|_elapsed| Verdict::MayHaveRun)?.map_err(|error| error.verdict())?;
            Ok(CompleteResponse { status: streamed.status, headers: streamed.headers, body })
        }
    }
}
