//! The lists that discovery sends: their format, and an incremental parser for those of a watch.

use std::fmt;

use serde::Deserialize;

/// Bounds on the entries of a list, and on the bytes of a list or of a line of a watch.
const ENTRIES_MAX: usize = 4096;
pub(super) const LIST_MAX: usize = ENTRIES_MAX * 256;
/// Buffer capacity kept between two lists of a watch.
const IDLE_BUFFER_MAX: usize = 16 * 1024;

/// One line of a list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The store's name, the same at every broker.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: String,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// When it last started, in Unix time; 0 means long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

/// A store's state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// May be sent work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Removed,
}

/// A list, or the changes to one.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// Whether it is the whole list.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// Why a list could not be read.
#[derive(Debug)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads a list.
pub fn parse(text: &[u8]) -> Result<List, Fault> {
    let list: List = serde_json::from_slice(text).map_err(|e| Fault(format!("not a list: {e}")))?;
    if list.instances.len() > ENTRIES_MAX {
        return Err(Fault("a list of too many entries".to_owned()));
    }
    Ok(list)
}

/// The lists of a watch, put together from chunks that may cut them anywhere. Each is an object, on one line or indented
/// over several; blank space between them says only that the watch stands.
#[derive(Debug, Default)]
pub struct Lists {
    bytes: Vec<u8>,
    /// Where the list begins that is read, or the blank space before it.
    from: usize,
    /// Up to here it has been looked at.
    seen: usize,
    /// Brackets that are open there, and whether it is inside a text, behind a backslash.
    depth: usize,
    text: bool,
    escaped: bool,
}

impl Lists {
    /// Adds a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// Whether a list has begun and is not whole.
    pub fn begun(&self) -> bool {
        self.seen > self.from
    }

    /// The next list that is whole. Every byte is looked at once, however small the chunks, and moved once at the
    /// most, however small the lists.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<List>, Fault> {
        if !self.begun() {
            let blank = self.bytes[self.from..].iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.from += blank;
            self.seen = self.from;
            if self.bytes.get(self.from).is_some_and(|byte| *byte != b'{') {
                return Err(Fault("what is no list on a watch".to_owned()));
            }
        }
        while let Some(&byte) = self.bytes.get(self.seen) {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = self.text,
                b'"' => self.text = !self.text,
                b'{' | b'[' if !self.text => self.depth += 1,
                b'}' | b']' if !self.text => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth == 0 {
                let list = parse(&self.bytes[self.from..self.seen]);
                self.from = self.seen;
                return list.map(Some);
            }
        }
        self.bytes.drain(..self.from);
        self.seen -= std::mem::take(&mut self.from);
        if self.bytes.len() > LIST_MAX {
            return Err(Fault("a list on a watch is too long".to_owned()));
        }
        // Releases the memory of a long list.
        if self.bytes.is_empty() {
            self.bytes.shrink_to(IDLE_BUFFER_MAX);
        }
        Ok(None)
    }
}
