//! The frames between brokers and reading stores: a length of four bytes, least significant first,
//! then a letter and the rest. The length counts the letter and the rest.

use std::fmt;

use crate::http::BODY_MAX;

/// Maximum length of a line in a frame.
const LINE_MAX: usize = 1024;
/// Maximum length of a frame: a longer value would not fit a client's answer.
pub const FRAME_MAX: usize = BODY_MAX + LINE_MAX;

/// A call, for one part or several.
pub const CALL: u8 = b'm';
/// A withdrawn part.
pub const GIVE_UP: u8 = b'n';
/// A health check.
pub const PROBE: u8 = b'o';
/// A health check that requests a load report.
pub const LOAD: u8 = b'p';
/// A part's answer.
pub const ANSWER: u8 = b'q';
/// The previous frame was invalid.
pub const COMPLAINT: u8 = b'r';

/// How a store ended a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Good,
    /// An error; it may have run.
    Bad,
    /// Rejected without being executed.
    Later,
}

/// A frame from a store.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame<'a> {
    /// A part's answer.
    Answer {
        /// The part's id.
        id: &'a str,
        /// How it ended.
        end: End,
        /// Decides where a second step goes.
        score: u64,
        /// The load report, if there is one.
        report: Vec<f64>,
        /// The newest epoch of the block, if the part's epoch was rejected (`epoch=` in place of the report).
        newer: Option<u64>,
        /// The value.
        value: &'a [u8],
    },
    /// The answer to a health check.
    Probed,
    /// The answer to a health check that requested a load report, which may be empty.
    Loaded(Vec<f64>),
    /// The previous frame was invalid; the store closes the connection.
    Complaint(&'a [u8]),
}

/// Why a frame is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(&'static str);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Writes a frame.
pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(5 + rest.len());
    bytes.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// Writes a part of a call: its line, then the query's text as it came.
pub fn part(id: &str, shard: u32, list: &str, text: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{id} {shard} {list} {}\n", text.len()).into_bytes();
    bytes.extend_from_slice(text);
    bytes
}

/// A frame's letter, its rest, and the length of it all.
pub type Split<'a> = (u8, &'a [u8], usize);

/// Splits the first frame off; `None` until it is complete.
pub fn split(bytes: &[u8]) -> Result<Option<Split<'_>>, Fault> {
    let Some((length, after)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > FRAME_MAX {
        return Err(Fault("a frame of no letter, or longer than any may be"));
    }
    let Some(whole) = after.get(..length) else { return Ok(None) };
    Ok(whole.split_first().map(|(letter, rest)| (*letter, rest, 4 + length)))
}

/// Reads what a store sent.
pub fn parse(letter: u8, rest: &[u8]) -> Result<Frame<'_>, Fault> {
    match letter {
        ANSWER => answer(rest),
        PROBE => Ok(Frame::Probed),
        LOAD => {
            let text = std::str::from_utf8(rest).map_err(|_| Fault("a report that is no text"))?;
            Ok(Frame::Loaded(report(text.trim())))
        }
        COMPLAINT => Ok(Frame::Complaint(rest)),
        _ => Err(Fault("an unknown letter")),
    }
}

fn answer(rest: &[u8]) -> Result<Frame<'_>, Fault> {
    let end = rest.iter().take(LINE_MAX).position(|&b| b == b'\n');
    let (line, value) = rest.split_at(end.ok_or(Fault("an answer without a line"))?);
    let line = std::str::from_utf8(line).map_err(|_| Fault("an answer's line is no text"))?;
    let mut fields = line.split(' ');
    let mut field = || fields.next().filter(|f| !f.is_empty()).ok_or(Fault("an answer lacks a field"));
    let (id, end, score, load) = (field()?, field()?, field()?, field()?);
    if fields.next().is_some() {
        return Err(Fault("an answer has a field too many"));
    }
    let end = match end {
        "good" => End::Good,
        "bad" => End::Bad,
        "later" => End::Later,
        _ => return Err(Fault("an unknown end")),
    };
    let score = match score {
        "-" => 0,
        digits => digits.parse().map_err(|_| Fault("a score that is no whole number"))?,
    };
    let newer = load.strip_prefix("epoch=").and_then(|digits| digits.parse().ok());
    let report = if newer.is_some() { Vec::new() } else { report(load) };
    Ok(Frame::Answer { id, end, score, report, newer, value: &value[1..] })
}

/// The figures of `util=0.61,queue=3`, in their order; none for `-`. A report that can't be read is none:
/// the answer that it came with is good all the same.
fn report(text: &str) -> Vec<f64> {
    let figure = |pair: &str| pair.split_once('=')?.1.parse().ok().filter(|v: &f64| v.is_finite());
    text.split(',').map(figure).collect::<Option<_>>().unwrap_or_default()
}
