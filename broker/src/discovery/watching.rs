//! Decides when to call the discovery service, and when a call or a watch has timed out. A state machine without I/O: its
//! inputs are events and the time, its outputs actions. It handles neither the contents of lists nor sockets.
//!
//! **Guarantee.** Whatever the outcomes of earlier calls and their order, the state that the discovery service has at a time
//! at which it is reachable is received within [`UPDATE_DEADLINE`] (6 s) less [`MARGIN`] of that time. This assumes that a
//! call made while the service is reachable is answered within [`ANSWER_TIME`], including its time in the service's queue.
//!
//! - Lists are requested (one service for the whole fleet). From any moment, the next call starts within [`PERIOD`] = 4 s:
//!   - a call that has returned nothing is dropped 3 s after its start, whatever its stage; after a failed or dropped call,
//!     the next one starts at the latest a period after the *start* of that call;
//!   - if watches fail and calls for lists succeed, the same holds for the calls for lists, with a watch tried between two
//!     of them;
//!   - a watch that ends is followed by a call within a period of its end; a watch without a heartbeat is dropped 3.4 s
//!     after the last complete one, and followed by a call within 0.6 s.
//!
//!   This gives 4 + 1.6 + 0.4 = 6 s, and the bound never includes more than one failed call. Since the next call is
//!   scheduled from the start of the one before, the calls of a fleet stay spread out: each broker has an offset in the
//!   period, determined by its index, and reaches it from any common start after four growing waits (`Watching::backoff`).
//!   From then on, as long as the service is down or overloaded, 300 brokers make 75 evenly spread calls a second, as few as
//!   the guarantee permits. Fewer than 100 brokers make 25 calls a second, each broker at most one in 1.5 s.
//! - Lists are pushed (by an agent on the broker's machine, which answers immediately and at no cost). The agent is called
//!   from the start, and again `pace` after the start of a failed call, for as long as it does not respond. Its state counts
//!   from the moment at which it responds again, so the pace is half of the drain grace period. A watch without heartbeats
//!   ends after `heartbeat_timeout + connect`, at most 2.5 + 0.5 s; any other call after `connect + head + body`,
//!   at most 3 s.
//!
//! While the service is unreachable, the last list stays in use; `docs/design/standing.md` gives the reasons.

use std::time::{Duration, Instant};

use gingerledge_dispatch::Settings;

use crate::clock::millis;

/// Time within which a change must be received that was missed on an unresponsive watch.
pub const UPDATE_DEADLINE: Duration = Duration::from_millis(6000);
/// Part of [`UPDATE_DEADLINE`] that is reserved for delays of the process itself on a busy machine.
pub const MARGIN: Duration = Duration::from_millis(400);
/// Time within which a reachable service is assumed to answer a call, including connecting and queueing.
pub const ANSWER_TIME: Duration = Duration::from_millis(1600);
/// Maximum time from any moment to the start of the next call if lists are requested.
pub const PERIOD: Duration = Duration::from_millis(4000);
/// Minimum of the period of a small fleet, whose brokers call more often, one call in each [`BROKER_SPACING`]. This leaves
/// time for a third call after two that an overloaded service refused.
const PERIOD_MIN: Duration = Duration::from_millis(1500);
/// Interval of heartbeats (empty lines) on a watch without changes.
pub const HEARTBEAT: Duration = Duration::from_millis(2000);
/// Tolerated delay of a heartbeat where all brokers of the fleet would make a further call at the same time.
const HEARTBEAT_SLACK_FLEET: Duration = Duration::from_millis(1400);
/// Distance between the offsets of two brokers within a period, or less if the period is too short for all.
const BROKER_SPACING: Duration = Duration::from_millis(40);
/// Tolerated delay of a heartbeat where a further call costs nothing.
const HEARTBEAT_SLACK_AGENT: Duration = Duration::from_millis(500);
/// Time-out for connecting to the service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time-out for the stages in which a call queues behind the calls of other brokers.
const QUEUED_STAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bounds on the time between the starts of calls to an unresponsive agent, in milliseconds.
const AGENT_PACE_MS: [f64; 2] = [100.0, 500.0];
/// Number of unanswered calls after which a stage's time-out has doubled, up to [`STAGE_TIMEOUT_MAX`], so that a slow agent
/// can finish its answer.
const UNANSWERED_PER_DOUBLING: u32 = 128;
/// Maximum time-out of a stage of a call to an agent.
const STAGE_TIMEOUT_MAX: Duration = Duration::from_millis(1000);

