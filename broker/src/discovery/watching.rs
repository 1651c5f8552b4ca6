//! When discovery is called, and when a call or a watch counts as silent. A machine without I/O: events and the
//! time in, actions out. It knows neither lists nor sockets.
//!
//! What a silent watch misses counts as told 6 s ([`TOLD_AFTER`]) after it fell silent; for a call that may wait, 2 s
//! ([`WAIT_GRACE`]) after that wait, if that is later. Here the silence begins with the last thing that came whole.
//!
//! - Lists asked for, one service for the whole fleet: after a failure the module asks again, within [`AGAIN_MOST`] of the
//!   first one. Watch silent: `silence + AGAIN_MOST + connect` = 3.4 + 1.5 + 1 = 5.9 s until the next call is out. Call
//!   silent: given up `head` = 2.5 s after it was sent, the list asked for at once, out 1 s later at the most: 3.5 s, where
//!   2.5 + 2 are allowed; one for the list, `head + AGAIN_MOST + connect` = 5 s. First byte and no more: `body` in
//!   place of `head`, the same. Later failures are spread over the fleet by the module, within what the settings allow
//!   who keeps asking. That a drain has its grace from then on is to spare.
//! - Lists pushed, an agent of the broker's own that answers at once and for nothing: called from the first moment, and
//!   again `pace` after a call that failed, for as long as it is silent: what it has when it speaks again counts
//!   at once, so the pace is half of a drain's grace. Watch silent: out after `silence + connect`, at most
//!   2.5 + 0.5 s; any call: `connect + head` or `body`, 1 s, before the next.
//!
//! While nothing can be heard the list stays in use; `docs/design/standing.md` says why.

use std::time::{Duration, Instant};

use stoatlane::Settings;

use crate::clock::millis;

/// What a watch that fell silent missed counts as told so much later.
pub const TOLD_AFTER: Duration = Duration::from_millis(6000);
/// What a silent call missed counts as told so long after its wait was over, if that is later.
pub const WAIT_GRACE: Duration = Duration::from_millis(2000);
/// The module asks again within so long of a first failure.
pub const AGAIN_MOST: Duration = Duration::from_millis(1500);
/// While nothing changes, an empty line comes so often.
pub const BEAT: Duration = Duration::from_millis(2000);
/// Left over for the process's own turns.
const SLACK: Duration = Duration::from_millis(100);
/// An empty line may be so late where a call more costs nothing.
const BEAT_LATE: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_millis(1000);
/// A call waits in turn with those of other brokers.
const TURN: Duration = Duration::from_millis(2500);
/// Calls of an agent that is silent, whatever a drain's grace.
const PACE: [f64; 2] = [100.0, 500.0];
/// Guards against an agent that is slow after all, and would never be let finish: so many calls that were not
/// answered double the wait, up to [`PATIENCE`].
const SLOWER: u32 = 128;
const PATIENCE: Duration = Duration::from_millis(1000);

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
    /// Where lists are pushed: from the beginning of one call to the next after it.
    pub pace: Duration,
    /// A new process has its first list, or goes by the one that it finds in its configuration.
    pub first: Duration,
}

impl Waits {
    /// As the settings have it.
    pub fn of(settings: &Settings) -> Self {
        let first = Duration::from_millis(1000);
        if settings.subscribe {
            let silence = TOLD_AFTER - AGAIN_MOST - CONNECT - SLACK;
            return Self {
                pushed: false,
                connect: CONNECT,
                head: TURN,
                body: TURN,
                silence,
                pace: CONNECT,
                first,
            };
        }
        let pace = millis((settings.drain_grace_ms / 2.0).clamp(PACE[0], PACE[1]));
        let silence = BEAT + BEAT_LATE;
        Self { pushed: true, connect: pace, head: pace, body: PATIENCE, silence, pace, first }
    }
}

/// What is called for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A watch.
    Watch,
    /// The whole list, once.
    List,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The core asks for a watch; one that stands is kept.
    Wanted,
    /// Discovery is at another address.
    Moved,
    /// The call's connection is up.
    Connected,
    /// The head of its answer is there, and good.
    Answered,
    /// The watch said something that is whole; that nothing changed will do.
    Heard,
    /// It has led to a newer list.
    Told,
    /// The call is over; `busy` where too many call.
    Ended {
        /// Whether it was refused as one too many.
        busy: bool,
    },
    /// Time has passed.
    Due,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Leave the call that is out.
    Leave,
    /// Call.
    Call(Call),
    /// Tell the core of the failure: it asks again when it thinks fit.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Resting,
    Connecting,
    Asked,
    Answering,
}

