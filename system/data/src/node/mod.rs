//! The edge as a process: brings everything up, passes internal messages on, keeps the clockwork going, and ends in good order.

mod heartbeat;
mod readiness;
mod stopping;

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
pub use readiness::{ready, Readiness};
pub use stopping::{Step, Stopping};

/// How often what rests too long is looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often the end of a stopping process is looked for.
const STOP_INTERVAL: Duration = Duration::from_millis(50);
/// A node that is cut off reads its settings again this often.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// The least pause between two looks at the clock.
const LEAST_PAUSE: Duration = Duration::from_millis(1);
/// The most events of the inbox that are taken at once.
const INBOX_BATCH: usize = 64;

/// Why the edge does not run.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A place to listen on is missing.
    #[snafu(display("settings: listen.{key}: an edge needs it"))]
    Missing {
        /// Which.
        key: &'static str,
    },
    /// A place to listen on can't be used.
    #[snafu(display("listen.{key}: {source}"))]
    Listen {
        /// Which.
        key: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// Internal messages can't be taken.
    #[snafu(display("internal messages: {source}"))]
    Internal {
        /// What is wrong.
        source: TransportError,
    },
    /// Signals can't be heard.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Runs an edge until it is told to stop, on a runtime whose tasks stay on its thread. `reread` reads the settings again.
pub async fn run<E: Display>(
    settings: Settings,
    reread: impl Fn() -> Result<Settings, E>,
) -> Result<(), NodeError> {
    let frontend = listen(settings.listen.frontend, "frontend").await?;
    let readiness = listen(settings.listen.readiness, "readiness").await?;
    let network = NetworkSettings::new(settings.internal_address());
    let (network, inbox) = Network::bind(network).await.context(InternalSnafu)?;
    let signals = Signals::new().context(SignalsSnafu)?;
    let bounds = front::bounds(&settings.limits);
    let front = Front::new(bounds);
    let draw = |purpose| identity::draw(&settings.node_name, settings.internal_address(), purpose);
    let incarnation = draw("incarnation");
    fastrand::seed(draw("choices"));
    let shared = Rc::new(Shared::new(settings, network, incarnation));
    shared.stores.set_most(bounds.store_connections);
    let ready = Rc::new(Readiness::default());
    shared.relay(RelayEvent::ControlNodesKnown(shared.settings().internal_seeds()));
    shared.relay(RelayEvent::Started);
    rollout::start(&shared);
    tokio::task::spawn_local(front::serve(Rc::clone(&shared), Rc::clone(&front), frontend));
    tokio::task::spawn_local(readiness::serve(Rc::clone(&shared), Rc::clone(&ready), readiness));
    log::info!("{} serves at {:?}", shared.settings().node_name, shared.settings().listen.frontend);
    let node = Node {
        shared,
        front,
        ready,
        heartbeats: Heartbeats::new(),
        swept: Duration::ZERO,
        read_at: Duration::ZERO,
    };
    let shared = Rc::clone(&node.shared);
    node.run(inbox, signals, reread).await;
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
    hang_up: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

struct Node {
    shared: Rc<Shared>,
    front: Rc<Front>,
    ready: Rc<Readiness>,
    heartbeats: Heartbeats,
    swept: Duration,
    read_at: Duration,
}

impl Node {
    /// Takes internal messages, signals and timers until the process may end.
    async fn run<E: Display>(
        mut self,
        mut inbox: Inbox<Envelope>,
        mut signals: Signals,
        reread: impl Fn() -> Result<Settings, E>,
    ) {
        let timer = sleep(Duration::ZERO);
        tokio::pin!(timer);
        let mut stopping: Option<Stopping> = None;
        loop {
            tokio::select! {
                biased;
                _ = signals.terminate.recv() => self.stop(&mut stopping),
                _ = signals.interrupt.recv() => self.stop(&mut stopping),
                _ = signals.hang_up.recv() => self.read_settings(&reread),
                incoming = inbox.next() => match incoming {
                    Some(incoming) => self.take_batch(incoming, &mut inbox),
                    None => return,
                },
                () = &mut timer => {}
            }
            if self.cut_off_for_long() {
                self.read_settings(&reread);
            }
            if self.clockwork(stopping.as_ref()) {
                return;
            }
            timer.as_mut().reset(self.next_timer(stopping.is_some()));
        }
    }

    fn take_batch(&mut self, first: Incoming<Envelope>, inbox: &mut Inbox<Envelope>) {
        self.take(first);
        for _ in 1..INBOX_BATCH {
            let Some(incoming) = inbox.try_next() else { return };
            self.take(incoming);
        }
    }

    fn take(&mut self, incoming: Incoming<Envelope>) {
        match incoming {
            Incoming::Message { from, message: Envelope::Relay(message) } => {
                self.shared.relay(RelayEvent::Message { from, message });
            }
            Incoming::Message { from, message: Envelope::Jobs(message) } => {
                rollout::on_message(&self.shared, from, message);
            }
            Incoming::Message { from, message: Envelope::Control(message) } => {
                self.take_control(from, message)
            }
            Incoming::Message { .. } => {}
            Incoming::Lost { peer, .. } => {
                self.shared.relay(RelayEvent::PeerDisconnected { peer });
                self.heartbeats.lost(peer);
                rollout::on_lost(&self.shared, peer);
            }
        }
    }

    fn take_control(&mut self, from: std::net::SocketAddr, message: ControlMessage) {
        if let ControlMessage::HeartbeatAck { sequence, control_nodes } = message {
            self.heartbeats.taken(from, sequence, &control_nodes);
            self.shared.relay(RelayEvent::ControlNodesKnown(self.heartbeats.known(&self.shared)));
        }
    }

    /// Does what is due; says whether the process may end now.
    fn clockwork(&mut self, stopping: Option<&Stopping>) -> bool {
        let now = self.shared.now();
        if self.shared.relay_timer().is_some_and(|due| due <= now) {
            self.shared.relay(RelayEvent::TimerExpired);
        }
        self.heartbeats.beat(&self.shared, now);
        if now.saturating_sub(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.sweep();
        }
        stopping.is_some_and(|stopping| self.may_end(stopping, now))
    }

    fn sweep(&self) {
        let shared = &self.shared;
        self.ready.look(shared);
        self.front.sweep(shared);
        shared.sweep();
    }

    fn may_end(&self, stopping: &Stopping, now: Duration) -> bool {
        match stopping.step(now, self.front.budget.requests(), self.front.connections.len()) {
            Step::Serve => false,
            Step::CloseResting => {
                self.front.connections.close_resting(now, Stopping::REST);
                false
            }
            Step::End => {
                self.heartbeats.farewell(&self.shared);
                true
            }
        }
    }

    fn next_timer(&self, stopping: bool) -> Instant {
        let now = self.shared.now();
        let pace = if stopping { STOP_INTERVAL } else { SWEEP_INTERVAL };
        let relay = self.shared.relay_timer().unwrap_or(Duration::MAX);
        let due = relay.min(self.heartbeats.due()).min(self.swept + SWEEP_INTERVAL).min(now + pace);
        Instant::now() + due.saturating_sub(now).max(LEAST_PAUSE)
    }

    /// Whether nothing new was heard for long, so that the settings may name other control nodes by now. True once in a while.
    fn cut_off_for_long(&mut self) -> bool {
        let now = self.shared.now();
        let heard = self.ready.fresh_at().unwrap_or_default().max(self.read_at);
        let due = now.saturating_sub(heard) >= READ_INTERVAL;
        if due {
            self.read_at = now;
        }
        due
    }

    fn stop(&self, stopping: &mut Option<Stopping>) {
        if stopping.is_none() {
            log::info!("told to stop");
            self.shared.stop();
            let grace =
                Duration::try_from_secs_f64(self.shared.settings().bounds.grace_s).unwrap_or_default();
            *stopping = Some(Stopping::new(self.shared.now(), grace));
        }
    }

    fn read_settings<E: Display>(&self, reread: &impl Fn() -> Result<Settings, E>) {
        match reread() {
            Ok(settings) => {
                self.shared.set_settings(settings);
                self.shared.relay(RelayEvent::ControlNodesKnown(self.heartbeats.known(&self.shared)));
            }
            Err(error) => log::warn!("settings stay as they were: {error}"),
        }
    }
}