/// Time after which a new process becomes ready without a list. It must be ready within 10 s whatever the discovery service
/// does, since without a list it rejects queries as safe to retry. The remaining 2 s are for its start and the readiness
/// probe.
const READINESS_DEADLINE: Duration = Duration::from_millis(8000);

/// Time-outs of calls to the discovery service. Those of a call's stages count from the end of the stage before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Whether an agent on this machine pushes lists, so that calls cost nothing.
    pub is_pushed: bool,
    /// Time-out for establishing the connection.
    pub connect: Duration,
    /// Time-out for the complete head of the response.
    pub head: Duration,
    /// Time-out for the first chunk of a watch, or for the complete list.
    pub body: Duration,
    /// Time-out for the next complete heartbeat or list of a watch.
    pub heartbeat_timeout: Duration,
    /// Time-out from the start of a call for its first complete result; used if lists are requested.
    pub call_timeout: Duration,
    /// Time from the start of one call to the start of the next; if lists are requested, the maximum after several failures.
    pub pace: Duration,
    /// The broker's offset within the pace, which spreads the calls of the fleet; used if lists are requested.
    pub stagger: Duration,
    /// Time-out for the first list of a new process, which then falls back to the list in its configuration.
    pub first_list: Duration,
    /// Time after which a new process becomes ready without any list.
    pub readiness: Duration,
}

impl CallTimeouts {
    /// Computes the time-outs from the settings.
    pub fn from_settings(settings: &Settings) -> Self {
        let first_list = Duration::from_millis(1000);
        if settings.requires_subscription {
            // A broker without an index uses its process id, which spreads the calls as well.
            let index = settings.index.unwrap_or_else(std::process::id);
            let brokers = settings.aggregators.max(1);
            let pace = (BROKER_SPACING * brokers).clamp(PERIOD_MIN, PERIOD);
            let spacing = BROKER_SPACING.min(pace / brokers);
            return Self {
                is_pushed: false,
                connect: CONNECT_TIMEOUT,
                head: QUEUED_STAGE_TIMEOUT,
                body: QUEUED_STAGE_TIMEOUT,
                heartbeat_timeout: HEARTBEAT + HEARTBEAT_SLACK_FLEET,
                call_timeout: PERIOD * 3 / 4,
                pace,
                stagger: spacing * (index % brokers),
                first_list,
                readiness: READINESS_DEADLINE,
            };
        }
        let pace = millis((settings.drain_grace_ms / 2.0).clamp(AGENT_PACE_MS[0], AGENT_PACE_MS[1]));
        let (heartbeat_timeout, call_timeout) = (HEARTBEAT + HEARTBEAT_SLACK_AGENT, 3 * STAGE_TIMEOUT_MAX);
        Self {
            is_pushed: true,
            connect: pace,
            head: pace,
            body: STAGE_TIMEOUT_MAX,
            heartbeat_timeout,
            call_timeout,
            pace,
            stagger: Duration::ZERO,
            first_list,
            readiness: READINESS_DEADLINE,
        }
    }
}

