//! Splits a stream into server-sent events, so that only complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum length of one event.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Buffers the incomplete event at the end of a stream, and drops events that were forwarded before.
#[derive(Default)]
pub struct EventBuffer {
    partial_event: BytesMut,
    /// Id of the last event with an id that was forwarded.
    last_forwarded_id: Option<u64>,
}

/// Error of an event that exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// Appends bytes of the stream and returns the complete events, without those that were forwarded before.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an event exceeds the maximum length.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial_event.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.partial_event) {
            let event = self.partial_event.split_to(end);
            let id = event_id(&event);
            if id.is_none() || id > self.last_forwarded_id {
                self.last_forwarded_id = id.or(self.last_forwarded_id);
                complete.extend_from_slice(&event);
            }
        }
        if self.partial_event.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(complete.freeze())
    }

    /// Id of the last event that was forwarded.
    #[must_use]
    pub fn last_forwarded_id(&self) -> Option<u64> {
        self.last_forwarded_id
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial_event.is_empty()
    }

    /// Discards the incomplete event, for instance because the stream was interrupted.
    pub fn discard_partial_event(&mut self) {
        self.partial_event.clear();
    }
}

/// Returns the position after the empty line that ends the first event; `None` if the event is incomplete.
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

/// Returns the number in the `id` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let id = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        id.trim().parse().ok()
    })
}
