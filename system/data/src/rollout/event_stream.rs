//! An incremental parser of event streams (`text/event-stream`, WHATWG HTML, section 9.2) that arrive in chunks of any size.
//!
//! Between two chunks it buffers at most one incomplete line and one incomplete event, together bounded by [`MAX_EVENT_BYTES`]. An event
//! is delivered only after its closing empty line has arrived, so an interrupted stream never delivers a part of an event.

use snafu::Snafu;

/// The maximum size of one event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// The field of an event with the version of the weights that generated this event and the following ones.
const VERSION_FIELD: &[u8] = b"weight-versions";

/// Why an event stream can't be parsed.
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
    /// The id of the event.
    pub id: u64,
    /// The version of the weights that generated this event and the following ones; `None` if it is the same as before.
    pub version: Option<u64>,
    /// The data of the event; several lines are separated by line feeds.
    pub data: &'a [u8],
}

/// A parser of event streams, with the parts of a line and of an event that have arrived.
#[derive(Debug, Default)]
pub struct EventParser {
    /// The part of an incomplete line that has arrived.
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    id: Option<u64>,
    version: Option<u64>,
}

impl EventParser {
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
                self.buffer_line_part(line)?;
                let mut complete_line = std::mem::take(&mut self.line);
                self.parse_line(&complete_line, &mut on_event)?;
                complete_line.clear();
                self.line = complete_line;
            }
            chunk = rest;
        }
        Ok(self.buffer_line_part(chunk)?)
    }

    /// Whether the parser is between two events, the only point at which a stream may end.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.line.is_empty() && !self.has_data && self.id.is_none() && self.version.is_none()
    }

    fn buffer_line_part(&mut self, part: &[u8]) -> Result<(), StreamError> {
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
