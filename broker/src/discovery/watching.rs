//! When to call the discovery service, and when a call or a watch has timed out. A state machine without I/O: events and the
//! time in, actions out. It knows neither the contents of lists nor sockets.
//!
//! **Guarantee.** Whatever the outcomes of earlier calls, in whatever order: the state that discovery has at a time at which it
//! is reachable has been received [`UPDATE_DEADLINE`] (6 s) after that time, less [`MARGIN`]. One assumption: a call made
//! while discovery is reachable is answered within [`ANSWER`], including its time in the service's queue.
//!
//! - Lists are requested (one service for the whole fleet). From any moment the next call starts within [`PERIOD`] = 4 s:
//!   - a call that has returned nothing is dropped 3 s after its start, whatever its stage; the call after a failed or dropped
//!     one starts a period after the *start* of that one, at the latest;
//!   - where watches fail and lists succeed, the same holds for the calls for lists, with a watch tried between two of them;
//!   - a watch that ends is followed by a call within a period of its end; one without a heartbeat is dropped 3.4 s after the
//!     last complete one, and followed by a call within 0.6 s.
//!
//!   So 4 + 1.6 + 0.4 = 6 s, and no state needs to count more than one failure. Since the next call is counted from the
//!   start of the one before, calls of a fleet stay spread out: each broker has its offset in the period, by its number, and
//!   four growing waits lead there from any common start (the last case of `Watching::backoff`). From then on 300 brokers
//!   make 75 calls a second, evenly, for as long as discovery is down or overloaded: as few as the guarantee permits. Fewer
//!   than 100 brokers make 25 calls a second, each broker at most one in 1.5 s.
//! - Lists are pushed (by an agent on the broker's machine, which answers immediately and at no cost): called from the start,
//!   and again `pace` after the start of a failed call, for as long as it does not respond. Its state counts from the moment
//!   at which it responds again, so the pace is half of the drain grace. A watch without heartbeats ends after
//!   `heartbeat_timeout + connect`, at most 2.5 + 0.5 s; any other call after `connect + head + body`, at most 3 s.
//!
//! While discovery is unreachable the last list stays in use; `docs/design/standing.md` says why.

use std::time::{Duration, Instant};

use gingerledge_dispatch::Settings;

use crate::clock::millis;

/// Time after which a change that a silent watch missed must have been received.
pub const UPDATE_DEADLINE: Duration = Duration::from_millis(6000);
/// Part of it reserved for the process's own turns on a busy machine.
pub const MARGIN: Duration = Duration::from_millis(400);
/// Time within which a reachable service answers a call, including connecting and queueing.
pub const ANSWER: Duration = Duration::from_millis(1600);
/// Maximum time from any moment to the start of the next call, where lists are requested.
pub const PERIOD: Duration = Duration::from_millis(4000);
/// Minimum time between the calls of one broker. A small fleet calls more often, one call each [`BROKER_SPACING`], which
/// leaves time for a third call after two that an overloaded service refused.
const PERIOD_MIN: Duration = Duration::from_millis(1500);
/// Interval of heartbeats (empty lines) on a watch without changes.
pub const HEARTBEAT: Duration = Duration::from_millis(2000);
/// Tolerated delay of a heartbeat where a further call would be one of the whole fleet.
const HEARTBEAT_SLACK_FLEET: Duration = Duration::from_millis(1400);
/// Distance between the offsets of two brokers within a period, or less if the period is too short for all.
const BROKER_SPACING: Duration = Duration::from_millis(40);
/// Tolerated delay of a heartbeat where a further call costs nothing.
const HEARTBEAT_SLACK_AGENT: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_millis(1000);
/// Time-out for stages in which a call queues behind those of other brokers.
const TURN: Duration = Duration::from_millis(2500);
/// Bounds on the pace of calls to an unresponsive agent, in milliseconds.
const PACE: [f64; 2] = [100.0, 500.0];
/// Number of unanswered calls that double the time-out, up to [`STAGE_TIMEOUT_MAX`], so that a slow agent can finish.
const UNANSWERED_PER_DOUBLING: u32 = 128;
const STAGE_TIMEOUT_MAX: Duration = Duration::from_millis(1000);

