//! The edge as a process: starts all parts, dispatches internal messages, runs the periodic work, and shuts down.

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

/// The interval of the periodic clean-up.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between two checks of a shutdown.
const SHUTDOWN_INTERVAL: Duration = Duration::from_millis(50);
/// An isolated node reloads its settings this often.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// The shortest sleep until a timer.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// The most events of the inbox that are handled in one iteration.
const INBOX_BATCH: usize = 64;

/// Why the edge can't run.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address to listen on is missing.
    #[snafu(display("settings: listen.{key}: an edge needs it"))]
    Missing {
        /// The key in the settings.
        key: &'static str,
    },
    /// An address can't be listened on.
    #[snafu(display("listen.{key}: {source}"))]
    Listen {
        /// The key in the settings.
        key: &'static str,
        /// The error of the system.
        source: std::io::Error,
    },
    /// Internal messages can't be received.
    #[snafu(display("internal messages: {source}"))]
    Internal {
        /// The error of the transport.
        source: TransportError,
    },
    /// Signals can't be handled.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The error of the system.
        source: std::io::Error,
    },
}

/// Runs an edge until a signal ends it, on a current-thread runtime inside a `LocalSet`. `reload` reads the settings again.
///
/// # Errors
///
/// A listener, the internal network or the signal handlers can't be set up.
pub async fn run<E: Display>(
    settings: Settings,
    reload: impl Fn() -> Result<Settings, E>,
) -> Result<(), NodeError> {
    let frontend = listen(settings.listen.frontend, "frontend").await?;
    let readiness = listen(settings.listen.readiness, "readiness").await?;
    let network = NetworkSettings::new(settings.internal_address());
    let (network, inbox) = Network::bind(network).await.context(InternalSnafu)?;
    let signals = Signals::new().context(SignalsSnafu)?;
    let limits = front::front_limits(&settings.limits);
    let front = Front::new(limits);
    let draw = |purpose| identity::draw(&settings.node_name, settings.internal_address(), purpose);
    let incarnation = draw("incarnation");
    fastrand::seed(draw("choices"));
    let shared = Rc::new(Shared::new(settings, network, incarnation));
    shared.stores.set_total_limit(limits.store_connections);
    let ready = Rc::new(Readiness::default());
    shared.relay(RelayEvent::ControlNodesKnown(shared.settings().internal_seeds()));
    shared.relay(RelayEvent::Started);
    rollout::start(&shared);
    tokio::task::spawn_local(front::serve(Rc::clone(&shared), Rc::clone(&front), frontend));
    tokio::task::spawn_local(readiness::serve(Rc::clone(&shared), Rc::clone(&ready), readiness));
    let settings = shared.settings();
    log::info!(node = settings.node_name.as_str(); "edge serving at {:?}", settings.listen.frontend);
    drop(settings);
    let node = Node {
        shared,
        front,
        ready,
        heartbeats: Heartbeats::new(),
        cleaned_up_at: Duration::ZERO,
        reloaded_at: Duration::ZERO,
    };
    let shared = Rc::clone(&node.shared);
    node.run(inbox, signals, reload).await;
    shared.flush().await;
    Ok(())
}

async fn listen(address: Option<std::net::SocketAddr>, key: &'static str) -> Result<TcpListener, NodeError> {
    let address = address.context(MissingSnafu { key })?;
    TcpListener::bind(address).await.context(ListenSnafu { key })
}

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

struct Node {
    shared: Rc<Shared>,
    front: Rc<Front>,
    ready: Rc<Readiness>,
    heartbeats: Heartbeats,
    cleaned_up_at: Duration,
    reloaded_at: Duration,
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
            if self.is_reload_due() {
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
        for _ in 1..INBOX_BATCH {
            let Some(incoming) = inbox.try_next() else { return };
            self.on_incoming(incoming);
        }
    }

    fn on_incoming(&mut self, incoming: Incoming<Envelope>) {
        match incoming {
            Incoming::Message { from, message: Envelope::Relay(message) } => {
                self.shared.relay(RelayEvent::Message { from, message });
            }
            Incoming::Message { from, message: Envelope::Jobs(message) } => {
                rollout::on_message(&self.shared, from, message);
            }
            Incoming::Message { from, message: Envelope::Control(message) } => {
                self.on_control_message(from, message);
            }
            Incoming::Message { .. } => {}
            Incoming::Lost { peer, .. } => {
                self.shared.relay(RelayEvent::PeerDisconnected { peer });
                self.heartbeats.on_peer_lost(peer);
                rollout::on_messages_lost(&self.shared, peer);
            }
        }
    }

    fn on_control_message(&mut self, from: std::net::SocketAddr, message: ControlMessage) {
        if let ControlMessage::HeartbeatAck { sequence, control_nodes } = message {
            self.heartbeats.on_acknowledged(from, sequence, &control_nodes);
            self.shared
                .relay(RelayEvent::ControlNodesKnown(self.heartbeats.known_control_nodes(&self.shared)));
        }
    }

    /// Does the periodic work that is due; returns whether the process may exit now.
    fn on_timers(&mut self, shutdown: Option<&Shutdown>) -> bool {
        let now = self.shared.now();
        if self.shared.relay_timer().is_some_and(|due| due <= now) {
            self.shared.relay(RelayEvent::TimerExpired);
        }
        self.heartbeats.on_timer(&self.shared, now);
        if now.saturating_sub(self.cleaned_up_at) >= CLEANUP_INTERVAL {
            self.cleaned_up_at = now;
            self.clean_up();
        }
        shutdown.is_some_and(|shutdown| self.may_exit(shutdown, now))
    }

    fn clean_up(&self) {
        let shared = &self.shared;
        self.ready.observe(shared);
        self.front.close_expired(shared);
        shared.release_unused();
    }

    fn may_exit(&self, shutdown: &Shutdown, now: Duration) -> bool {
        match shutdown.step(now, self.front.budget.requests(), self.front.connections.len()) {
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

    fn next_timer(&self, is_shutting_down: bool) -> Instant {
        let now = self.shared.now();
        let interval = if is_shutting_down { SHUTDOWN_INTERVAL } else { CLEANUP_INTERVAL };
        let relay = self.shared.relay_timer().unwrap_or(Duration::MAX);
        let next = relay
            .min(self.heartbeats.next_timer())
            .min(self.cleaned_up_at + CLEANUP_INTERVAL)
            .min(now + interval);
        Instant::now() + next.saturating_sub(now).max(MIN_SLEEP)
    }

    /// Whether the registry has not been fresh for a while, so that the settings may name other control nodes by now. True once in an
    /// interval.
    fn is_reload_due(&mut self) -> bool {
        let now = self.shared.now();
        let last = self.ready.fresh_at().unwrap_or_default().max(self.reloaded_at);
        let is_due = now.saturating_sub(last) >= RELOAD_INTERVAL;
        if is_due {
            self.reloaded_at = now;
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

    fn reload_settings<E: Display>(&self, reload: &impl Fn() -> Result<Settings, E>) {
        match reload() {
            Ok(settings) => {
                self.shared.set_settings(settings);
                self.shared
                    .relay(RelayEvent::ControlNodesKnown(self.heartbeats.known_control_nodes(&self.shared)));
            }
            Err(error) => log::warn!("reloading the settings failed, the old ones stay in force: {error}"),
        }
    }
}
