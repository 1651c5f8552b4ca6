//! Process of an edge: starts all parts, dispatches internal messages, runs periodic work, and shuts down.

mod heartbeat;
mod readiness;
mod shutdown;

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_protocol::Settings;
use gingerledge_relay::RelayEvent;
use gingerledge_transport::{identity, Inbox, Incoming, Network, NetworkSettings, TransportError};
use gingerledge_wire::{ControlMessage, Envelope};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, Instant};

use crate::front::{self, Front};
use crate::{rollout, Shared};
pub use heartbeat::Heartbeats;
pub use readiness::{is_ready, Readiness};
pub use shutdown::{Shutdown, ShutdownStep};

/// Interval of the periodic clean-up.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the progress of a shutdown is checked.
const SHUTDOWN_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a node reloads its settings while its registry is not fresh.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest sleep until the next timer.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// Maximum number of inbox events that are handled in one iteration of the event loop.
const MAX_INBOX_BATCH: usize = 64;

/// Why the edge cannot start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The settings lack an address to listen on.
    #[snafu(display("settings: listen.{key}: an edge needs it"))]
    Missing {
        /// Key of the address in the section `listen` of the settings.
        key: &'static str,
    },
    /// Listening on an address failed.
    #[snafu(display("listen.{key}: {source}"))]
    Listen {
        /// Key of the address in the section `listen` of the settings.
        key: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The socket for internal messages could not be set up.
    #[snafu(display("internal messages: {source}"))]
    Internal {
        /// Error of the transport.
        source: TransportError,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs an edge until a signal ends it. Must be called on a current-thread runtime, inside a `LocalSet`. `reload` reads the
/// settings again.
///
/// # Errors
///
/// [`NodeError`] if a listener, the internal network or the signal handlers cannot be set up.
pub async fn run<E: Display>(
    settings: Settings,
    reload: impl Fn() -> Result<Settings, E>,
) -> Result<(), NodeError> {
    let frontend_listener = listen(settings.listen.frontend, "frontend").await?;
    let readiness_listener = listen(settings.listen.readiness, "readiness").await?;
    let network = NetworkSettings::new(settings.internal_address());
    let (network, inbox) = Network::bind(network).await.context(InternalSnafu)?;
    let signals = Signals::new().context(SignalsSnafu)?;
    let limits = front::front_limits(&settings.limits);
    let front = Front::new(limits);
    let draw_identity = |purpose| identity::draw(&settings.node_name, settings.internal_address(), purpose);
    let incarnation = draw_identity("incarnation");
    fastrand::seed(draw_identity("choices"));
    let shared = Rc::new(Shared::new(settings, network, incarnation));
    shared.stores.set_total_connection_limit(limits.store_connections);
    let readiness = Rc::new(Readiness::default());
    shared.handle_relay_event(RelayEvent::ControlNodesKnown(shared.settings().internal_seeds()));
    shared.handle_relay_event(RelayEvent::Started);
    rollout::start(&shared);
    tokio::task::spawn_local(front::serve(Rc::clone(&shared), Rc::clone(&front), frontend_listener));
    tokio::task::spawn_local(readiness::serve(Rc::clone(&shared), Rc::clone(&readiness), readiness_listener));
    let settings = shared.settings();
    log::info!(node = settings.node_name.as_str(); "edge serving at {:?}", settings.listen.frontend);
    drop(settings);
    let node = Node {
        shared,
        front,
        readiness,
        heartbeats: Heartbeats::new(),
        last_cleanup_at: Duration::ZERO,
        last_reload_at: Duration::ZERO,
    };
    let shared = Rc::clone(&node.shared);
    node.run(inbox, signals, reload).await;
    shared.flush().await;
    Ok(())
}

/// Listens on the address that the settings give for `key`.
async fn listen(address: Option<std::net::SocketAddr>, key: &'static str) -> Result<TcpListener, NodeError> {
    let address = address.context(MissingSnafu { key })?;
    TcpListener::bind(address).await.context(ListenSnafu { key })
}

/// Streams of the signals that the edge handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Event loop of the edge, with the state that only it uses.
struct Node {
    shared: Rc<Shared>,
    front: Rc<Front>,
    readiness: Rc<Readiness>,
    heartbeats: Heartbeats,
    /// Time of the last clean-up, on the clock of [`Shared::now`].
    last_cleanup_at: Duration,
    /// Time of the last periodic reload of the settings, on the clock of [`Shared::now`].
    last_reload_at: Duration,
}

impl Node {
    /// Handles internal messages, signals and timers until the process may exit.
    async fn run<E: Display>(
        mut self,
        mut inbox: Inbox<Envelope>,
        mut signals: Signals,
        reload: impl Fn() -> Result<Settings, E>,
    ) {
        let timer = sleep(Duration::ZERO);
        tokio::pin!(timer);
        let mut shutdown: Option<Shutdown> = None;
        loop {
            tokio::select! {
                biased;
                _ = signals.terminate.recv() => self.start_shutdown(&mut shutdown),
                _ = signals.interrupt.recv() => self.start_shutdown(&mut shutdown),
                _ = signals.hangup.recv() => self.reload_settings(&reload),
                incoming = inbox.next() => match incoming {
                    Some(incoming) => self.on_incoming_batch(incoming, &mut inbox),
                    None => return,
                },
                () = &mut timer => {}
            }
            if self.take_due_reload() {
                self.reload_settings(&reload);
            }
            if self.on_timers(shutdown.as_ref()) {
                return;
            }
            timer.as_mut().reset(self.next_timer(shutdown.is_some()));
        }
    }

    fn on_incoming_batch(&mut self, first: Incoming<Envelope>, inbox: &mut Inbox<Envelope>) {
        self.on_incoming(first);
        for _ in 1..MAX_INBOX_BATCH {
            let Some(incoming) = inbox.try_next() else { return };
            self.on_incoming(incoming);
        }
    }

    fn on_incoming(&mut self, incoming: Incoming<Envelope>) {
        match incoming {
            Incoming::Message { from, message: Envelope::Relay(message) } => {
                self.shared.handle_relay_event(RelayEvent::Message { from, message });
            }
            Incoming::Message { from, message: Envelope::Jobs(message) } => {
                rollout::on_message(&self.shared, from, message);
            }
            Incoming::Message { from, message: Envelope::Control(message) } => {
                self.on_control_message(from, message);
            }
            Incoming::Message { .. } => {}
            Incoming::Lost { peer, .. } => {
                self.shared.handle_relay_event(RelayEvent::PeerDisconnected { peer });
                self.heartbeats.on_peer_lost(peer);
                rollout::on_messages_lost(&self.shared, peer);
            }
        }
    }

    fn on_control_message(&mut self, from: std::net::SocketAddr, message: ControlMessage) {
        if let ControlMessage::HeartbeatAck { sequence, control_nodes } = message {
            self.heartbeats.on_acknowledged(from, sequence, &control_nodes);
            self.shared.handle_relay_event(RelayEvent::ControlNodesKnown(
                self.heartbeats.known_control_nodes(&self.shared),
            ));
        }
    }

    /// Runs the periodic work that is due. Returns whether the process may exit now.
    fn on_timers(&mut self, shutdown: Option<&Shutdown>) -> bool {
        let now = self.shared.now();
        if self.shared.relay_timer().is_some_and(|due| due <= now) {
            self.shared.handle_relay_event(RelayEvent::TimerExpired);
        }
        self.heartbeats.on_timer(&self.shared, now);
        if now.saturating_sub(self.last_cleanup_at) >= CLEANUP_INTERVAL {
            self.last_cleanup_at = now;
            self.clean_up();
        }
        shutdown.is_some_and(|shutdown| self.advance_shutdown(shutdown, now))
    }

    /// Updates the freshness of the registry, and closes what is expired or unused.
    fn clean_up(&self) {
        let shared = &self.shared;
        self.readiness.observe(shared);
        self.front.close_expired(shared);
        shared.release_unused();
    }

    /// Carries out the current step of a shutdown. Returns whether the process may exit now.
    fn advance_shutdown(&self, shutdown: &Shutdown, now: Duration) -> bool {
        match shutdown.step(now, self.front.budget.requests_in_flight(), self.front.connections.len()) {
            ShutdownStep::Serve => false,
            ShutdownStep::CloseIdle => {
                self.front.connections.close_idle(now, Shutdown::MIN_IDLE);
                false
            }
            ShutdownStep::Exit => {
                self.heartbeats.send_goodbye(&self.shared);
                true
            }
        }
    }

    /// When the event loop must run again at the latest.
    fn next_timer(&self, is_shutting_down: bool) -> Instant {
        let now = self.shared.now();
        let interval = if is_shutting_down { SHUTDOWN_INTERVAL } else { CLEANUP_INTERVAL };
        let relay_timer = self.shared.relay_timer().unwrap_or(Duration::MAX);
        let next = relay_timer
            .min(self.heartbeats.next_timer())
            .min(self.last_cleanup_at + CLEANUP_INTERVAL)
            .min(now + interval);
        Instant::now() + next.saturating_sub(now).max(MIN_SLEEP)
    }

    /// Whether the settings must be reloaded because the registry has not been fresh for a reload interval: the settings may list
    /// other control nodes by now. Returns true at most once per interval.
    fn take_due_reload(&mut self) -> bool {
        let now = self.shared.now();
        let last = self.readiness.fresh_at().unwrap_or_default().max(self.last_reload_at);
        let is_due = now.saturating_sub(last) >= RELOAD_INTERVAL;
        if is_due {
            self.last_reload_at = now;
        }
        is_due
    }

    fn start_shutdown(&self, shutdown: &mut Option<Shutdown>) {
        if shutdown.is_none() {
            log::info!("graceful shutdown started");
            self.shared.start_shutdown();
            let grace_period =
                Duration::try_from_secs_f64(self.shared.settings().bounds.grace_s).unwrap_or_default();
            *shutdown = Some(Shutdown::new(self.shared.now(), grace_period));
        }
    }

    /// Reloads the settings; if that fails, the current ones stay in force.
    fn reload_settings<E: Display>(&self, reload: &impl Fn() -> Result<Settings, E>) {
        match reload() {
            Ok(settings) => {
                self.shared.set_settings(settings);
                self.shared.handle_relay_event(RelayEvent::ControlNodesKnown(
                    self.heartbeats.known_control_nodes(&self.shared),
                ));
            }
            Err(error) => log::warn!("reloading the settings failed; keeping the current settings: {error}"),
        }
    }
}
