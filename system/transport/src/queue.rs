//! The frames that wait for one peer, kept as the very bytes to be written, so that one write takes them all.

use serde::Serialize;

use crate::error::DropReason;
use crate::frame::{self, EncodeFailure};
use crate::settings::NetworkSettings;

/// A buffer larger than this is given back once it is empty.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// A bounded queue of encoded frames, and what of it is being written.
#[derive(Debug, Default)]
pub(crate) struct FrameQueue {
    waiting: Vec<u8>,
    waiting_frames: usize,
    written_bytes: usize,
    written_frames: usize,
}

impl FrameQueue {
    /// Drops everything; the next bytes to be written are those given.
    pub(crate) fn restart(&mut self, first: &[u8]) {
        *self = Self { waiting: first.to_vec(), ..Self::default() };
    }

    /// Whether nothing waits to be written.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether nothing waits and nothing is being written.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_empty() && self.written_frames == 0
    }

    /// Encodes the message at the end of the queue, if it fits.
    pub(crate) fn push<T: Serialize>(
        &mut self,
        message: &T,
        settings: &NetworkSettings,
    ) -> Result<(), DropReason> {
        let frames = self.waiting_frames + self.written_frames;
        let bytes = self.waiting.len() + self.written_bytes;
        if frames >= settings.queue_frames || (frames > 0 && bytes >= settings.queue_bytes) {
            return Err(DropReason::QueueFull);
        }
        let room = match frames {
            0 => settings.max_frame_bytes,
            _ => settings
                .max_frame_bytes
                .min((settings.queue_bytes - bytes).saturating_sub(frame::HEADER_BYTES)),
        };
        match frame::append(&mut self.waiting, message, room) {
            Ok(_) => {
                self.waiting_frames += 1;
                Ok(())
            }
            Err(EncodeFailure::Encoding) => Err(DropReason::Encoding),
            Err(EncodeFailure::TooLarge) if room < settings.max_frame_bytes => Err(DropReason::QueueFull),
            Err(EncodeFailure::TooLarge) => Err(DropReason::TooLarge),
        }
    }

    /// Exchanges what waits for the buffer of what has been written, which is emptied.
    pub(crate) fn take(&mut self, buffer: &mut Vec<u8>) {
        buffer.clear();
        if buffer.capacity() > KEPT_BUFFER_BYTES {
            *buffer = Vec::new();
        }
        std::mem::swap(&mut self.waiting, buffer);
        self.written_bytes = buffer.len();
        self.written_frames = std::mem::take(&mut self.waiting_frames);
    }
}
