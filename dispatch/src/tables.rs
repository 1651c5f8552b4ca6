//! The aggregator's tables: what it notes of servers, attempts, parts, queries and its limit. They hold no decisions;
//! those are in `src/aggregator`.

use std::collections::VecDeque;

use crate::idle::Connections;
use crate::{Millis, RequestId, ServerId, Status};

/// One attempt that a server has not ended yet.
#[derive(Debug)]
pub(crate) struct Out {
    pub(crate) part: RequestId,
    pub(crate) attempt: u32,
    pub(crate) sent: Millis,
    pub(crate) call: u64,
    pub(crate) class: usize,
    /// Whether its connection had been idle for long.
    pub(crate) idle: bool,
}

/// Failures in a row, and until when they keep the server out; their recent share, and when it was learned.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fault {
    pub(crate) count: u32,
    pub(crate) until: Millis,
    pub(crate) share: f64,
    pub(crate) learned: Millis,
}

impl Fault {
    /// Follows the share of failures.
    pub(crate) fn learn(&mut self, now: Millis, failed: f64, gain: f64) {
        self.share += gain * (failed - self.share);
        self.learned = now;
    }
}

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) status: Status,
    /// When it started, by the list or, if later, by its own behaviour.
    pub(crate) since: Millis,
    pub(crate) outs: Vec<Out>,
    /// The call opened this turn, and how many parts it carries.
    pub(crate) open: Option<(u64, u32)>,
    /// Failures by class; the last one is for what concerns the whole process.
    pub(crate) faults: Vec<Fault>,
    pub(crate) pace: f64,
    pub(crate) sampled: Millis,
    /// When it last served a part.
    pub(crate) served: Millis,
    /// Refused or lost connections since its last success.
    pub(crate) down: bool,
    /// When parts went to it lately, and of which class.
    pub(crate) cold_sends: VecDeque<(Millis, usize)>,
    pub(crate) connections: Connections,
}

impl Server {
    /// The call opened this turn, where it has room, and how many parts it carries.
    pub(crate) fn room(&self, batch: u32) -> Option<(u64, u32)> {
        self.open.filter(|&(_, members)| members < batch)
    }

    /// Calls out: parts of one call lie next to each other.
    pub(crate) fn calls(&self) -> u32 {
        let mut last = None;
        self.outs.iter().filter(|out| last.replace(out.call) != Some(out.call)).count() as u32
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum PartState {
    /// Not to be sent unless another fails.
    Spare,
    /// To be placed at the end of the turn.
    #[default]
    Waiting,
    Out,
    In,
    Dead,
}

#[derive(Debug, Default)]
pub(crate) struct Part {
    pub(crate) query: RequestId,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    pub(crate) state: PartState,
    /// Servers tried, in order.
    pub(crate) tried: Vec<ServerId>,
    pub(crate) out: u32,
    pub(crate) sent: Millis,
    /// When the latest attempt was sent.
    pub(crate) last: Millis,
    /// When the first attempt that may have run was sent.
    pub(crate) may_have_run: Option<Millis>,
    /// Its attempt has been withdrawn, and the outcome has not come yet.
    pub(crate) leaving: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Query {
    pub(crate) number: u64,
    pub(crate) class: usize,
    pub(crate) aim: Millis,
    pub(crate) deadline: Millis,
    pub(crate) second_step: bool,
    pub(crate) first_whole: bool,
    pub(crate) expected: usize,
    pub(crate) parts: Vec<RequestId>,
    pub(crate) arrived: Millis,
    /// The share of the limit in use when it was admitted.
    pub(crate) used: f64,
    pub(crate) admitted: bool,
    pub(crate) over_quota: bool,
    /// It seems to bring down the servers that begin its parts.
    pub(crate) blamed: bool,
}

/// What is learned of how much may be let in; see `admit` and `learn_limit`.
#[derive(Debug, Default)]
pub(crate) struct Limit {
    /// How many parts may be out, for each server ready.
    pub(crate) parts: f64,
    pub(crate) changed: Millis,
    pub(crate) cut_at: Millis,
    /// Whether it has refused a query since it last changed.
    pub(crate) refused: bool,
    /// Parts let in that it has not worked off yet, and when that was last counted.
    pub(crate) backlog: f64,
    pub(crate) counted: Millis,
    /// The recent share of queries admitted that missed their aim.
    pub(crate) misses: f64,
}

/// How loaded a shard is: distrust, count and pace of its best replica.
pub(crate) type Place = (u32, u32, u32);

/// The order of preference among a part's replicas; see `rank`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) distrust: u32,
    pub(crate) count: u32,
    pub(crate) doubt: u32,
    /// Begins a call of its own.
    pub(crate) alone: bool,
    pub(crate) pace: u32,
    pub(crate) far: bool,
    pub(crate) turn: u64,
}
