//! Reads the complete body of a client's request, within the limits.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

use super::budget::RequestPermit;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(super) enum BodyError {
    /// It is longer than the configuration allows.
    #[snafu(display("the body is longer than the configuration allows"))]
    TooLong,
    /// The budget is exhausted, or the body did not arrive before the deadline.
    #[snafu(display("the body is not admitted now"))]
    NotAdmitted,
    /// The client closed its connection.
    #[snafu(display("the client closed its connection"))]
    Disconnected,
}

/// Reads a body of at most `max_bytes`, which the permit has to admit.
///
/// # Errors
///
/// [`BodyError`]; part of the body may be left unread.
pub(super) async fn read(
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
    let Some(first) = next(&mut body).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() {
        return Ok(first);
    }
    let mut complete = BytesMut::with_capacity(announced_length.unwrap_or(first.len()));
    let mut data = first;
    loop {
        if complete.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        if announced_length.is_none() && !permit.try_reserve(data.len()) {
            return Err(BodyError::NotAdmitted);
        }
        complete.extend_from_slice(&data);
        match next(&mut body).await? {
            Some(next) => data = next,
            None => return Ok(complete.freeze()),
        }
    }
}

async fn next(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| BodyError::Disconnected)?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
