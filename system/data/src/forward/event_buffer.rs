//! Splits a stream into events, so that only complete ones are forwarded.

use bytes::{Bytes, BytesMut};

/// The most bytes that one event may have.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// The incomplete event at the end of a stream, and the id of the last one forwarded.
#[derive(Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// An event exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// Appends bytes and returns the complete events; those that were forwarded before are left out.
    ///
    /// # Errors
    ///
    /// An event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if id.is_none() || id > self.last_id {
                self.last_id = id.or(self.last_id);
                complete.extend_from_slice(&event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(complete.freeze())
    }

    /// The id of the last event that was forwarded.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether it ends with an incomplete event.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards an incomplete event whose rest will not arrive.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the first event ends, after its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, _) in bytes.iter().enumerate().filter(|(_, &byte)| byte == b'\n') {
        let line = bytes.get(line_start..position).unwrap_or_default();
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

/// The number in the event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let id = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        id.trim().parse().ok()
    })
}
