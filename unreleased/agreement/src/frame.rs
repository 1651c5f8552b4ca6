//! The log file as bytes: records of a length, checksums over the length and over the body, the body in postcard, and an end
//! mark. A file cut off anywhere is read up to its last whole record. A changed byte is never read, and never taken for a
//! cut either: a voter that silently forgot its last record, a vote perhaps, would have lost part of its disk and vote on.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A file begins with this; the last byte is the format's version.
pub(crate) const MAGIC: &[u8; 8] = b"gingagr\x01";
/// Length, its checksum, the body's checksum.
const HEAD: usize = 12;
/// After each record, with no zero in it: a write whose data never came ends in zeros.
const END: [u8; 4] = *b"done";

/// A record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The first of a file, and only that.
    Head(Head),
    /// What one step of the protocol adds.
    Batch(Batch),
}

/// Whose file, and all that held when it was written anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub id: u64,
    pub voters: Vec<u64>,
    /// Drawn when this disk was first used: another disk, another incarnation.
    pub incarnation: u64,
    pub standing: Standing,
    /// Index and term before the first entry that follows.
    pub from: (u64, u64),
    pub snapshot: Option<Snap>,
}

/// Whether this disk has ever been a voter's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Standing {
    /// It has promised nothing.
    Fresh {
        /// A leader was told that it is there, and may admit it at any time: it can't begin by itself any more.
        awaiting: bool,
    },
    /// It votes.
    Voting {
        /// The index at which this incarnation was admitted; 0 for those that were there at the start.
        generation: u64,
        /// The incarnations that had promised nothing either when this one began.
        heard: Vec<(u64, u64)>,
    },
}

/// The machine at an index, and the table of incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Snap {
    pub index: u64,
    pub term: u64,
    pub data: Vec<u8>,
}

/// Term, vote and commit, and entries that take the place of all from the first one's index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
    /// The first entry's index.
    pub at: u64,
    /// Terms and bytes.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// Why a log can't be used. Its way out is the same for all: put the file aside and start without it, as a voter that lost its disk.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// It is no log of ours, or of another version.
    #[error("no agreement log: it begins with {0:02x?}, expected {MAGIC:02x?}")]
    Magic(Vec<u8>),
    /// Bytes have changed.
    #[error("the record at byte {at} of {length} has changed on the disk: put the file aside and start without it; the other voters bring this one up to date")]
    Spoilt {
        /// Where the record begins.
        at: usize,
        /// The file's length.
        length: usize,
    },
    /// A whole record that makes no sense here.
    #[error("the record at byte {at} makes no sense there: {what}; put the file aside and start without it")]
    Senseless {
        /// Where it begins.
        at: usize,
        /// What is wrong with it.
        what: &'static str,
    },
}

fn checks(body: &[u8]) -> Option<[u8; HEAD]> {
    let length = u32::try_from(body.len()).ok()?.to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    let of_length = hasher.clone().finalize();
    hasher.update(body);
    let mut head = [0; HEAD];
    head[..4].copy_from_slice(&length);
    head[4..8].copy_from_slice(&of_length.to_le_bytes());
    head[8..].copy_from_slice(&hasher.finalize().to_le_bytes());
    Some(head)
}

/// A record as bytes; `None` for one of over four gigabytes.
pub(crate) fn encode(record: &Record) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(record).ok()?;
    let mut bytes = Vec::with_capacity(HEAD + body.len() + END.len());
    bytes.extend_from_slice(&checks(&body)?);
    bytes.extend_from_slice(&body);
    bytes.extend_from_slice(&END);
    Some(bytes)
}

enum Read<'a> {
    Whole(&'a [u8], usize),
    Torn,
    Spoilt,
}

fn read(rest: &[u8]) -> Read<'_> {
    // Zeros to the end, as long as no mark has: data that never came.
    let torn_if =
        |torn: bool| if torn || rest.ends_with(&[0; END.len()]) { Read::Torn } else { Read::Spoilt };
    let Some((head, behind)) = rest.split_first_chunk::<HEAD>() else {
        return Read::Torn;
    };
    let length = [head[0], head[1], head[2], head[3]];
    if crc32fast::hash(&length).to_le_bytes() != head[4..8] {
        return torn_if(false);
    }
    let length = u32::from_le_bytes(length) as usize;
    let Some((body, _)) = behind.split_at_checked(length).filter(|(_, end)| end.len() >= END.len()) else {
        return torn_if(true);
    };
    // The mark itself says nothing of a body whose sum is right.
    if checks(body).as_ref() != Some(head) {
        return torn_if(false);
    }
    Read::Whole(body, HEAD + length + END.len())
}

/// Reads a file: its records with where they begin, and the length of its sound part.
pub(crate) fn decode(bytes: &[u8]) -> Result<(Vec<(usize, Record)>, usize), LogError> {
    if bytes.is_empty() {
        return Ok((Vec::new(), 0));
    }
    if !bytes.starts_with(MAGIC) {
        return Err(LogError::Magic(bytes[..bytes.len().min(MAGIC.len())].to_vec()));
    }
    let (mut records, mut at) = (Vec::new(), MAGIC.len());
    while at < bytes.len() {
        match read(&bytes[at..]) {
            Read::Whole(body, length) => {
                let record = postcard::from_bytes(body);
                records.push((
                    at,
                    record.map_err(|_| LogError::Senseless { at, what: "no record of this version" })?,
                ));
                at += length;
            }
            // The first record is only ever written whole, with the file.
            Read::Torn if !records.is_empty() => break,
            _ => return Err(LogError::Spoilt { at, length: bytes.len() }),
        }
    }
    match records.first() {
        None => Err(LogError::Spoilt { at, length: bytes.len() }),
        Some(_) => Ok((records, at)),
    }
}