/// The type of a call to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Opens a watch.
    Watch,
    /// Requests the complete list once.
    List,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The core requests a watch. This starts the first call only; afterwards it is ignored.
    WatchRequested,
    /// The address of the discovery service has changed.
    AddressChanged,
    /// The call's connection is established.
    Connected,
    /// The head of a successful response has arrived.
    HeadReceived,
    /// The call has returned something complete: a list, or a heartbeat of a watch.
    CompleteReceived,
    /// The call has returned a newer list.
    NewerListReceived,
    /// The call has ended.
    CallEnded,
    /// The time of [`Watching::due`] has been reached.
    TimeoutElapsed,
}

/// An output of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Drop the current call.
    DropCall,
    /// Make a call.
    Call(Call),
    /// Report a failure to the core.
    ReportFailure,
}

/// The stage of the current call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Connecting,
    AwaitingHead,
    Receiving,
}

/// The state machine that schedules calls to the discovery service. At most one call is in flight.
#[derive(Debug)]
pub struct Watching {
    timeouts: CallTimeouts,
    stage: Stage,
    /// The current or last call.
    call: Call,
    call_started: Instant,
    /// Time at which the current call times out or the next one starts. During a call it only moves to later times.
    due: Option<Instant>,
    /// Whether the current call has returned a newer list.
    has_newer_list: bool,
    /// Time at which the current call first returned something complete.
    complete_since: Option<Instant>,
    /// Number of consecutive calls without a response.
    unanswered: u32,
    /// Number of consecutive calls since the last established watch.
    failures: u32,
    /// The type of the next call.
    next_call: Call,
    /// Start of the last call for a list, if it succeeded and no watch has been established since.
    last_list_started: Option<Instant>,
}

impl Watching {
    /// Creates a state machine that makes its first call immediately if lists are pushed, and otherwise on the core's
    /// request.
    pub fn new(timeouts: CallTimeouts, now: Instant) -> Self {
        Self {
            timeouts,
            stage: Stage::Idle,
            call: Call::Watch,
            call_started: now,
            due: timeouts.is_pushed.then_some(now),
            has_newer_list: false,
            complete_since: None,
            unanswered: 0,
            failures: 0,
            next_call: Call::Watch,
            last_list_started: None,
        }
    }

    /// Delay before the first call of a process without a list, which spreads the calls of brokers that start together.
    pub fn first_call_delay(&self) -> Duration {
        self.timeouts.stagger / 2
    }

