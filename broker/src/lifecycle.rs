//! Whether the broker accepts requests: one state machine behind `/ready` on the platform front and the admin endpoint, the
//! admin calls that begin and end a drain, and SIGTERM.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future::or;

/// Time from the beginning of a drain after which connections without a request are closed. The load balancer in front
/// requests `/ready` ten times a second and stops sending 0.2 s after a negative answer, so that no new request arrives by
/// then.
const DRAIN_IDLE_CLOSE: Duration = Duration::from_millis(1000);
/// Time from the beginning of a drain after which no incomplete request is waited for. 4 s after the beginning, the broker
/// must not hold any request that it received within the last 2 s, so the last request must be complete before 2 s.
const DRAIN_READ_END: Duration = Duration::from_millis(1800);
/// Time that a connection opened during a drain has for its request.
const LATE_CONNECTION_READ: Duration = Duration::from_millis(1000);
/// Time from SIGTERM after which connections without a request are closed.
///
/// New connections arrive for up to 0.4 s after SIGTERM, and are served. SIGKILL follows SIGTERM after the longest deadline
/// of the settings (3 s at most) and another 0.7 s. A request that arrives later than 0.7 s after SIGTERM is lost if it is
/// unanswered at SIGKILL. The three shutdown times therefore follow from the protocol alone, whatever the deadlines:
/// connections without a request are closed well before 0.7 s, the last request is read completely before, and a request
/// that has not been read by then is not read at all.
const SHUTDOWN_IDLE_CLOSE: Duration = Duration::from_millis(500);
/// Time from SIGTERM after which no incomplete request is waited for; see [`SHUTDOWN_IDLE_CLOSE`].
const SHUTDOWN_READ_END: Duration = Duration::from_millis(650);
/// Time from SIGTERM after which no request is read any more; see [`SHUTDOWN_IDLE_CLOSE`].
const SHUTDOWN_REQUESTS_END: Duration = Duration::from_millis(700);

/// The phase in the life of the broker's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The broker accepts requests.
    Serving,
    /// The broker drains: new requests are still served, and every answer closes its connection.
    Draining {
        /// Beginning of the drain.
        since: Instant,
    },
    /// The broker shuts down.
    ShuttingDown {
        /// Beginning of the shutdown.
        since: Instant,
        /// Whether another process accepts connections from the same listener.
        has_successor: bool,
    },
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining { .. } => "draining",
            Self::ShuttingDown { has_successor: false, .. } => "leaving",
            Self::ShuttingDown { has_successor: true, .. } => "leaving to a successor",
        })
    }
}

/// The lifecycle of the broker's process, shared by the fronts and the admin endpoint.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Cell<Phase>,
    /// Whether the process has become able to serve; never reset.
    can_serve: Cell<bool>,
    /// Notified of each change of the phase or of `can_serve`.
    changed: Event,
    /// Number of open client connections.
    connections: Cell<usize>,
}

