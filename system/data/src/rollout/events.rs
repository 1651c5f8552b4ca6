//! Reads a stream of events (`text/event-stream`) in whatever pieces it comes.
//!
//! What is kept between two pieces is one line and one event, both bounded. An event is told only once its closing empty line
//! is there, so a stream that is cut in the middle of one leaves nothing behind.

use snafu::Snafu;

/// The most bytes of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// The line of an event from which on other weights made it.
const VERSION_FIELD: &[u8] = b"weight-versions";

/// Why a stream can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[snafu(display("an event of a stream is too large"))]
    TooLarge,
    /// An id or a version is no whole number, or an event with data has no id.
    #[snafu(display("an event of a stream has no proper id or version"))]
    Malformed,
}

/// One whole event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its id.
    pub id: u64,
    /// The version of the weights from this event on, where it changes.
    pub version: Option<u64>,
    /// Its data; several lines are parted by line feeds.
    pub data: &'a [u8],
}

/// What of a stream has been read, up to the end of the last piece.
#[derive(Debug, Default)]
pub struct EventReader {
    /// The part of a line that has come.
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    id: Option<u64>,
    version: Option<u64>,
}

impl EventReader {
    /// Reads a piece; `take` gets each event that ends in it, and stops the reading by an error.
    pub fn feed<E: From<StreamError>>(
        &mut self,
        mut piece: &[u8],
        mut take: impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        while let Some(end) = piece.iter().position(|&byte| byte == b'\n') {
            let (line, rest) = (&piece[..end], &piece[end + 1..]);
            if self.line.is_empty() {
                self.line(line, &mut take)?;
            } else {
                self.keep(line)?;
                let mut whole = std::mem::take(&mut self.line);
                self.line(&whole, &mut take)?;
                whole.clear();
                self.line = whole;
            }
            piece = rest;
        }
        Ok(self.keep(piece)?)
    }

    /// Whether the stream stands between two events, where alone it may end.
    pub fn between_events(&self) -> bool {
        self.line.is_empty() && !self.has_data && self.id.is_none() && self.version.is_none()
    }

    fn keep(&mut self, part: &[u8]) -> Result<(), StreamError> {
        if self.line.len() + self.data.len() + part.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    fn line<E: From<StreamError>>(
        &mut self,
        line: &[u8],
        take: &mut impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return self.dispatch(take);
        }
        let colon = line.iter().position(|&byte| byte == b':').unwrap_or(line.len());
        let (field, value) = (&line[..colon], line.get(colon + 1..).unwrap_or_default());
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match field {
            b"data" => self.add_data(value)?,
            b"id" => self.id = Some(number(value)?),
            VERSION_FIELD => self.version = Some(number(value)?),
            // Comments and other fields say nothing that is kept.
            _ => {}
        }
        Ok(())
    }

    fn add_data(&mut self, value: &[u8]) -> Result<(), StreamError> {
        if self.data.len() + value.len() >= MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        if self.has_data {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(value);
        self.has_data = true;
        Ok(())
    }

    fn dispatch<E: From<StreamError>>(
        &mut self,
        take: &mut impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let (id, version, has_data) = (self.id.take(), self.version.take(), self.has_data);
        let taken = match id {
            Some(id) => take(Event { id, version, data: &self.data }),
            None if has_data || version.is_some() => Err(StreamError::Malformed.into()),
            None => Ok(()),
        };
        self.data.clear();
        self.has_data = false;
        taken
    }
}

fn number(value: &[u8]) -> Result<u64, StreamError> {
    let text = std::str::from_utf8(value).map_err(|_| StreamError::Malformed)?;
    text.trim().parse().map_err(|_| StreamError::Malformed)
}
