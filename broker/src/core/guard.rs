//! The checks that a host owes the module whatever it asks for, as the last guard of the rules on attempts: none past
//! the most that a part may have, never two at once, none that could have an effect twice.

use gingerledge_dispatch::{Millis, Repeat, Settings};

/// What is known of a part that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Tried {
    /// Its class, by index.
    pub class: usize,
    /// Its attempts so far.
    pub attempts: u32,
    /// Whether one of them is out.
    pub out: bool,
    /// When the first that may have run, or is out, was sent.
    pub first: Option<Millis>,
}

/// See the module's description.
#[derive(Clone, Debug)]
pub struct Guard {
    max_attempts: u32,
    parallel: bool,
    /// By class, whether what may have run may go again, and how long its stores remember.
    repeats: Vec<(Repeat, Millis)>,
}

impl Guard {
    /// The checks by these settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            max_attempts: settings.max_attempts.max(1),
            parallel: settings.parallel,
            repeats: settings.classes.iter().map(|class| (class.repeat, class.deduplication_ms)).collect(),
        }
    }

    /// For how long from now an attempt may go out; `None` if it must not be made.
    pub fn allows(&self, now: Millis, tried: Tried) -> Option<Millis> {
        let left = tried.first.map_or(f64::INFINITY, |first| match self.repeats.get(tried.class) {
            Some((Repeat::Keyed, memory)) => first + memory - now,
            Some((Repeat::Unsafe, _)) => f64::NEG_INFINITY,
            Some((Repeat::Safe, _)) | None => f64::INFINITY,
        });
        let may = tried.attempts < self.max_attempts && (self.parallel || !tried.out) && left >= 0.0;
        may.then_some(left)
    }
}
