//! The key under which stores tell a repeat of a query from another query. Its bound and the characters it may hold
//! are checked here and nowhere else; whoever has an [`IdempotencyKey`] may write it into a frame's list or a header
//! line as it stands.

use std::rc::Rc;

/// No key is longer.
pub const KEY_MAX: usize = 128;

/// A key that has been checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(Rc<str>);

/// Why a text is no key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadKey {
    /// There is nothing in it.
    #[error("empty, expected 1 to {KEY_MAX} characters")]
    Empty,
    /// It is too long.
    #[error("{0} characters long, expected 1 to {KEY_MAX}")]
    TooLong(usize),
    /// It holds what would end an entry of a list, its line, or a header.
    #[error("expected visible ASCII characters without comma and equals sign, found {0:?}")]
    Unfit(char),
}

impl IdempotencyKey {
    /// Checks a key.
    pub fn new(text: &str) -> Result<Self, BadKey> {
        let unfit = |c: &char| !c.is_ascii_graphic() || matches!(c, ',' | '=');
        match text.chars().find(unfit) {
            _ if text.is_empty() => Err(BadKey::Empty),
            Some(found) => Err(BadKey::Unfit(found)),
            None if text.len() > KEY_MAX => Err(BadKey::TooLong(text.len())),
            None => Ok(Self(text.into())),
        }
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
