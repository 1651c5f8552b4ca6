//! When discovery is called, and when a call or a watch counts as silent. A machine without I/O: events and the
//! time in, actions out. It knows neither lists nor sockets.
//!
//! **The promise.** Whatever became of the calls before, and in whatever order they failed: what discovery has at a time
//! at which it can be reached is in hand [`TOLD_AFTER`] (6 s) after that time, less [`MARGIN`]. It rests on one thing: that a
//! call that goes out while discovery can be reached is answered within [`ANSWER`], its place in the queue included.
//!
//! - Lists asked for, one service for the whole fleet. From any moment on, the next call goes out within [`PERIOD`] = 4 s:
//!   - a call that has told nothing is given up 3 s after it began, however far it came; one that failed or was given
//!     up is followed a period after it *began*, at the latest;
//!   - where watches can't be had and lists are given, that holds of the calls for lists, with a watch tried between two;
//!   - a watch that ends is followed within a period of its end; one that is silent is given up 3.4 s after the last
//!     that came whole, and followed within 0.6 s.
//!
//!   So 4 + 1.6 + 0.4 = 6 s, and no state knows of more failures than one. That the next call is counted from
//!   the beginning of the one before also keeps a fleet spread that once is: each broker has its place in the
//!   period, by its number, and four waits that grow lead there from any common beginning (the last of `Watching::gap`). From
//!   then on 300 brokers call 75 times a second, evenly, for as long as discovery is down, or has too many callers: as
//!   seldom as the promise lets them. Fewer than 100 call 25 times a second, and each once in 1.5 s at the most.
//! - Lists pushed, an agent of the broker's own that answers at once and for nothing: called from the first moment, and
//!   again `pace` after a call that failed, for as long as it is silent: what it has when it speaks again counts
//!   at once, so the pace is half of a drain's grace. Watch silent: out after `silence + connect`, at most
//!   2.5 + 0.5 s; any call: `connect + head + body`, 3 s at the most, before the next.
//!
//! While nothing can be heard the list stays in use; `docs/design/standing.md` says why.

use std::time::{Duration, Instant};

use gingerledge_dispatch::Settings;

use crate::clock::millis;

/// What a watch that fell silent missed counts as told so much later.
pub const TOLD_AFTER: Duration = Duration::from_millis(6000);
/// Kept of it for the process's own turns, and for a machine that is busy.
pub const MARGIN: Duration = Duration::from_millis(400);
/// Who can be reached answers a call within so long, its connection and its place in the queue included.
pub const ANSWER: Duration = Duration::from_millis(1600);
/// From any moment to the next call, at the most, where lists are asked for.
pub const PERIOD: Duration = Duration::from_millis(4000);
/// A small fleet calls more often, since that costs discovery little: a call each [`APART`], and no broker more often than this.
/// Two calls that a busy discovery refuses then leave time for a third.
const PERIOD_LEAST: Duration = Duration::from_millis(1500);
/// While nothing changes, an empty line comes so often.
pub const HEARTBEAT: Duration = Duration::from_millis(2000);
/// One may be so late where a call more is a call of the whole fleet.
const HEARTBEAT_SLACK_FLEET: Duration = Duration::from_millis(1400);
/// Brokers have their places in a period so far apart, or as far as it has room for all.
const BROKER_SPACING: Duration = Duration::from_millis(40);
/// An empty line may be so late where a call more costs nothing.
const HEARTBEAT_SLACK_AGENT: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_millis(1000);
/// A call waits in turn with those of other brokers.
const TURN: Duration = Duration::from_millis(2500);
/// Calls of an agent that is silent, whatever a drain's grace.
const PACE: [f64; 2] = [100.0, 500.0];
/// Guards against an agent that is slow after all, and would never be let finish: so many calls that were not
/// answered double the wait, up to [`PATIENCE`].
const SLOWER: u32 = 128;
const STAGE_TIMEOUT_MAX: Duration = Duration::from_millis(1000);

/// A new process has to be ready within 10 s, whatever discovery does. One with no list refuses what it is asked, and
/// trying again is harmless; two more seconds are for its start and for whoever looks whether it is ready.
const READY: Duration = Duration::from_millis(8000);

/// The waits, each from where the one before ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// Whether an agent has the lists pushed, and is called for nothing.
    pub pushed: bool,
    /// A connection is up.
    pub connect: Duration,
    /// The answer's head is there.
    pub head: Duration,
    /// The first piece of a watch, or the whole of a list.
    pub body: Duration,
    /// More of a watch has come whole.
    pub silence: Duration,
    /// A call has told something, from its beginning on; where lists are asked for.
    pub whole: Duration,
    /// From the beginning of one call to the next after it; where lists are asked for it is longest after several
    /// failures.
    pub pace: Duration,
    /// Where lists are asked for: the broker's place in that time, among all.
    pub place: Duration,
    /// A new process has its first list, or goes by the one that it finds in its configuration.
    pub first: Duration,
    /// A new process that has no list at all is ready without one.
    pub ready: Duration,
}

