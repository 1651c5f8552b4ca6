//! How a process that was told to stop comes to its end: it serves what comes until the platform has noticed, then closes what
//! rests, and ends when nothing is under way, in any case before its grace is over.

use std::time::Duration;

/// The platform notices within two misses of its question, which it asks once a second.
const NOTICED: Duration = Duration::from_millis(2_500);
/// What notices late gets at most this part of the grace.
const NOTICED_PART: u32 = 2;
/// The process ends this part of the grace before it is over.
const MARGIN_PART: u32 = 16;

/// What a stopping process does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It serves on.
    Serve,
    /// It closes connections that rest, and serves what is under way.
    CloseResting,
    /// It ends.
    End,
}

/// The course of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping {
    quiet_from: Duration,
    end: Duration,
}

impl Stopping {
    /// A connection rests once nothing came on it for this long.
    pub const REST: Duration = Duration::from_millis(100);

    /// A stop that was asked for now, to be done within the grace.
    pub fn new(now: Duration, grace: Duration) -> Self {
        let quiet_from = now + NOTICED.min(grace / NOTICED_PART);
        Self { quiet_from, end: now + grace - grace / MARGIN_PART }
    }

    /// What to do now, with so many requests under way and connections open.
    pub fn step(&self, now: Duration, requests: usize, connections: usize) -> Step {
        if now >= self.end {
            return Step::End;
        }
        if now < self.quiet_from {
            return Step::Serve;
        }
        if requests == 0 && connections == 0 {
            return Step::End;
        }
        Step::CloseResting
    }
}
