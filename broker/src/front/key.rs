//! The `Idempotency-Key` header, in which clients of both fronts send the idempotency key of a query. A query of a keyed
//! class must carry exactly one valid key: without it, stores would treat a repeated query as a new one.

use crate::core::{BadKey, IdempotencyKey};
use crate::http::Head;

/// Name of the header that carries the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Error for a request of a keyed class without a usable idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The request does not have the header.
    #[error("{IDEMPOTENCY_KEY_HEADER}: missing, and this class needs it")]
    Missing,
    /// The request has the header several times, so the key is ambiguous.
    #[error("{IDEMPOTENCY_KEY_HEADER}: stands twice")]
    Repeated,
    /// The value of the header is not valid UTF-8.
    #[error("{IDEMPOTENCY_KEY_HEADER}: no text")]
    NotUtf8,
    /// The value of the header is not a valid key.
    #[error("{IDEMPOTENCY_KEY_HEADER}: {0}")]
    Invalid(#[from] BadKey),
}

/// Returns the idempotency key of a request. In a class that is not keyed the header is ignored and no key is
/// returned: stores expect the field `k` only in frames of keyed classes, and would treat a frame with it as one that no
/// client requested.
pub fn read_key(head: &Head, keyed: bool) -> Result<Option<IdempotencyKey>, KeyError> {
    if !keyed {
        return Ok(None);
    }
    let mut values = head.values(IDEMPOTENCY_KEY_HEADER);
    let value = match (values.next(), values.next()) {
        (None, _) => return Err(KeyError::Missing),
        (Some(_), Some(_)) => return Err(KeyError::Repeated),
        (Some(value), None) => std::str::from_utf8(value).map_err(|_| KeyError::NotUtf8)?,
    };
    Ok(Some(IdempotencyKey::new(value.trim_matches([' ', '\t']))?))
}