impl Waits {
    /// As the settings have it.
    pub fn of(settings: &Settings) -> Self {
        let first = Duration::from_millis(1000);
        if settings.subscribe {
            // Whoever knows no number goes by that of its process: these are spread, too.
            let number = settings.index.unwrap_or_else(std::process::id);
            let brokers = settings.aggregators.max(1);
            let pace = (BROKER_SPACING * brokers).clamp(PERIOD_LEAST, PERIOD);
            let spacing = BROKER_SPACING.min(pace / brokers);
            return Self {
                pushed: false,
                connect: CONNECT,
                head: TURN,
                body: TURN,
                silence: HEARTBEAT + HEARTBEAT_SLACK_FLEET,
                whole: PERIOD * 3 / 4,
                pace,
                place: spacing * (number % brokers),
                first,
                ready: READY,
            };
        }
        let pace = millis((settings.drain_grace_ms / 2.0).clamp(PACE[0], PACE[1]));
        let (silence, whole) = (HEARTBEAT + HEARTBEAT_SLACK_AGENT, 3 * STAGE_TIMEOUT_MAX);
        Self {
            pushed: true,
            connect: pace,
            head: pace,
            body: STAGE_TIMEOUT_MAX,
            silence,
            whole,
            pace,
            place: Duration::ZERO,
            first,
            ready: READY,
        }
    }
}

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A watch.
    Watch,
    /// The whole list, once.
    List,
}

/// An input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The core requests a watch. Only the first call is timed by the core; this is ignored afterwards.
    Wanted,
    /// The address of discovery has changed.
    Moved,
    /// The call's connection is established.
    Connected,
    /// The head of a successful response has arrived.
    Answered,
    /// The call returned something complete: a list, or a heartbeat of a watch.
    Heard,
    /// It returned a newer list.
    Told,
    /// The call has ended.
    Ended,
    /// The time of [`Watching::due`] has come.
    Due,
}

/// An output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Drop the current call.
    Leave,
    /// Make a call.
    Call(Call),
    /// Report a failure to the core.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Connecting,
    Asked,
    Answering,
}

/// The machine. At most one call is in flight.
#[derive(Debug)]
pub struct Watching {
    waits: Waits,
    stage: Stage,
    call: Call,
    began: Instant,
    /// When the next thing is due; while a call is out it only moves on.
    due: Option<Instant>,
    /// Whether the current call has returned a newer list.
    has_newer_list: bool,
    /// When the current call first returned something complete.
    complete_since: Option<Instant>,
    /// Consecutive calls without a response.
    unanswered: u32,
    /// Consecutive calls since the last established watch.
    failed: u32,
    /// The next call.
    next: Call,
    /// Start of the last successful call for a list; `None` once a watch is established.
    given: Option<Instant>,
}

impl Watching {
    /// A machine that calls immediately where lists are pushed, and otherwise on the core's request.
    pub fn new(waits: Waits, now: Instant) -> Self {
        Self {
            waits,
            stage: Stage::Idle,
            call: Call::Watch,
            began: now,
            due: waits.pushed.then_some(now),
            has_newer_list: false,
            complete_since: None,
            unanswered: 0,
            failed: 0,
            next: Call::Watch,
            given: None,
        }
    }

    /// Delay of the first call of a process without a list, which spreads the calls of brokers that start together.
    pub fn first_call_delay(&self) -> Duration {
        self.waits.place / 2
    }