/// A new process must be ready within 10 s whatever discovery does, since without a list it rejects queries as safe to retry.
/// Two seconds remain for its start and for the readiness probe.
const READY: Duration = Duration::from_millis(8000);

/// The time-outs of the stages of a call, each counted from the end of the stage before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// Whether an agent on this machine pushes lists, so that calls cost nothing.
    pub pushed: bool,
    /// The connection is established.
    pub connect: Duration,
    /// The response's head is complete.
    pub head: Duration,
    /// The first chunk of a watch, or the complete list.
    pub body: Duration,
    /// The next heartbeat or list of a watch is complete.
    pub heartbeat_timeout: Duration,
    /// A call has returned something complete, counted from its start; where lists are requested.
    pub call_timeout: Duration,
    /// From the start of one call to the start of the next; where lists are requested, the maximum after several failures.
    pub pace: Duration,
    /// Where lists are requested: the broker's offset within the pace, which spreads the calls of the fleet.
    pub stagger: Duration,
    /// A new process has its first list, or falls back to the one in its configuration.
    pub first: Duration,
    /// A new process without any list becomes ready.
    pub ready: Duration,
}

impl Waits {
    /// The time-outs for these settings.
    pub fn of(settings: &Settings) -> Self {
        let first = Duration::from_millis(1000);
        if settings.requires_subscription {
            // Whoever knows no number goes by that of its process: these are spread, too.
            let number = settings.index.unwrap_or_else(std::process::id);
            let brokers = settings.aggregators.max(1);
            let pace = (BROKER_SPACING * brokers).clamp(PERIOD_MIN, PERIOD);
            let spacing = BROKER_SPACING.min(pace / brokers);
            return Self {
                pushed: false,
                connect: CONNECT,
                head: TURN,
                body: TURN,
                heartbeat_timeout: HEARTBEAT + HEARTBEAT_SLACK_FLEET,
                call_timeout: PERIOD * 3 / 4,
                pace,
                stagger: spacing * (number % brokers),
                first,
                ready: READY,
            };
        }
        let pace = millis((settings.drain_grace_ms / 2.0).clamp(PACE[0], PACE[1]));
        let (heartbeat_timeout, call_timeout) = (HEARTBEAT + HEARTBEAT_SLACK_AGENT, 3 * STAGE_TIMEOUT_MAX);
        Self {
            pushed: true,
            connect: pace,
            head: pace,
            body: STAGE_TIMEOUT_MAX,
            heartbeat_timeout,
            call_timeout,
            pace,
            stagger: Duration::ZERO,
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
    WatchRequested,
    /// The address of discovery has changed.
    AddressChanged,
    /// The call's connection is established.
    Connected,
    /// The head of a successful response has arrived.
    HeadReceived,
    /// The call returned something complete: a list, or a heartbeat of a watch.
    CompleteReceived,
    /// It returned a newer list.
    NewerListReceived,
    /// The call has ended.
    CallEnded,
    /// The time of [`Watching::due`] has come.
    TimeoutElapsed,
}

/// An output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Drop the current call.
    DropCall,
    /// Make a call.
    Call(Call),
    /// Report a failure to the core.
    ReportFailure,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Connecting,
    AwaitingHead,
    Receiving,
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
        self.waits.stagger / 2
    }

