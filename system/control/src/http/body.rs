//! Reads the bodies of HTTP calls with limits on their size and on the time for reading them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::LengthLimitError;
use salvo::http::{ParseError, StatusCode};
use salvo::{Request, Response};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::reject;

/// Maximum size of the body of a call other than a change of the configuration, in bytes.
pub(super) const MAX_SMALL_BODY_BYTES: usize = 256 * 1024;
/// Maximum size of the body of a configuration change, in bytes.
pub(super) const MAX_CONFIGURATION_BYTES: usize = 40 * 1024 * 1024;
/// Maximum time for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads the complete body. If it can't be read, the call is answered with the reason and `None` is returned.
pub(super) async fn read(request: &mut Request, response: &mut Response, max_bytes: usize) -> Option<Bytes> {
    match timeout(BODY_TIMEOUT, request.payload_with_max_size(max_bytes)).await {
        Ok(Ok(body)) => Some(body.clone()),
        Ok(Err(ParseError::Other(error))) if error.is::<LengthLimitError>() => {
            reject(
                response,
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("the body is larger than {max_bytes} bytes"),
            );
            None
        }
        Ok(Err(error)) => {
            reject(response, StatusCode::BAD_REQUEST, format!("the body can't be read whole: {error}"));
            None
        }
        Err(_) => {
            reject(response, StatusCode::REQUEST_TIMEOUT, "the body took too long".to_owned());
            None
        }
    }
}

/// Reads a small body and parses it as JSON. If that fails, the call is answered with the reason and `None` is returned.
pub(super) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    response: &mut Response,
) -> Option<T> {
    let body = read(request, response, MAX_SMALL_BODY_BYTES).await?;
    match serde_json::from_slice(&body) {
        Ok(value) => Some(value),
        Err(error) => {
            reject(response, StatusCode::BAD_REQUEST, format!("the body is not as expected: {error}"));
            None
        }
    }
}
