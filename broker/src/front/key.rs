//! The header in which clients send the key of a query, on either front. In a keyed class it has to be there, once
//! and whole: without it stores would take a repeat for another query.

use crate::core::{BadKey, IdempotencyKey};
use crate::http::Head;

/// Its name.
pub const HEADER: &str = "Idempotency-Key";

/// Why there is no key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoKey {
    /// There is no such header.
    #[error("{HEADER}: missing, and this class needs it")]
    Missing,
    /// There are several, and nothing says which one counts.
    #[error("{HEADER}: stands twice")]
    Twice,
    /// It is no text.
    #[error("{HEADER}: no text")]
    NoText,
    /// It can't be used.
    #[error("{HEADER}: {0}")]
    Bad(#[from] BadKey),
}

/// The key of a request in a class that is keyed. In other classes none is read: only a keyed class is said to carry one,
/// so there a store would take a frame with `k` for one that no client asked for, whatever the header holds.
pub fn of(head: &Head, keyed: bool) -> Result<Option<IdempotencyKey>, NoKey> {
    if !keyed {
        return Ok(None);
    }
    let mut values = head.values(HEADER);
    let value = match (values.next(), values.next()) {
        (None, _) => return Err(NoKey::Missing),
        (Some(_), Some(_)) => return Err(NoKey::Twice),
        (Some(value), None) => std::str::from_utf8(value).map_err(|_| NoKey::NoText)?,
    };
    Ok(Some(IdempotencyKey::new(value.trim_matches([' ', '\t']))?))
}
