//! The errors that stop the adapter before the end of its input.

use std::{fmt, io};

use gingerledge_dispatch::SetupError;

/// The reason why a line cannot be used. The error texts contain the field and what was expected.
#[derive(Debug)]
pub enum LineError {
    /// A field is absent or empty.
    Missing { field: &'static str },
    /// A field is not an integer.
    NotAnInteger { field: &'static str, found: String },
    /// A field is not a finite number.
    NotANumber { field: &'static str, found: String },
    /// A field is not a list of finite numbers.
    NotNumbers { field: &'static str, found: String },
    /// A field has none of its possible values.
    NotOneOf { field: &'static str, expected: &'static str, found: String },
    /// The outcome of an attempt is unknown.
    UnknownOutcome { found: String },
    /// A server has not been on any list of the instance.
    UnknownNode { node: String },
    /// The instance's settings do not contain the class.
    UnknownClass { class: String },
    /// No list with this number has been received.
    UnknownList { slot: u32 },
    /// The instance has not been started.
    UnknownRouter { router: String },
    /// The settings of an instance cannot be used.
    Setup { source: SetupError },
    /// A different line has to come first.
    OutOfOrder { expected: &'static str },
    /// A list has fewer rows than announced.
    IncompleteList { expected: usize, found: usize },
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { field } => write!(f, "{field}: missing"),
            Self::NotAnInteger { field, found } => {
                write!(f, "{field}: expected a whole number, found `{found}`")
            }
            Self::NotANumber { field, found } => write!(f, "{field}: expected a number, found `{found}`"),
            Self::NotNumbers { field, found } => write!(f, "{field}: expected numbers, found `{found}`"),
            Self::NotOneOf { field, expected, found } => {
                write!(f, "{field}: expected {expected}, found `{found}`")
            }
            Self::UnknownOutcome { found } => write!(f, "reason: `{found}` is not an outcome"),
            Self::UnknownNode { node } => write!(f, "node: `{node}` is on no list of this instance"),
            Self::UnknownClass { class } => write!(f, "lane: unknown class `{class}`"),
            Self::UnknownList { slot } => write!(f, "slot: no SNAPSHOT_ROWS numbered {slot}"),
            Self::UnknownRouter { router } => write!(f, "router: `{router}` has not been started"),
            Self::Setup { source } => write!(f, "setup: {source}"),
            Self::OutOfOrder { expected } => f.write_str(expected),
            Self::IncompleteList { expected, found } => {
                write!(f, "expected {expected} NODE lines, found {found}")
            }
        }
    }
}

impl std::error::Error for LineError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Setup { source } => Some(source),
            _ => None,
        }
    }
}

/// The reason why the adapter stops. Lines are numbered from 1.
#[derive(Debug)]
pub enum HostError {
    /// A line cannot be used.
    Line { line: u64, kind: String, source: LineError },
    /// The input cannot be read.
    Read { line: u64, source: io::Error },
    /// The input ends within a batch.
    Truncated { line: u64 },
    /// A reply cannot be written.
    Write { source: io::Error },
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line { line, kind, source } => write!(f, "line {line}: {kind}: {source}"),
            Self::Read { line, source } => write!(f, "line {line}: {source}"),
            Self::Truncated { line } => write!(f, "line {line}: input ended before EOF_BATCH"),
            Self::Write { source } => write!(f, "standard output: {source}"),
        }
    }
}

impl std::error::Error for HostError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Line { source, .. } => Some(source),
            Self::Read { source, .. } | Self::Write { source } => Some(source),
            Self::Truncated { .. } => None,
        }
    }
}
