//! A group of items as bytes: length, checksum over length and body, and the body, compressed where that is shorter. A segment
//! is its magic and groups. A segment cut off anywhere is read up to its last whole group; a group with any byte changed is
//! not read.

use serde::{Deserialize, Serialize};

/// A segment begins with this; the last byte is the format's version.
pub const MAGIC: &[u8; 8] = b"gingspl\x01";
/// No group's body is longer, compressed or not: what a length field may make a reader set aside.
pub const GROUP_MOST: usize = 8 << 20;
const HEAD: usize = 9;

/// One thing that is remembered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A value is put in.
    Put {
        /// Its number.
        seq: u64,
        /// What it is.
        value: Vec<u8>,
        /// What is known of it by then.
        note: Vec<u8>,
    },
    /// Something more is known of a value; it takes the place of what was known.
    Note {
        /// Whose.
        seq: u64,
        /// What.
        note: Vec<u8>,
    },
    /// A value is taken out.
    Drop {
        /// Which.
        seq: u64,
    },
}

/// A whole group in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Where it begins.
    pub at: usize,
    /// How many bytes it takes.
    pub length: usize,
    /// What is in it.
    pub items: Vec<Item>,
}

/// A group as bytes.
pub(crate) fn encode(items: &[Item]) -> Vec<u8> {
    // Serializing these to a vector has no way to fail.
    let plain = postcard::to_stdvec(items).unwrap_or_default();
    let packed = lz4_flex::compress_prepend_size(&plain);
    let (how, body) = if packed.len() < plain.len() { (1u8, packed) } else { (0, plain) };
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&sum(how, &body).to_le_bytes());
    bytes.push(how);
    bytes.extend(body);
    bytes
}

fn sum(how: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(&[how]);
    hasher.update(body);
    hasher.finalize()
}

/// The group that begins at a byte, if it is whole.
pub(crate) fn decode(bytes: &[u8], at: usize) -> Option<Frame> {
    let (length, rest) = bytes.get(at..)?.split_first_chunk::<4>()?;
    let (check, rest) = rest.split_first_chunk::<4>()?;
    let (how, rest) = rest.split_first()?;
    let length = u32::from_le_bytes(*length) as usize;
    let body = rest.get(..length).filter(|_| length <= GROUP_MOST)?;
    if sum(*how, body) != u32::from_le_bytes(*check) {
        return None;
    }
    let items = match how {
        0 => postcard::from_bytes(body).ok()?,
        1 => {
            // Guards the memory: the length before the compressed bytes is the writer's word.
            let (plain, _) = body.split_first_chunk::<4>()?;
            if u32::from_le_bytes(*plain) as usize > GROUP_MOST {
                return None;
            }
            postcard::from_bytes(&lz4_flex::decompress_size_prepended(body).ok()?).ok()?
        }
        _ => return None,
    };
    Some(Frame { at, length: HEAD + length, items })
}

/// The groups of a segment, and the length of its sound part. `None` for a segment that is none.
pub(crate) fn segment(bytes: &[u8]) -> Option<(Vec<Frame>, usize)> {
    if bytes.len() < MAGIC.len() {
        return MAGIC.starts_with(bytes).then(|| (Vec::new(), 0));
    }
    if !bytes.starts_with(MAGIC) {
        return None;
    }
    let (mut frames, mut at) = (Vec::new(), MAGIC.len());
    while let Some(frame) = decode(bytes, at) {
        at += frame.length;
        frames.push(frame);
    }
    Some((frames, at))
}

/// Whether a whole group begins anywhere behind a byte: then what lies there was not being written when the power went.
pub(crate) fn follows(bytes: &[u8], at: usize) -> bool {
    let end = bytes.len().saturating_sub(HEAD).min(at + (1 << 20));
    (at + 1..end.max(at + 1)).any(|at| decode(bytes, at).is_some())
}
