//! Whether the broker takes requests: one state machine behind `/ready` at both doors, the calls to drain,
//! and SIGTERM.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;

/// The front asks `/ready` ten times a second and stops 0.2 s after a no. So long after a drain began nobody
/// sends anything new, and connections without a request are closed.
const DRAIN_QUIET: Duration = Duration::from_millis(1000);
/// 4 s after a drain began no request of the last 2 s may be held: the last one has come whole by then.
const DRAIN_READ: Duration = Duration::from_millis(1800);
/// A connection that comes during a drain has so long for its request.
const LATE_COMER: Duration = Duration::from_millis(1000);
/// After SIGTERM new connections keep coming for up to 0.4 s, and are served. What comes later than 0.7 s after it is lost
/// where SIGKILL finds it unanswered, and SIGKILL comes the longest deadline of the settings (3 s at the most) and 0.7 s
/// after SIGTERM. So these three follow from the protocol alone, whatever the deadlines: connections without a request are
/// closed well before, the last request is read whole before, and what has not been read by then is not.
const LEAVE_QUIET: Duration = Duration::from_millis(500);
const LEAVE_READ: Duration = Duration::from_millis(650);
const LEAVE_TAKEN: Duration = Duration::from_millis(700);

/// What the broker is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// Draining: new requests are still served, and every answer closes its connection.
    Draining {
        /// From when on.
        since: Instant,
    },
    /// Shutting down.
    Leaving {
        /// From when on.
        since: Instant,
        /// Whether another process accepts from the same listener.
        succeeded: bool,
    },
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining { .. } => "draining",
            Self::Leaving { succeeded: false, .. } => "leaving",
            Self::Leaving { succeeded: true, .. } => "leaving to a successor",
        })
    }
}

/// The state machine, shared by fronts and the admin endpoint.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Cell<Phase>,
    /// Whether it has become ready to serve; never reset.
    able: Cell<bool>,
    changed: Event,
    connections: Cell<usize>,
}

/// A client's connection; counted until dropped.
#[derive(Debug)]
pub struct Connection(Rc<Lifecycle>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

impl Lifecycle {
    /// One that serves as soon as it is able to.
    pub fn new() -> Rc<Self> {
        let (phase, able, connections) = (Cell::new(Phase::Serving), Cell::new(false), Cell::new(0));
        Rc::new(Self { phase, able, changed: Event::new(), connections })
    }

    /// What the broker is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// The answer to `/ready`.
    pub fn ready(&self) -> bool {
        self.able.get() && self.phase() == Phase::Serving
    }

    /// From now on it can serve.
    pub fn set_able(&self) {
        if !self.able.replace(true) {
            log::info!("ready");
            self.changed.notify(usize::MAX);
        }
    }

    /// Resolves once it can serve or is shutting down.
    pub async fn able(&self) {
        let is_leaving = |phase| matches!(phase, Phase::Leaving { .. });
        self.reached(|phase| (self.able.get() || is_leaving(phase)).then(Instant::now)).await
    }

    /// Whether answers end their connections.
    pub fn closing(&self) -> bool {
        self.phase() != Phase::Serving
    }

    fn enter(&self, phase: Phase) {
        let before = self.phase.replace(phase);
        log::info!("{phase}, after {before}");
        self.changed.notify(usize::MAX);
    }

    /// Begins a drain; one that has begun goes on, and who leaves has drained already.
    pub fn drain(&self) {
        if self.phase() == Phase::Serving {
            self.enter(Phase::Draining { since: Instant::now() });
        }
    }

    /// Ends a drain; false if the broker is about to end.
    pub fn undrain(&self) -> bool {
        match self.phase() {
            Phase::Serving => true,
            Phase::Draining { .. } => {
                self.enter(Phase::Serving);
                true
            }
            Phase::Leaving { .. } => false,
        }
    }

    /// The broker is about to end; `succeeded` says whether another process goes on at the same listener.
    pub fn leave(&self, succeeded: bool) {
        if !matches!(self.phase(), Phase::Leaving { .. }) {
            self.enter(Phase::Leaving { since: Instant::now(), succeeded });
        }
    }

    /// Resolves once a connection without a request is to be closed; `accepted` is when it came, for one that
    /// has not carried any.
    pub async fn idle_over(&self, accepted: Option<Instant>) {
        self.reached(|phase| match phase {
            Phase::Serving => None,
            Phase::Draining { since } => {
                let quiet = since + DRAIN_QUIET;
                Some(accepted.map_or(quiet, |at| quiet.max(at + LATE_COMER)))
            }
            Phase::Leaving { since, .. } => Some(since + LEAVE_QUIET),
        })
        .await
    }

    /// Resolves once a request that has not come whole is no longer waited for: what would be taken later could
    /// be held when the broker has to be empty, or ends.
    pub async fn reading_over(&self, accepted: Option<Instant>) {
        self.reached(|phase| match phase {
            Phase::Serving => None,
            Phase::Draining { since } => {
                let over = since + DRAIN_READ;
                Some(accepted.map_or(over, |at| over.max(at + LATE_COMER)))
            }
            Phase::Leaving { since, .. } => Some(since + LEAVE_READ),
        })
        .await
    }

    /// Whether a request that has not been read is left to lie: SIGKILL might find it unanswered. Its client finds the
    /// connection closed, and sends it once more elsewhere.
    pub fn is_too_late(&self) -> bool {
        matches!(self.phase(), Phase::Leaving { since, .. } if since.elapsed() >= LEAVE_TAKEN)
    }

    /// Resolves once it is no use any more to take a connection that has waited for a place.
    pub async fn late(&self) {
        self.reached(|phase| match phase {
            Phase::Serving | Phase::Draining { .. } => None,
            Phase::Leaving { since, .. } => Some(since + LEAVE_READ),
        })
        .await
    }

    /// Resolves once no more connections are to be accepted.
    pub async fn accepting_over(&self) {
        self.reached(|phase| match phase {
            Phase::Serving | Phase::Draining { .. } => None,
            // What waits at a shared listener is the successor's from now on.
            Phase::Leaving { since, succeeded: true } => Some(since),
            Phase::Leaving { since, succeeded: false } => Some(since + LEAVE_QUIET),
        })
        .await
    }

    /// Waits for the time that the phase names, and begins anew whenever the phase changes.
    async fn reached(&self, at: impl Fn(Phase) -> Option<Instant>) {
        loop {
            let changed = self.changed.listen();
            match at(self.phase()) {
                None => changed.await,
                Some(at) if at <= Instant::now() => return,
                Some(at) => {
                    let late = async {
                        Timer::at(at).await;
                    };
                    or(changed, late).await;
                }
            }
        }
    }

    /// Counts a client's connection.
    pub fn connection(self: &Rc<Self>) -> Connection {
        self.connections.set(self.connections.get() + 1);
        Connection(self.clone())
    }

    /// Client connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }
}
