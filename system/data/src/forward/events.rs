//! Events of a stream, cut out of the bytes that come, so that only whole ones are passed on.

use bytes::{Bytes, BytesMut};

/// The most bytes that one event may have.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of a stream up to the end of its last whole event, and what is known of the events passed on.
#[derive(Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// An event is longer than any may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl EventBuffer {
    /// Takes bytes in and gives the whole events that are new. Events that were passed on before are left out.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if id.is_none() || id > self.last_id {
                self.last_id = id.or(self.last_id);
                whole.extend_from_slice(&event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(whole.freeze())
    }

    /// The id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets the beginning of an event whose rest won't come.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the first event ends, after its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (place, _) in bytes.iter().enumerate().filter(|(_, &byte)| byte == b'\n') {
        let line = bytes.get(line_start..place).unwrap_or_default();
        if line.is_empty() || line == b"\r" {
            return Some(place + 1);
        }
        line_start = place + 1;
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
