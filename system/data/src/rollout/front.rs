//! Calls of trainers. (Interfaces only; being written.)

use std::rc::Rc;

use bytes::Bytes;
use hyper::http::{Request, StatusCode};

use crate::{CloseConnection, Reply, ReplyBody, Shared};

/// Answers a call of a trainer: its request was read whole.
pub async fn handle(_shared: Rc<Shared>, _request: Request<Bytes>) -> Result<Reply, CloseConnection> {
    Ok(ReplyBody::status(StatusCode::SERVICE_UNAVAILABLE))
}
