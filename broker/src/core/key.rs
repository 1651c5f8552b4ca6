//! The idempotency key, by which stores distinguish a retry of a query from another query. Its length and characters are
//! validated here and nowhere else, so that an [`IdempotencyKey`] may be written unescaped into a frame's parameter list or
//! a header line.

use std::rc::Rc;

/// Maximum length of an idempotency key, in bytes.
pub const KEY_MAX: usize = 128;

/// A valid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(Rc<str>);

/// The reason for which a text is not a valid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadKey {
    /// The text is empty.
    #[error("empty, expected 1 to {KEY_MAX} characters")]
    Empty,
    /// The text is longer than [`KEY_MAX`]; carries its length.
    #[error("{0} characters long, expected 1 to {KEY_MAX}")]
    TooLong(usize),
    /// The text contains a character that would end a list entry, a line or a header; carries the first one.
    #[error("expected visible ASCII characters without comma and equals sign, found {0:?}")]
    InvalidCharacter(char),
}

impl IdempotencyKey {
    /// Validates a key.
    ///
    /// # Errors
    ///
    /// If the text is empty, too long, or contains an invalid character.
    pub fn new(text: &str) -> Result<Self, BadKey> {
        let is_invalid = |c: &char| !c.is_ascii_graphic() || matches!(c, ',' | '=');
        match text.chars().find(is_invalid) {
            _ if text.is_empty() => Err(BadKey::Empty),
            Some(found) => Err(BadKey::InvalidCharacter(found)),
            None if text.len() > KEY_MAX => Err(BadKey::TooLong(text.len())),
            None => Ok(Self(text.into())),
        }
    }

    /// The key's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
