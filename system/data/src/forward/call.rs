//! Calls that this edge makes itself, by the same routes and attempts as a client's requests.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use hyper::http::{header, HeaderValue, Method, Request, StatusCode};
use tokio::time::timeout;

use super::attempts::{Answer, Attempts, Whole};
use super::outgoing::Outgoing;
use crate::headers;
use crate::Shared;

/// The longest body of an answer to such a call.
const MAX_BODY_BYTES: usize = 1024 * 1024;

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

/// The answer to a call that this edge made itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The store's status.
    pub status: StatusCode,
    /// The store's `Server-Signature`; empty if it gave none.
    pub signature: String,
    /// The whole body.
    pub body: Bytes,
    /// How many stores answered with an error of their own; this answer counts if it is one.
    pub server_errors: u32,
}

/// Makes a call by its route; an idempotent one is tried at several stores. Dropping the future drops the call.
pub async fn call(shared: &Rc<Shared>, call: Call) -> Result<CallAnswer, Verdict> {
    let path = call.path.split('?').next().unwrap_or_default();
    let route = shared.route(&call.host, path).ok_or(Verdict::NeverRan)?;
    let until = call.deadline;
    let request = request(call).ok_or(Verdict::NeverRan)?;
    let outgoing = Rc::new(Outgoing::new(request, route, until));
    let mut attempts = Attempts::new(Rc::clone(shared), outgoing);
    let answer = attempts.run(None).await.map_err(|given_up| given_up.verdict)?;
    let whole = whole(answer, attempts.left()).await?;
    let signature = headers::text(&whole.headers, &headers::SERVER_SIGNATURE).unwrap_or_default().to_owned();
    let server_errors = attempts.server_errors();
    Ok(CallAnswer { status: whole.status, signature, body: whole.body, server_errors })
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

async fn whole(answer: Answer, left: Duration) -> Result<Whole, Verdict> {
    match answer {
        Answer::Whole(whole) => Ok(whole),
        Answer::Streamed(streamed) => {
            let collected = timeout(left, streamed.body.collect(MAX_BODY_BYTES)).await;
            let body =
                collected.map_err(|_elapsed| Verdict::MayHaveRun)?.map_err(|attempt| attempt.verdict)?;
            Ok(Whole { status: streamed.status, headers: streamed.headers, body })
        }
    }
}