    /// Time at which [`Event::TimeoutElapsed`] must be delivered.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Number of consecutive calls without a response.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Handles an event. An event that does not fit the current stage is ignored.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match (event, self.stage) {
            (Event::WatchRequested, Stage::Idle) if self.due.is_none() => self.start_call(Call::Watch, now),
            (Event::AddressChanged, _) => {
                (self.unanswered, self.failures, self.next_call, self.last_list_started) =
                    (0, 0, Call::Watch, None);
                let mut actions = vec![Action::DropCall];
                if self.timeouts.is_pushed {
                    actions.extend(self.start_call(Call::Watch, now));
                } else {
                    // Spreads the first calls of a large fleet at the new address.
                    (self.stage, self.due) = (Stage::Idle, Some(now + self.timeouts.stagger / 4));
                }
                actions
            }
            (Event::Connected, Stage::Connecting) => {
                self.enter_stage(Stage::AwaitingHead, now + self.stage_timeout(self.timeouts.head))
            }
            (Event::HeadReceived, Stage::AwaitingHead) => {
                self.unanswered = 0;
                self.enter_stage(Stage::Receiving, now + self.timeouts.body)
            }
            (Event::CompleteReceived, Stage::Receiving) => {
                self.complete_since = self.complete_since.or(Some(now));
                if self.call == Call::Watch {
                    self.due = self.due.max(Some(now + self.timeouts.heartbeat_timeout));
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
                Stage::Idle => self.start_call(self.next_call, now),
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
        (self.stage, self.call, self.call_started) = (Stage::Connecting, call, now);
        (self.has_newer_list, self.complete_since) = (false, None);
        self.due = Some(now + self.stage_timeout(self.timeouts.connect));
        vec![Action::Call(call)]
    }

    /// Enters the next stage of a call. Until the call has returned something, the stage's time-out is bounded by that of
    /// the call.
    fn enter_stage(&mut self, stage: Stage, due: Instant) -> Vec<Action> {
        self.stage = stage;
        let call_timeout = self.timeouts.call_timeout
            / if self.last_list_started.is_some() && self.call == Call::Watch { 2 } else { 1 };
        self.due = self.due.max(Some(due.min(self.call_started + call_timeout)));
        Vec::new()
    }

    /// Time-out of a stage; for an agent, extended by the number of unanswered calls.
    fn stage_timeout(&self, timeout: Duration) -> Duration {
        if !self.timeouts.is_pushed {
            return timeout;
        }
        (timeout + timeout * self.unanswered / UNANSWERED_PER_DOUBLING).min(STAGE_TIMEOUT_MAX.max(timeout))
    }

    /// Handles the end of a call, or its time-out, and schedules the next one.
    fn on_call_ended(&mut self, now: Instant, timed_out: bool) -> Vec<Action> {
        if self.stage != Stage::Receiving {
            self.unanswered = self.unanswered.saturating_add(1);
        }
        let (call, was_connected) = (self.call, self.stage != Stage::Connecting);
        if self.timeouts.is_pushed {
            // Calls to an agent cost nothing: the list is requested immediately, in case only watches fail.
            if call == Call::Watch && !self.has_newer_list {
                return self.start_call(Call::List, now);
            }
            self.stage = Stage::Idle;
            self.due = Some(now.max(self.call_started + self.timeouts.pace));
            return Vec::new();
        }
        let returned_something = self.complete_since.is_some();
        if let Some(list_started) =
            self.last_list_started.filter(|_| call == Call::Watch && !returned_something)
        {
            // Calls for lists succeed and watches fail: the next list is scheduled as if no watch had been tried.
            (self.stage, self.next_call, self.due) =
                (Stage::Idle, Call::List, Some(now.max(list_started + self.timeouts.pace)));
            return vec![Action::ReportFailure];
        }
        self.last_list_started = (call == Call::List && returned_something).then_some(self.call_started);
        // The list is requested next in case only watches fail; a failed connection is no evidence of that.
        self.next_call = if call == Call::Watch && !returned_something && was_connected {
            Call::List
        } else {
            Call::Watch
        };
        let was_established =
            call == Call::Watch && self.complete_since.is_some_and(|since| now >= since + self.timeouts.pace);
        self.failures = if was_established { 1 } else { self.failures.saturating_add(1) };
        let CallTimeouts { pace, stagger, .. } = self.timeouts;
        let next_start = if timed_out && returned_something {
            now + stagger * 3 / 20
        } else {
            let from = if was_established { now } else { self.call_started };
            let (wait, offset) = self.backoff();
            // A watch between two lists has half the time, so that the lists are no further apart than other calls.
            let max_wait = if self.last_list_started.is_some() { pace / 2 } else { pace };
            (now.max(from + wait) + offset).min(from + max_wait)
        };
        (self.stage, self.due) = (Stage::Idle, Some(next_start.max(now)));
        vec![Action::ReportFailure]
    }

    /// Returns the wait from the start of a failed call, or from the end of an established watch, to the next call, and the
    /// share of the broker's offset to be added to it. The offset is added in four quarters, so that brokers that start
    /// together, as when all watches end at once, have reached their offsets after the fourth call.
    fn backoff(&self) -> (Duration, Duration) {
        let CallTimeouts { pace, stagger, .. } = self.timeouts;
        match self.failures {
            0 | 1 => (pace / 16, stagger / 4),
            2 => (pace / 4, stagger / 4),
            3 => (pace / 2, stagger / 4),
            4 => (pace * 3 / 4, stagger / 4),
            _ => (pace, Duration::ZERO),
        }
    }
}