    /// When [`Event::TimeoutElapsed`] must be delivered.
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
            (Event::WatchRequested, Stage::Idle) if self.due.is_none() => self.start_call(Call::Watch, now),
            (Event::AddressChanged, _) => {
                (self.unanswered, self.failed, self.next, self.given) = (0, 0, Call::Watch, None);
                let mut actions = vec![Action::DropCall];
                if self.waits.pushed {
                    actions.extend(self.start_call(Call::Watch, now));
                } else {
                    // Spreads the first calls of a large fleet at the new address.
                    (self.stage, self.due) = (Stage::Idle, Some(now + self.waits.stagger / 4));
                }
                actions
            }
            (Event::Connected, Stage::Connecting) => {
                self.enter_stage(Stage::AwaitingHead, now + self.stage_timeout(self.waits.head))
            }
            (Event::HeadReceived, Stage::AwaitingHead) => {
                self.unanswered = 0;
                self.enter_stage(Stage::Receiving, now + self.waits.body)
            }
            (Event::CompleteReceived, Stage::Receiving) => {
                self.complete_since = self.complete_since.or(Some(now));
                if self.call == Call::Watch {
                    self.due = self.due.max(Some(now + self.waits.heartbeat_timeout));
                }
                Vec::new()
            }
            (Event::NewerListReceived, Stage::Receiving) => {
                self.has_newer_list = true;
                Vec::new()
            }
            (Event::CallEnded, Stage::Idle) => Vec::new(),
            (Event::CallEnded, _) => self.on_call_ended(now, false),
            (Event::TimeoutElapsed, stage) if self.due.is_some_and(|due| due <= now) => match stage {
                Stage::Idle => self.start_call(self.next, now),
                _ => {
                    let mut actions = vec![Action::DropCall];
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
        let call_timeout =
            self.waits.call_timeout / if self.given.is_some() && self.call == Call::Watch { 2 } else { 1 };
        self.due = self.due.max(Some(due.min(self.began + call_timeout)));
        Vec::new()
    }

    fn stage_timeout(&self, wait: Duration) -> Duration {
        if !self.waits.pushed {
            return wait;
        }
        (wait + wait * self.unanswered / UNANSWERED_PER_DOUBLING).min(STAGE_TIMEOUT_MAX.max(wait))
    }

    /// Handles the end of a call, or its time-out (`silent`), and schedules the next one.
    fn on_call_ended(&mut self, now: Instant, silent: bool) -> Vec<Action> {
        if self.stage != Stage::Receiving {
            self.unanswered = self.unanswered.saturating_add(1);
        }
        let (called, connected) = (self.call, self.stage != Stage::Connecting);
        if self.waits.pushed {
            // Calls to an agent cost nothing: a list is requested immediately, in case that only watches fail.
            if called == Call::Watch && !self.has_newer_list {
                return self.start_call(Call::List, now);
            }
            self.stage = Stage::Idle;
            self.due = Some(now.max(self.began + self.waits.pace));
            return Vec::new();
        }
        let returned_something = self.complete_since.is_some();
        if let Some(given) = self.given.filter(|_| called == Call::Watch && !returned_something) {
            // Lists succeed and watches fail: the next list is scheduled as if no watch had been tried.
            (self.stage, self.next, self.due) =
                (Stage::Idle, Call::List, Some(now.max(given + self.waits.pace)));
            return vec![Action::ReportFailure];
        }
        self.given = (called == Call::List && returned_something).then_some(self.began);
        // In case that only watches fail; a failed connection says nothing about that.
        self.next =
            if called == Call::Watch && !returned_something && connected { Call::List } else { Call::Watch };
        let was_established =
            called == Call::Watch && self.complete_since.is_some_and(|since| now >= since + self.waits.pace);
        self.failed = if was_established { 1 } else { self.failed.saturating_add(1) };
        let Waits { pace, stagger, .. } = self.waits;
        let next = if silent && returned_something {
            now + stagger * 3 / 20
        } else {
            let from = if was_established { now } else { self.began };
            let (wait, share) = self.backoff();
            // A watch between two lists has half the time, so that the lists are no further apart than other calls.
            let most = if self.given.is_some() { pace / 2 } else { pace };
            (now.max(from + wait) + share).min(from + most)
        };
        (self.stage, self.due) = (Stage::Idle, Some(next.max(now)));
        vec![Action::ReportFailure]
    }

    /// The wait from the start of a failed call, or the end of an established watch, to the next call, and the share of the
    /// broker's offset added to it. The offset is added in four quarters, so that brokers that start together, as at the end
    /// of all watches, have each reached their offset after the fourth call.
    fn backoff(&self) -> (Duration, Duration) {
        let Waits { pace, stagger, .. } = self.waits;
        match self.failed {
            0 | 1 => (pace / 16, stagger / 4),
            2 => (pace / 4, stagger / 4),
            3 => (pace / 2, stagger / 4),
            4 => (pace * 3 / 4, stagger / 4),
            _ => (pace, Duration::ZERO),
        }
    }
}
