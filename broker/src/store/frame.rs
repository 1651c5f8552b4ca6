//! The frames exchanged by brokers and reading stores. A frame is a length of four bytes, least significant first, then a
//! letter for its type, then the rest. The length counts the letter and the rest.

use std::fmt;

use crate::http::BODY_MAX;

/// Maximum length of a line in a frame, in bytes.
const LINE_MAX: usize = 1024;
/// Maximum length of a frame, in bytes: a longer value would not fit into the answer to a client.
pub const FRAME_MAX: usize = BODY_MAX + LINE_MAX;

/// Letter of a call, which carries one or more parts.
pub const CALL: u8 = b'm';
/// Letter of the withdrawal of a part.
pub const WITHDRAW: u8 = b'n';
/// Letter of a health check and of its answer.
pub const PROBE: u8 = b'o';
/// Letter of a health check that requests a load report, and of its answer.
pub const LOAD_PROBE: u8 = b'p';
/// Letter of the answer to a part.
pub const ANSWER: u8 = b'q';
/// Letter by which a store reports that the frame before was invalid.
pub const PROTOCOL_ERROR: u8 = b'r';

/// The result of a part at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The store served the part (`good`).
    Served,
    /// The store reported an error; the part may have been executed (`bad`).
    Failed,
    /// The store rejected the part without executing it (`later`).
    Rejected,
}

/// A frame from a store.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame<'a> {
    /// The answer to a part.
    Answer {
        /// Id of the part.
        id: &'a str,
        /// Result of the part.
        outcome: PartOutcome,
        /// Score by which shards are ranked for a second step.
        score: u64,
        /// The values of the load report; empty if the answer has none.
        report: Vec<f64>,
        /// The newest epoch of the block, if the part's epoch was rejected (`epoch=` in place of the report).
        newer_epoch: Option<u64>,
        /// The value of the part.
        value: &'a [u8],
    },
    /// The answer to a health check.
    Probed,
    /// The answer to a health check that requested a load report, which may be empty.
    Loaded(Vec<f64>),
    /// The store found the previous frame invalid and closes the connection; carries its message.
    ProtocolError(&'a [u8]),
}

/// The reason for which a frame is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(&'static str);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Encodes a frame.
pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(5 + rest.len());
    bytes.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// Encodes a part of a call: a line with its id, its shard, its parameter list and the length of the text, then the text of
/// the query, unchanged.
pub fn part(id: &str, shard: u32, list: &str, text: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{id} {shard} {list} {}\n", text.len()).into_bytes();
    bytes.extend_from_slice(text);
    bytes
}

/// A frame's letter, its rest, and the total length of the frame in bytes.
pub type SplitFrame<'a> = (u8, &'a [u8], usize);

/// Splits off the first frame; `None` until it is complete.
///
/// # Errors
///
/// If the length of the frame is 0 or exceeds [`FRAME_MAX`].
pub fn split(bytes: &[u8]) -> Result<Option<SplitFrame<'_>>, Fault> {
    let Some((length, after)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > FRAME_MAX {
        return Err(Fault("frame is empty or exceeds the maximum length"));
    }
    let Some(frame) = after.get(..length) else { return Ok(None) };
    Ok(frame.split_first().map(|(letter, rest)| (*letter, rest, 4 + length)))
}

/// Parses a frame from a store.
///
/// # Errors
///
/// If the letter is unknown or the rest does not have the form that belongs to the letter.
pub fn parse(letter: u8, rest: &[u8]) -> Result<Frame<'_>, Fault> {
    match letter {
        ANSWER => answer(rest),
        PROBE => Ok(Frame::Probed),
        LOAD_PROBE => {
            let text = std::str::from_utf8(rest).map_err(|_| Fault("load report is not UTF-8"))?;
            Ok(Frame::Loaded(report(text.trim())))
        }
        PROTOCOL_ERROR => Ok(Frame::ProtocolError(rest)),
        _ => Err(Fault("unknown letter of a frame")),
    }
}

fn answer(rest: &[u8]) -> Result<Frame<'_>, Fault> {
    let line_end = rest.iter().take(LINE_MAX).position(|&b| b == b'\n');
    let (line, value) = rest.split_at(line_end.ok_or(Fault("answer has no complete line"))?);
    let line = std::str::from_utf8(line).map_err(|_| Fault("line of an answer is not UTF-8"))?;
    let mut fields = line.split(' ');
    let mut field = || fields.next().filter(|f| !f.is_empty()).ok_or(Fault("answer lacks a field"));
    let (id, outcome, score, load) = (field()?, field()?, field()?, field()?);
    if fields.next().is_some() {
        return Err(Fault("answer has too many fields"));
    }
    let outcome = match outcome {
        "good" => PartOutcome::Served,
        "bad" => PartOutcome::Failed,
        "later" => PartOutcome::Rejected,
        _ => return Err(Fault("unknown outcome of a part")),
    };
    let score = match score {
        "-" => 0,
        digits => digits.parse().map_err(|_| Fault("score is not a non-negative integer"))?,
    };
    let newer_epoch = load.strip_prefix("epoch=").and_then(|digits| digits.parse().ok());
    let report = if newer_epoch.is_some() { Vec::new() } else { report(load) };
    Ok(Frame::Answer { id, outcome, score, report, newer_epoch, value: &value[1..] })
}

/// Parses a load report such as `util=0.61,queue=3` to its values, in their order; `-` has none. An invalid report counts as
/// none, since it does not invalidate the answer that carries it.
fn report(text: &str) -> Vec<f64> {
    let parse_value = |pair: &str| pair.split_once('=')?.1.parse().ok().filter(|v: &f64| v.is_finite());
    text.split(',').map(parse_value).collect::<Option<_>>().unwrap_or_default()
}
