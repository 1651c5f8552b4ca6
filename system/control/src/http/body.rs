//! Bodies of calls: read whole, within bounds of size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::LengthLimitError;
use salvo::http::{ParseError, StatusCode};
use salvo::{Request, Response};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::refuse;

/// The largest body of a small call.
pub(super) const SMALL_BODY_BYTES: usize = 256 * 1024;
/// The largest configuration.
pub(super) const LARGE_BODY_BYTES: usize = 40 * 1024 * 1024;
/// How long a body may take.
const BODY_PATIENCE: Duration = Duration::from_secs(15);

/// The whole body; none if the call has been answered that it can't be read.
pub(super) async fn read(request: &mut Request, response: &mut Response, most: usize) -> Option<Bytes> {
    match timeout(BODY_PATIENCE, request.payload_with_max_size(most)).await {
        Ok(Ok(body)) => Some(body.clone()),
        Ok(Err(ParseError::Other(error))) if error.is::<LengthLimitError>() => {
            refuse(response, StatusCode::PAYLOAD_TOO_LARGE, format!("the body is larger than {most} bytes"));
            None
        }
        Ok(Err(error)) => {
            refuse(response, StatusCode::BAD_REQUEST, format!("the body can't be read whole: {error}"));
            None
        }
        Err(_) => {
            refuse(response, StatusCode::REQUEST_TIMEOUT, "the body took too long".to_owned());
            None
        }
    }
}

/// A small body in JSON; none if the call has been answered that it is none.
pub(super) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    response: &mut Response,
) -> Option<T> {
    let body = read(request, response, SMALL_BODY_BYTES).await?;
    match serde_json::from_slice(&body) {
        Ok(value) => Some(value),
        Err(error) => {
            refuse(response, StatusCode::BAD_REQUEST, format!("the body is not as expected: {error}"));
            None
        }
    }
}
