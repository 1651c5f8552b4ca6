//! The endpoint lists that the discovery service sends: their format, and an incremental parser for the lists on a watch.

use std::fmt;

use serde::Deserialize;

/// Maximum number of entries of a list.
const ENTRIES_MAX: usize = 4096;
/// Maximum length of a list, in bytes.
pub(super) const LIST_MAX: usize = ENTRIES_MAX * 256;
/// Buffer capacity that is kept between two lists of a watch, in bytes.
const IDLE_BUFFER_MAX: usize = 16 * 1024;

/// An entry of a list: a store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Name of the store, the same at every broker.
    pub instance_id: String,
    /// Address at which the store listens.
    pub host_port: String,
    /// Name of the store's zone.
    #[serde(default)]
    pub zone: String,
    /// Number of the store's cell.
    pub cell: u32,
    /// State of the store.
    pub lifecycle: Lifecycle,
    /// Time at which the store last started, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

/// State of a store.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// The store accepts work.
    Up,
    /// The store finishes its work and accepts no more.
    Draining,
    /// The store has been removed.
    Removed,
}

/// A complete list, or changes to the list before.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct List {
    /// Version of the list after the changes.
    pub generation: u64,
    /// Whether the list is complete.
    pub reset: bool,
    /// The listed or changed stores.
    pub instances: Vec<Instance>,
}

/// The reason for which a list could not be parsed.
#[derive(Debug)]
pub struct ListError(String);

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Parses a list.
///
/// # Errors
///
/// If the text is not a list, or the list has too many entries.
pub fn parse(text: &[u8]) -> Result<List, ListError> {
    let list: List = serde_json::from_slice(text).map_err(|e| ListError(format!("not a list: {e}")))?;
    if list.instances.len() > ENTRIES_MAX {
        return Err(ListError("a list of too many entries".to_owned()));
    }
    Ok(list)
}

/// Parser for the lists of a watch, which arrive in chunks that may end anywhere in a list. Each list is a JSON object, on
/// one line or indented over several. White space between lists serves as a heartbeat.
#[derive(Debug, Default)]
pub struct ListParser {
    bytes: Vec<u8>,
    /// Offset of the current list, or of the white space before it.
    start: usize,
    /// Offset of the first byte that has not been scanned.
    scanned: usize,
    /// Number of brackets and braces that are open at that offset.
    depth: usize,
    /// Whether that offset is inside a string.
    in_string: bool,
    /// Whether the byte before that offset is an escaping backslash.
    is_escaped: bool,
}

impl ListParser {
    /// Adds a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// Whether a list has begun and is incomplete.
    pub fn has_partial_list(&self) -> bool {
        self.scanned > self.start
    }

    /// Returns the next complete list. Every byte is scanned once, however small the chunks, and moved at most once, however
    /// small the lists.
    ///
    /// # Errors
    ///
    /// If the bytes are not a list, or the list is too long.
    pub fn next_list(&mut self) -> Result<Option<List>, ListError> {
        if !self.has_partial_list() {
            let blank = self.bytes[self.start..].iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.start += blank;
            self.scanned = self.start;
            if self.bytes.get(self.start).is_some_and(|byte| *byte != b'{') {
                return Err(ListError("what is no list on a watch".to_owned()));
            }
        }
        while let Some(&byte) = self.bytes.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = self.in_string,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth == 0 {
                let list = parse(&self.bytes[self.start..self.scanned]);
                self.start = self.scanned;
                return list.map(Some);
            }
        }
        self.bytes.drain(..self.start);
        self.scanned -= std::mem::take(&mut self.start);
        if self.bytes.len() > LIST_MAX {
            return Err(ListError("a list on a watch is too long".to_owned()));
        }
        // Releases the memory of a long list.
        if self.bytes.is_empty() {
            self.bytes.shrink_to(IDLE_BUFFER_MAX);
        }
        Ok(None)
    }
}
