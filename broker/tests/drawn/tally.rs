//! What the drawn days met: a rule that nothing put to the test is not held.

use std::collections::BTreeMap;

use gingerledge::core::FinalAnswer;
use gingerledge_dispatch::Repeat;

/// What a whole run has to meet.
pub const OWED: [&str; 24] = [
    "sends",
    "safe again",
    "keyed again",
    "keyed again that may have run",
    "unsafe again",
    "two at once",
    "second steps",
    "sends from a ration",
    "sends while a store is out",
    "parts at cold stores",
    "brokers killed",
    "calls for the list that failed",
    "whole answers",
    "answers in part",
    "refusals",
    "failures",
    "ends Success",
    "ends Failure",
    "ends Overloaded",
    "ends TimedOut",
    "ends Unreachable",
    "ends Broken",
    "ends Withdrawn",
    "reports of garbage",
];

/// How often each was met.
#[derive(Clone, Debug, Default)]
pub struct Tally(pub BTreeMap<String, usize>);

impl Tally {
    pub fn met(&mut self, what: &str) {
        self.met_if(true, what);
    }

    pub fn met_if(&mut self, met: bool, what: &str) {
        if met {
            *self.0.entry(what.to_owned()).or_default() += 1;
        }
    }

    pub fn sent(&mut self, repeat: Repeat, number: usize, out: usize, may_have_run: bool) {
        self.met("sends");
        let again = ["safe again", "keyed again", "unsafe again"][repeat as usize];
        self.met_if(number > 0, again);
        self.met_if(repeat == Repeat::Keyed && may_have_run, "keyed again that may have run");
        self.met_if(out > 0, "two at once");
    }

    pub fn finished(&mut self, last: &FinalAnswer) {
        self.met(match last {
            FinalAnswer::Answered { is_complete: true, .. } => "whole answers",
            FinalAnswer::Answered { .. } => "answers in part",
            FinalAnswer::Refused { .. } => "refusals",
            FinalAnswer::Failed => "failures",
        });
    }

    /// Adds another day's.
    pub fn add(&mut self, other: &Self) {
        for (what, count) in &other.0 {
            *self.0.entry(what.clone()).or_default() += count;
        }
    }
}