    /// When [`Event::Due`] must be delivered.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Consecutive calls without a response.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Handles an event; one that does not fit the current stage is ignored.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match (event, self.stage) {
            (Event::Wanted, Stage::Idle) if self.due.is_none() => self.start_call(Call::Watch, now),
            (Event::Moved, _) => {
                (self.unanswered, self.failed, self.next, self.given) = (0, 0, Call::Watch, None);
                let mut actions = vec![Action::Leave];
                if self.waits.pushed {
                    actions.extend(self.start_call(Call::Watch, now));
                } else {
                    // Guards the new address against all brokers of a large fleet at once.
                    (self.stage, self.due) = (Stage::Idle, Some(now + self.waits.place / 4));
                }
                actions
            }
            (Event::Connected, Stage::Connecting) => {
                self.enter_stage(Stage::Asked, now + self.stage_timeout(self.waits.head))
            }
            (Event::Answered, Stage::Asked) => {
                self.unanswered = 0;
                self.enter_stage(Stage::Answering, now + self.waits.body)
            }
            (Event::Heard, Stage::Answering) => {
                self.complete_since = self.complete_since.or(Some(now));
                if self.call == Call::Watch {
                    self.due = self.due.max(Some(now + self.waits.silence));
                }
                Vec::new()
            }
            (Event::Told, Stage::Answering) => {
                self.has_newer_list = true;
                Vec::new()
            }
            (Event::Ended, Stage::Idle) => Vec::new(),
            (Event::Ended, _) => self.on_call_ended(now, false),
            (Event::Due, stage) if self.due.is_some_and(|due| due <= now) => match stage {
                Stage::Idle => self.start_call(self.next, now),
                _ => {
                    let mut actions = vec![Action::Leave];
                    actions.extend(self.on_call_ended(now, true));
                    actions
                }
            },
            _ => Vec::new(),
        }
    }

    fn start_call(&mut self, call: Call, now: Instant) -> Vec<Action> {
        (self.stage, self.call, self.began) = (Stage::Connecting, call, now);
        (self.has_newer_list, self.complete_since) = (false, None);
        self.due = Some(now + self.stage_timeout(self.waits.connect));
        vec![Action::Call(call)]
    }

    /// Enters the next stage of a call, whose time-out is bounded by that of the whole call until it has returned something.
    fn enter_stage(&mut self, stage: Stage, due: Instant) -> Vec<Action> {
        self.stage = stage;
        let whole = self.waits.whole / if self.given.is_some() && self.call == Call::Watch { 2 } else { 1 };
        self.due = self.due.max(Some(due.min(self.began + whole)));
        Vec::new()
    }

    fn stage_timeout(&self, wait: Duration) -> Duration {
        if !self.waits.pushed {
            return wait;
        }
        (wait + wait * self.unanswered / SLOWER).min(STAGE_TIMEOUT_MAX.max(wait))
    }

    /// Handles the end of a call, or its time-out (`silent`), and schedules the next one.
    fn on_call_ended(&mut self, now: Instant, silent: bool) -> Vec<Action> {
        if self.stage != Stage::Answering {
            self.unanswered = self.unanswered.saturating_add(1);
        }
        let (called, connected) = (self.call, self.stage != Stage::Connecting);
        if self.waits.pushed {
            // An agent is called for nothing, so a list is asked for at once, in case that watches are what can't be had.
            if called == Call::Watch && !self.has_newer_list {
                return self.start_call(Call::List, now);
            }
            self.stage = Stage::Idle;
            self.due = Some(now.max(self.began + self.waits.pace));
            return Vec::new();
        }
        let has_given = self.complete_since.is_some();
        if let Some(given) = self.given.filter(|_| called == Call::Watch && !has_given) {
            // Lists are given and watches can't be had: the list is asked for as if no watch had been.
            (self.stage, self.next, self.due) =
                (Stage::Idle, Call::List, Some(now.max(given + self.waits.pace)));
            return vec![Action::Failed];
        }
        self.given = (called == Call::List && has_given).then_some(self.began);
        // In case that watches are what can't be had; who can't be connected to says nothing of that.
        self.next = if called == Call::Watch && !has_given && connected { Call::List } else { Call::Watch };
        let was_established =
            called == Call::Watch && self.complete_since.is_some_and(|since| now >= since + self.waits.pace);
        self.failed = if was_established { 1 } else { self.failed.saturating_add(1) };
        let Waits { pace, place, .. } = self.waits;
        let next = if silent && has_given {
            now + place * 3 / 20
        } else {
            let from = if was_established { now } else { self.began };
            let (wait, share) = self.backoff();
            // A watch between two lists has half the time, so that the lists lie no further apart than other calls.
            let most = if self.given.is_some() { pace / 2 } else { pace };
            (now.max(from + wait) + share).min(from + most)
        };
        (self.stage, self.due) = (Stage::Idle, Some(next.max(now)));
        vec![Action::Failed]
    }

    /// From the beginning of a call that failed, or the end of a watch that stood, to the next call: a wait, and a share
    /// of the broker's place, whatever the call itself took; the waits leave room for that. A quarter four times, so that
    /// brokers that began together, as at an end of all watches, are each at their place after the fourth.
    fn backoff(&self) -> (Duration, Duration) {
        let Waits { pace, place, .. } = self.waits;
        match self.failed {
            0 | 1 => (pace / 16, place / 4),
            2 => (pace / 4, place / 4),
            3 => (pace / 2, place / 4),
            4 => (pace * 3 / 4, place / 4),
            _ => (pace, Duration::ZERO),
        }
    }
}
