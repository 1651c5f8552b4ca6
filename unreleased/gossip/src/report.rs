//! One datagram: how the stores did at one broker since its last. Ten bytes of head, then four for each store:
//!
//! ```text
//! 0      version (1)
//! 1..9   number, rising with each datagram of a sender, also over its restarts (least significant byte first)
//! 9      how many entries follow
//! then   2 bytes: the store's name, hashed;  1: usual wait, in eighths of a doubling of 0.25 ms;
//!        1: parts served or given up late (low half), parts that failed (high half), each 15 at the most
//! ```

use thiserror::Error;

/// No datagram is longer.
pub const DATAGRAM_MOST: usize = 256;
const VERSION: u8 = 1;
const HEAD: usize = 10;
const EACH: usize = 4;
/// The shortest wait told, and how many steps there are to a doubling.
const SHORTEST_MS: f64 = 0.25;
const STEPS: f64 = 8.0;
/// The most that half a byte holds.
const COUNT_MOST: u32 = 15;

/// How one store did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Its name, hashed; see [`Entry::hash`].
    pub store: u16,
    /// The geometric mean of the waits, in milliseconds.
    pub wait_ms: f64,
    /// How many parts the wait rests on.
    pub waits: u32,
    /// How many parts failed: refused, unreachable, broken, answered with an error.
    pub failed: u32,
}

impl Entry {
    /// A store's name as datagrams have it (FNV-1a, folded).
    pub fn hash(name: &str) -> u16 {
        let fnv = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
        let hash = name.as_bytes().iter().fold(0x811C_9DC5, fnv);
        (hash >> 16) as u16 ^ hash as u16
    }
}

/// Why a datagram could not be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    /// Another version, or something else altogether.
    #[error("version {0}, and only {VERSION} is read here")]
    Version(u8),
    /// It ends within its head or within an entry, or goes on behind the last.
    #[error("{found} bytes where {told} were announced")]
    Length {
        /// How many came.
        found: usize,
        /// How many its head announces.
        told: usize,
    },
}

/// A datagram's contents.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Rises with each datagram of a sender.
    pub number: u64,
    /// The stores; so many as fit are told.
    pub entries: Vec<Entry>,
}

impl Report {
    /// How many entries fit.
    pub const ENTRIES_MOST: usize = (DATAGRAM_MOST - HEAD) / EACH;

    /// Its bytes, never more than [`DATAGRAM_MOST`]; entries past the most are left out.
    pub fn bytes(&self) -> Vec<u8> {
        let entries = &self.entries[..self.entries.len().min(Self::ENTRIES_MOST)];
        let mut bytes = Vec::with_capacity(HEAD + EACH * entries.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.number.to_le_bytes());
        bytes.push(entries.len() as u8);
        for entry in entries {
            bytes.extend_from_slice(&entry.store.to_le_bytes());
            let steps = STEPS * (entry.wait_ms / SHORTEST_MS).max(1.0).log2();
            bytes.push(steps.round().clamp(0.0, 255.0) as u8);
            let counts = entry.waits.min(COUNT_MOST) | entry.failed.min(COUNT_MOST) << 4;
            bytes.push(counts as u8);
        }
        bytes
    }

    /// Reads a datagram.
    pub fn read(bytes: &[u8]) -> Result<Self, Fault> {
        let short = Fault::Length { found: bytes.len(), told: HEAD };
        let (head, rest) = bytes.split_first_chunk::<HEAD>().ok_or(short)?;
        let [version, number @ .., count] = *head;
        if version != VERSION {
            return Err(Fault::Version(version));
        }
        if rest.len() != usize::from(count) * EACH {
            let told = HEAD + usize::from(count) * EACH;
            return Err(Fault::Length { found: bytes.len(), told });
        }
        let entry = |at: &[u8]| Entry {
            store: u16::from(at[0]) | u16::from(at[1]) << 8,
            wait_ms: SHORTEST_MS * (f64::from(at[2]) / STEPS).exp2(),
            waits: u32::from(at[3]) & COUNT_MOST,
            failed: u32::from(at[3]) >> 4,
        };
        Ok(Self { number: u64::from_le_bytes(number), entries: rest.chunks_exact(EACH).map(entry).collect() })
    }
}
