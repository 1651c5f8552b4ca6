//! Reads the body of a client's request whole, within the limits.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::budget::Room;

/// Why there is no body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// It is longer than the configuration allows.
    TooLong,
    /// There is no room for it now.
    NoRoom,
    /// The client broke off.
    Broken,
}

/// The whole body, if it is no longer than that and there is room for it.
pub async fn read(mut body: Incoming, most: usize, room: &mut Room) -> Result<Bytes, Unread> {
    let told = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if told.is_some_and(|length| length > most) {
        return Err(Unread::TooLong);
    }
    if let Some(length) = told.filter(|&length| !room.grow(length)) {
        log::debug!("no room for a body of {length} bytes");
        return Err(Unread::NoRoom);
    }
    let Some(first) = next(&mut body).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(told.unwrap_or(first.len()));
    let mut piece = first;
    loop {
        if whole.len() + piece.len() > most {
            return Err(Unread::TooLong);
        }
        if told.is_none() && !room.grow(piece.len()) {
            return Err(Unread::NoRoom);
        }
        whole.extend_from_slice(&piece);
        match next(&mut body).await? {
            Some(next) => piece = next,
            None => return Ok(whole.freeze()),
        }
    }
}

async fn next(body: &mut Incoming) -> Result<Option<Bytes>, Unread> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
