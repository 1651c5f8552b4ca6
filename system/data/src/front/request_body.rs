//! Reads the complete body of a client's request, within the limits on its length and on all bodies together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

use super::budget::RequestPermit;

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(super) enum BodyError {
    /// The body is longer than the configuration allows.
    #[snafu(display("the body is longer than the configuration allows"))]
    TooLong,
    /// The byte budget is exhausted, or the body did not arrive before the deadline.
    #[snafu(display("the body is not admitted now"))]
    NotAdmitted,
    /// The client closed its connection.
    #[snafu(display("the client closed its connection"))]
    Disconnected,
}

/// Reads a body of at most `max_bytes`, and reserves its bytes in the budget.
///
/// # Errors
///
/// [`BodyError`] if the body cannot be read completely; the rest of it is left unread.
pub(super) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    permit: &mut RequestPermit,
) -> Result<Bytes, BodyError> {
    let announced_length =
        body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced_length.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLong);
    }
    if let Some(length) = announced_length.filter(|&length| !permit.try_reserve(length)) {
        log::debug!(length; "request body not admitted: budget exhausted");
        return Err(BodyError::NotAdmitted);
    }
    let Some(first_data) = next_data(&mut body).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() {
        return Ok(first_data);
    }
    let mut complete = BytesMut::with_capacity(announced_length.unwrap_or(first_data.len()));
    let mut data = first_data;
    loop {
        if complete.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        if announced_length.is_none() && !permit.try_reserve(data.len()) {
            return Err(BodyError::NotAdmitted);
        }
        complete.extend_from_slice(&data);
        match next_data(&mut body).await? {
            Some(next) => data = next,
            None => return Ok(complete.freeze()),
        }
    }
}

/// Reads the data of the next frame; `None` at the end of the body.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| BodyError::Disconnected)?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