/// A client connection, which is counted as open until this is dropped.
#[derive(Debug)]
pub struct Connection(Rc<Lifecycle>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

impl Lifecycle {
    /// Creates the lifecycle of a process that serves as soon as it is able to.
    pub fn new() -> Rc<Self> {
        let (phase, can_serve, connections) = (Cell::new(Phase::Serving), Cell::new(false), Cell::new(0));
        Rc::new(Self { phase, can_serve, changed: Event::new(), connections })
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Whether `/ready` reports that the broker accepts requests.
    pub fn is_ready(&self) -> bool {
        self.can_serve.get() && self.phase() == Phase::Serving
    }

    /// Records that the process is able to serve.
    pub fn set_can_serve(&self) {
        if !self.can_serve.replace(true) {
            log::info!("ready");
            self.changed.notify(usize::MAX);
        }
    }

    /// Resolves once the process can serve or is shutting down.
    pub async fn wait_until_able(&self) {
        let is_shutting_down = |phase| matches!(phase, Phase::ShuttingDown { .. });
        self.wait_for(|phase| (self.can_serve.get() || is_shutting_down(phase)).then(Instant::now)).await
    }

    /// Whether every answer closes its connection.
    pub fn closes_connections(&self) -> bool {
        self.phase() != Phase::Serving
    }

    /// Enters a phase and wakes all tasks that wait for a deadline.
    fn enter(&self, phase: Phase) {
        let before = self.phase.replace(phase);
        log::info!("{phase}, after {before}");
        self.changed.notify(usize::MAX);
    }

    /// Begins a drain. During a drain or a shutdown this has no effect.
    pub fn drain(&self) {
        if self.phase() == Phase::Serving {
            self.enter(Phase::Draining { since: Instant::now() });
        }
    }

    /// Ends a drain. Returns false if the broker is shutting down.
    pub fn undrain(&self) -> bool {
        match self.phase() {
            Phase::Serving => true,
            Phase::Draining { .. } => {
                self.enter(Phase::Serving);
                true
            }
            Phase::ShuttingDown { .. } => false,
        }
    }

    /// Begins the shutdown. `has_successor` tells whether another process accepts connections from the same listener.
    pub fn shut_down(&self, has_successor: bool) {
        if !matches!(self.phase(), Phase::ShuttingDown { .. }) {
            self.enter(Phase::ShuttingDown { since: Instant::now(), has_successor });
        }
    }

    /// Resolves once a connection without a request must be closed. `accepted` is the time at which the connection was
    /// accepted if it has not carried a request yet.
    pub async fn idle_deadline(&self, accepted: Option<Instant>) {
        self.wait_for(|phase| match phase {
            Phase::Serving => None,
            Phase::Draining { since } => {
                let deadline = since + DRAIN_IDLE_CLOSE;
                Some(accepted.map_or(deadline, |at| deadline.max(at + LATE_CONNECTION_READ)))
            }
            Phase::ShuttingDown { since, .. } => Some(since + SHUTDOWN_IDLE_CLOSE),
        })
        .await
    }

    /// Resolves once an incomplete request must no longer be waited for: a request received later could still be open when
    /// the broker must hold none, or when it ends. `accepted` is as in [`Lifecycle::idle_deadline`].
    pub async fn read_deadline(&self, accepted: Option<Instant>) {
        self.wait_for(|phase| match phase {
            Phase::Serving => None,
            Phase::Draining { since } => {
                let deadline = since + DRAIN_READ_END;
                Some(accepted.map_or(deadline, |at| deadline.max(at + LATE_CONNECTION_READ)))
            }
            Phase::ShuttingDown { since, .. } => Some(since + SHUTDOWN_READ_END),
        })
        .await
    }

    /// Whether requests must no longer be read, since they might be unanswered at SIGKILL. The client finds the connection
    /// closed and retries the request at another broker.
    pub fn is_too_late(&self) -> bool {
        matches!(self.phase(), Phase::ShuttingDown { since, .. } if since.elapsed() >= SHUTDOWN_REQUESTS_END)
    }

    /// Resolves once a connection that has waited for a slot must no longer be accepted, since its request could not be
    /// read.
    pub async fn slot_deadline(&self) {
        self.wait_for(|phase| match phase {
            Phase::Serving | Phase::Draining { .. } => None,
            Phase::ShuttingDown { since, .. } => Some(since + SHUTDOWN_READ_END),
        })
        .await
    }

    /// Resolves once no more connections may be accepted.
    pub async fn accept_deadline(&self) {
        self.wait_for(|phase| match phase {
            Phase::Serving | Phase::Draining { .. } => None,
            // The successor accepts the connections that wait at a shared listener.
            Phase::ShuttingDown { since, has_successor: true } => Some(since),
            Phase::ShuttingDown { since, has_successor: false } => Some(since + SHUTDOWN_IDLE_CLOSE),
        })
        .await
    }

    /// Waits for the deadline of the current phase, which is computed anew whenever the phase changes.
    async fn wait_for(&self, deadline_of: impl Fn(Phase) -> Option<Instant>) {
        loop {
            let changed = self.changed.listen();
            match deadline_of(self.phase()) {
                None => changed.await,
                Some(deadline) if deadline <= Instant::now() => return,
                Some(deadline) => {
                    let timer = async {
                        Timer::at(deadline).await;
                    };
                    or(changed, timer).await;
                }
            }
        }
    }

    /// Counts a client connection as open until the returned value is dropped.
    pub fn track_connection(self: &Rc<Self>) -> Connection {
        self.connections.set(self.connections.get() + 1);
        Connection(self.clone())
    }

    /// Number of open client connections.
    pub fn connection_count(&self) -> usize {
        self.connections.get()
    }
}
