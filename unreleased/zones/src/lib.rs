//! Zones that fail over. Owns what brokers count of each zone, what the many reports say together, and when which share of a zone
//! is proposed; promises that no one broker, no two, and no amount of one broker's traffic move a zone, that moves come in steps that
//! coverage has room for, and that a zone does not swing. Knows no socket or clock, nor how a proposal is agreed on.

mod decider;
mod evidence;
mod tally;

pub use decider::{Bounds, Decider, Phase, Proposed};
pub use evidence::{Evidence, Judged, Weighing};
pub use tally::{Counts, Fate, Report, Tally, REPORT_MAX};
