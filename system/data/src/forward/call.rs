//! Requests of this edge itself, by the same routes and retries as a client's.

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

/// The longest body of a response.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A request of this edge itself, for instance a scoring call: a `POST` by the route of the host and path.
pub struct Call {
    /// The host by which it is routed.
    pub host: String,
    /// The path and query.
    pub path: String,
    /// Sent as `Attempt-Id`.
    pub id: String,
    /// The body.
    pub body: Bytes,
    /// Its deadline, on the clock of [`Shared::now`].
    pub deadline: Duration,
}

/// The response to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// The store's status.
    pub status: StatusCode,
    /// The store's `Server-Signature`; empty if it gave none.
    pub signature: String,
    /// The complete body.
    pub body: Bytes,
    /// How many stores responded with a server error, this response included.
    pub server_errors: u32,
}

/// Makes a call by its route; an idempotent one is retried at other stores. Dropping the future cancels it.
///
/// # Errors
///
/// Whether the call may have run, if no store answered it.
pub async fn call(shared: &Rc<Shared>, call: Call) -> Result<CallResponse, Verdict> {
    let path = call.path.split('?').next().unwrap_or_default();
    let route = shared.route(&call.host, path).ok_or(Verdict::NeverRan)?;
    let deadline = call.deadline;
    let request = request(call).ok_or(Verdict::NeverRan)?;
    let outgoing = Rc::new(OutgoingRequest::new(request, route, deadline));
    let mut attempts = Attempts::new(Rc::clone(shared), outgoing);
    let response = attempts.run(None).await.map_err(super::response::ForwardError::verdict)?;
    let response = complete(response, attempts.time_left()).await?;
    let signature =
        headers::text(&response.headers, &headers::SERVER_SIGNATURE).unwrap_or_default().to_owned();
    let server_errors = attempts.server_errors();
    Ok(CallResponse { status: response.status, signature, body: response.body, server_errors })
}

fn request(call: Call) -> Option<Request<Bytes>> {
    let mut request = Request::new(call.body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = call.path.parse().ok()?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_str(&call.host).ok()?);
    headers.insert(headers::ATTEMPT_ID, HeaderValue::from_str(&call.id).ok()?);
    Some(request)
}

async fn complete(response: ForwardedResponse, time_left: Duration) -> Result<CompleteResponse, Verdict> {
    match response {
        ForwardedResponse::Complete(response) => Ok(response),
        ForwardedResponse::Streamed(streamed) => {
            let collected = timeout(time_left, streamed.body.collect(MAX_BODY_BYTES)).await;
            let body = collected.map_err(|_elapsed| Verdict::MayHaveRun)?.map_err(|error| error.verdict())?;
            Ok(CompleteResponse { status: streamed.status, headers: streamed.headers, body })
        }
    }
}
