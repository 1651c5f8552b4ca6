//! Lists as discovery writes them: their form, and how they are read from bytes that come in pieces.

use std::fmt;

use serde::Deserialize;

/// No list has more entries; no list, and no line of a watch, is longer.
const ENTRIES_MAX: usize = 4096;
pub(super) const LIST_MAX: usize = ENTRIES_MAX * 256;

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

/// Lines of a watch, put together from chunks that may cut them anywhere.
#[derive(Debug, Default)]
pub struct Lines(Vec<u8>);

impl Lines {
    /// Takes a chunk in; returns the lines that are whole now.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<Vec<u8>>, Fault> {
        self.0.extend_from_slice(chunk);
        let mut lines = Vec::new();
        while let Some(end) = self.0.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = self.0.drain(..=end).collect();
            lines.push(line.trim_ascii().to_vec());
        }
        if self.0.len() > LIST_MAX {
            return Err(Fault("a line of a watch is too long".to_owned()));
        }
        Ok(lines)
    }
}
