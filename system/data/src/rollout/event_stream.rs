//! An incremental parser of event streams (`text/event-stream`, WHATWG HTML, section 9.2), which come in chunks of any size.
//!
//! Between two chunks it buffers one line and one event, together bounded. An event is delivered only once its closing empty line has
//! arrived, so a stream that is interrupted in the middle of one delivers nothing of it.

use snafu::Snafu;

/// The most bytes of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// The field of an event that names the version of the weights from this event on.
const VERSION_FIELD: &[u8] = b"weight-versions";

/// Why a stream can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[snafu(display("an event of a stream is too large"))]
    TooLarge,
    /// An id or a version is not an integer, or an event with data has no id.
    #[snafu(display("an event of a stream has no proper id or version"))]
    Malformed,
}

/// One complete event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its id.
    pub id: u64,
    /// The version of the weights from this event on, where it changes.
    pub version: Option<u64>,
    /// Its data; several lines are separated by line feeds.
    pub data: &'a [u8],
}

/// The state of the parser at the end of the last chunk.
#[derive(Debug, Default)]
pub struct EventReader {
    /// The part of a line that has arrived.
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    id: Option<u64>,
    version: Option<u64>,
}

impl EventReader {
    /// Parses a chunk and calls `on_event` for each event that ends in it.
    ///
    /// # Errors
    ///
    /// [`StreamError`], or the first error of `on_event`; the rest of the chunk is not parsed then.
    pub fn feed<E: From<StreamError>>(
        &mut self,
        mut chunk: &[u8],
        mut on_event: impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        while let Some(end) = chunk.iter().position(|&byte| byte == b'\n') {
            let (line, rest) = (&chunk[..end], &chunk[end + 1..]);
            if self.line.is_empty() {
                self.parse_line(line, &mut on_event)?;
            } else {
                self.buffer(line)?;
                let mut complete = std::mem::take(&mut self.line);
                self.parse_line(&complete, &mut on_event)?;
                complete.clear();
                self.line = complete;
            }
            chunk = rest;
        }
        Ok(self.buffer(chunk)?)
    }

    /// Whether the parser is between two events, the only point where a stream may end.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.line.is_empty() && !self.has_data && self.id.is_none() && self.version.is_none()
    }

    fn buffer(&mut self, part: &[u8]) -> Result<(), StreamError> {
        if self.line.len() + self.data.len() + part.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    fn parse_line<E: From<StreamError>>(
        &mut self,
        line: &[u8],
        on_event: &mut impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return self.dispatch(on_event);
        }
        let colon = line.iter().position(|&byte| byte == b':').unwrap_or(line.len());
        let (field, value) = (&line[..colon], line.get(colon + 1..).unwrap_or_default());
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match field {
            b"data" => self.add_data(value)?,
            b"id" => self.id = Some(parse_number(value)?),
            VERSION_FIELD => self.version = Some(parse_number(value)?),
            // Comments and unknown fields are ignored.
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
        on_event: &mut impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let (id, version, has_data) = (self.id.take(), self.version.take(), self.has_data);
        let result = match id {
            Some(id) => on_event(Event { id, version, data: &self.data }),
            None if has_data || version.is_some() => Err(StreamError::Malformed.into()),
            None => Ok(()),
        };
        self.data.clear();
        self.has_data = false;
        result
    }
}

fn parse_number(value: &[u8]) -> Result<u64, StreamError> {
    let text = std::str::from_utf8(value).map_err(|_| StreamError::Malformed)?;
    text.trim().parse().map_err(|_| StreamError::Malformed)
}