/// The machine. At most one call is out.
#[derive(Debug)]
pub struct Watching {
    waits: Waits,
    stage: Stage,
    call: Call,
    began: Instant,
    /// When the next thing is due; while a call is out it only moves on.
    due: Option<Instant>,
    /// Whether the call that is out has led to a newer list.
    told: bool,
    /// Calls in a row without any answer.
    unanswered: u32,
    /// Whether the next watch that is refused as one too many is followed by a call for the list.
    list_next: bool,
}

impl Watching {
    /// One that calls at once where lists are pushed, and otherwise once the core asks.
    pub fn new(waits: Waits, now: Instant) -> Self {
        Self {
            waits,
            stage: Stage::Resting,
            call: Call::Watch,
            began: now,
            due: waits.pushed.then_some(now),
            told: false,
            unanswered: 0,
            list_next: false,
        }
    }

    /// When [`Event::Due`] is to come.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Calls in a row without any answer.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Takes an event; what does not fit the stage changes nothing.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match (event, self.stage) {
            (Event::Wanted, Stage::Resting) => self.begin(Call::Watch, now),
            (Event::Moved, _) => {
                (self.unanswered, self.list_next) = (0, false);
                let mut actions = vec![Action::Leave];
                actions.extend(self.begin(Call::Watch, now));
                actions
            }
            (Event::Connected, Stage::Connecting) => {
                self.go_on(Stage::Asked, now + self.patience(self.waits.head))
            }
            (Event::Answered, Stage::Asked) => {
                self.unanswered = 0;
                self.go_on(Stage::Answering, now + self.waits.body)
            }
            (Event::Heard, Stage::Answering) if self.call == Call::Watch => {
                self.go_on(Stage::Answering, now + self.waits.silence)
            }
            (Event::Told, Stage::Answering) => {
                self.told = true;
                Vec::new()
            }
            (Event::Ended { .. }, Stage::Resting) => Vec::new(),
            (Event::Ended { busy }, _) => self.over(busy, now),
            (Event::Due, stage) if self.due.is_some_and(|due| due <= now) => match stage {
                Stage::Resting => self.begin(Call::Watch, now),
                _ => {
                    let mut actions = vec![Action::Leave];
                    actions.extend(self.over(false, now));
                    actions
                }
            },
            _ => Vec::new(),
        }
    }

    fn begin(&mut self, call: Call, now: Instant) -> Vec<Action> {
        (self.stage, self.call, self.began, self.told) = (Stage::Connecting, call, now, false);
        self.due = Some(now + self.patience(self.waits.connect));
        vec![Action::Call(call)]
    }

    fn go_on(&mut self, stage: Stage, due: Instant) -> Vec<Action> {
        self.stage = stage;
        self.due = self.due.max(Some(due));
        Vec::new()
    }

    fn patience(&self, wait: Duration) -> Duration {
        if !self.waits.pushed {
            return wait;
        }
        (wait + wait * self.unanswered / SLOWER).min(PATIENCE.max(wait))
    }

    /// The call is over. A watch that led to nothing is followed by a call for the list, in case that watches are what
    /// can't be had; but where too many call, one more at once would only add to them, so that only every
    /// second refusal is.
    fn over(&mut self, busy: bool, now: Instant) -> Vec<Action> {
        if self.stage != Stage::Answering {
            self.unanswered = self.unanswered.saturating_add(1);
        }
        if self.call == Call::Watch {
            let spare = busy && !self.waits.pushed && {
                self.list_next = !self.list_next;
                self.list_next
            };
            if !spare && !self.told {
                return self.begin(Call::List, now);
            }
        }
        self.stage = Stage::Resting;
        if self.waits.pushed {
            self.due = Some(now.max(self.began + self.waits.pace));
            return Vec::new();
        }
        self.due = None;
        vec![Action::Failed]
    }
}
