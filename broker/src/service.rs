//! Assembles the broker and runs it on one thread: fronts, core, stores and discovery.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use gingerledge_dispatch::Repeat;

use crate::admin::AdminServer;
use crate::blocks::Blocks;
use crate::clock::{millis, Clock, Millis};
use crate::config::{ClientTimeouts, Config, Error};
use crate::core::{Command, Core};
use crate::counters::Counters;
use crate::discovery::{self, Discovery};
use crate::exchange::Exchange;
use crate::faults;
use crate::fleet::Fleet;
use crate::front::features::FeatureFront;
use crate::front::platform::{Platform, RequestNames, TIMEOUT_MAX_MS};
use crate::front::{Server, Service};
use crate::handover::{self, OtherProcess, Presence};
use crate::lifecycle::Lifecycle;
use crate::limits::{self, Budget, BudgetRequest, ClientBudget};
use crate::readiness::become_ready;
use crate::rotation::Rotation;
use crate::routes::Routes;
use crate::store::link::Limits;
use crate::store::{StopReason, Stores};
use crate::subsystem::{Host, Subsystem};

/// Maximum duration of a shutdown: the longest time-out of a request, and time to write its answer. It is only a guard, since
/// each connection ends within time limits of its own. A shorter time would lose accepted requests with long deadlines; if
/// SIGKILL comes first, no request that was answered in time is lost.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(TIMEOUT_MAX_MS + 60_000);
/// Interval at which a shutdown checks for open connections.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Divisor of the memory limit: each front may use this fraction of it for long request bodies.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Fraction of a store's idle time-out after which the broker closes an idle connection itself.
const IDLE_TIMEOUT_FACTOR: f64 = 0.8;

/// Interval at which changes of disabled stores by another process of this broker are read. Operators may call either
/// process, and both have to apply the change within 1 s.
const ROTATION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the broker until SIGTERM or SIGINT. `reload` reads the configuration again on SIGHUP.
///
/// # Errors
///
/// If the configuration can't be applied, such as for an address that is in use.
pub fn run(
    config: Config,
    clock: Clock,
    reload: impl Fn() -> Result<SocketAddr, Error>,
) -> Result<(), Error> {
    let executor = Rc::new(LocalExecutor::new());
    let serving = async {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
            .map_err(|e| Error::new("signals", e.to_string()))?;
        let broker = Broker::start(config, clock, executor.clone())?;
        broker.handle_signals(signals, reload).await;
        broker.stop().await;
        Ok(())
    };
    async_io::block_on(executor.run(serving))
}

/// Sizes of the tables that grow and shrink with the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Stores known by name.
    pub stores: usize,
    /// Connections to stores.
    pub links: usize,
    /// Attempts in flight.
    pub attempts: usize,
    /// Queries that await their final answer.
    pub queries: usize,
}

/// A running broker.
pub struct Broker {
    /// Address for the platform's clients.
    pub platform: SocketAddr,
    /// Address for clients of the feature front, if it is configured.
    pub features: Option<SocketAddr>,
    /// Address of the admin endpoint, if there is one.
    pub admin: Option<SocketAddr>,
    /// Counters since the start.
    pub counters: Rc<Counters>,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    discovery: Rc<Discovery>,
    lifecycle: Rc<Lifecycle>,
    presence: Rc<Presence>,
    subsystems: Rc<[Rc<dyn Subsystem>]>,
}

fn listen(
    key: &str,
    at: SocketAddr,
    bind: fn(SocketAddr) -> io::Result<TcpListener>,
) -> Result<(Async<TcpListener>, SocketAddr), Error> {
    let bound = bind(at).and_then(Async::new);
    let bound = bound.and_then(|listener| listener.get_ref().local_addr().map(|at| (listener, at)));
    bound.map_err(|e| Error::new(key, format!("can't listen on {at}: {e}")))
}

/// The listener for the platform's clients: the inherited one, or one of this process's own.
fn platform_listener(
    inherited: Option<i32>,
    at: SocketAddr,
) -> Result<(Async<TcpListener>, SocketAddr), Error> {
    let Some(descriptor) = inherited else { return listen("LB_LISTEN", at, handover::listen_exclusive) };
    let listener = handover::inherited_listener(descriptor, at).map_err(|e| Error::new("LB_FD", e))?;
    let listener = Async::new(listener).map_err(|e| Error::new("LB_FD", e.to_string()))?;
    Ok((listener, at))
}

fn descriptor_budget(config: &Config) -> Budget {
    Budget::new(BudgetRequest {
        sockets: config.sockets,
        process_limit: limits::process_limit(),
        is_shared: config.listener.is_some(),
        feature_clients: config.features.as_ref().map(|set| set.connections),
        has_admin: config.admin.is_some(),
        has_blocks: config.blocks.is_some(),
    })
}

fn link_limits(config: &Config, budget: &Budget) -> Limits {
    Limits {
        streams: config.streams,
        batch: config.setup.settings.max_parts_per_call.max(1) as usize,
        links: budget.stores,
        dial_timeout: millis(config.dial_timeout_ms),
        idle_timeout: millis(config.idle_ms * IDLE_TIMEOUT_FACTOR),
    }
}

/// Parameters shared by the servers of all fronts.
struct FrontContext<'a> {
    lifecycle: &'a Rc<Lifecycle>,
    presence: &'a Rc<Presence>,
    counters: &'a Rc<Counters>,
    executor: &'a Rc<LocalExecutor<'static>>,
    client_timeouts: ClientTimeouts,
    /// Limit on memory for long request bodies at each front, in bytes.
    body_bytes: usize,
}

impl FrontContext<'_> {
    /// Spawns the server of a front, which runs until the broker shuts down.
    fn spawn<S: Service + 'static>(
        &self,
        front: S,
        clients: ClientBudget,
        listener: Async<TcpListener>,
        own_listener: bool,
    ) {
        let server = Server::new(
            front,
            (self.lifecycle, self.presence),
            self.counters,
            self.executor,
            self.client_timeouts,
            clients,
            self.body_bytes,
        );
        self.executor.spawn(server.run(listener, own_listener)).detach();
    }
}

impl Broker {
    /// Starts a broker on this executor.
    ///
    /// # Errors
    ///
    /// If a listener can't be opened or the stored list is invalid.
    pub fn start(config: Config, clock: Clock, executor: Rc<LocalExecutor<'static>>) -> Result<Self, Error> {
        let counters = Rc::new(Counters::default());
        let presence = Presence::register(config.state_dir.as_deref(), config.listen);
        let lifecycle = Lifecycle::new();
        let budget = descriptor_budget(&config);
        log::debug!("descriptors: {budget:?}");
        let limits = link_limits(&config, &budget);
        let setup = config.setup;
        let settings = setup.settings;
        let routes =
            config.blocks.as_ref().map(|set| Rc::new(Routes::new(set.bounds.blocks, set.bounds.retired)));
        let at_most_once = settings.classes.iter().map(|class| class.repeat == Repeat::Unsafe).collect();
        let routing = routes.clone().map(|routes| (routes, at_most_once));
        let exchange = Exchange::new(clock, counters.clone(), config.max_open, presence.clone(), routing);
        let overload_retry_ms = settings.max_retry_after_ms;
        let grace = millis(settings.drain_grace_ms);
        let set = config.features.map(Rc::new);
        let feature_addresses = set.as_ref().map(|set| set.stores.clone()).unwrap_or_default();
        let stores = Stores::new(
            executor.clone(),
            exchange.clone(),
            counters.clone(),
            limits,
            presence.clone(),
            grace,
            feature_addresses,
        );
        let rotation = Rotation::open(config.state_dir.as_deref(), config.listen, settings.warm_up_ms);
        let calls = config.calls;
        let discovery = Discovery::new(
            config.discovery,
            setup.zones,
            exchange.clone(),
            stores.clone(),
            Rc::new(rotation),
            counters.clone(),
            calls,
        );
        let remembered_list =
            config.remembered_list.map(|list| discovery::parse(list.to_string().as_bytes()));
        let mut remembered_list =
            remembered_list.transpose().map_err(|fault| Error::new("known", fault.to_string()))?;
        if !calls.is_pushed {
            remembered_list.take().iter().for_each(|list| discovery.apply(list, true));
        }

        let fronts = FrontContext {
            lifecycle: &lifecycle,
            presence: &presence,
            counters: &counters,
            executor: &executor,
            client_timeouts: config.client_timeouts,
            body_bytes: (config.memory_mb << 20) / BODY_MEMORY_DIVISOR,
        };
        let (listener, platform) = platform_listener(config.listener, config.listen)?;
        let inherited = config.listener.is_some();
        let names = RequestNames {
            keyed: settings.classes.iter().map(|class| class.repeat == Repeat::Keyed).collect(),
            classes: setup.classes,
            tenants: setup.tenants,
            shards: settings.shards,
            has_movable_blocks: routes.is_some(),
        };
        let front = Platform {
            exchange: exchange.clone(),
            names,
            clock,
            lifecycle: lifecycle.clone(),
            overload_retry_ms,
        };
        fronts.spawn(front, budget.platform, listener, !inherited);
        log::info!("serving on {platform}");
        let mut features = None;
        if let Some(set) = set {
            let (listener, at) = listen("listen", set.listen, handover::listen_shared)?;
            let front = FeatureFront {
                base_url: set.base_url.clone().unwrap_or_else(|| format!("http://{at}")).into(),
                last_query_number: Cell::new(first_query_number(config.seed, clock.now())),
                config: set,
                exchange: exchange.clone(),
                clock,
                routes: routes.clone(),
                overload_retry_ms,
            };
            fronts.spawn(front, budget.features, listener, true);
            log::info!("serving features on {at}");
            features = Some(at);
        }
        let host = Host {
            name: config.name,
            clock,
            executor: executor.clone(),
            counters: counters.clone(),
            exchange: exchange.clone(),
            stores: stores.clone(),
            discovery: discovery.clone(),
        };
        let mut subsystems: Vec<Rc<dyn Subsystem>> = Vec::new();
        if let (Some(set), Some(routes)) = (config.blocks, routes.clone()) {
            subsystems.push(Blocks::start(set, &host, routes));
        }
        if let Some(set) = config.fleet {
            subsystems.push(Fleet::start(set, &host, config.seed)?);
        }
        let subsystems: Rc<[_]> = subsystems.into();
        let mut admin = None;
        if let Some(at) = config.admin {
            let (listener, at) = listen("LB_ADMIN_ADDR", at, TcpListener::bind)?;
            executor
                .spawn(
                    AdminServer::new(&lifecycle, &discovery, subsystems.clone(), clock, &counters, &executor)
                        .run(listener, budget.admin),
                )
                .detach();
            log::info!("admin endpoint: operators' door at {at}");
            admin = Some(at);
        }
        let core = Core::with_routes(config.seed, settings, clock.now(), routes);
        executor.spawn(discovery.clone().run()).detach();
        let has_other_process = presence.other() != OtherProcess::None;
        executor
            .spawn(become_ready(
                lifecycle.clone(),
                discovery.clone(),
                (has_other_process, calls),
                remembered_list,
            ))
            .detach();
        executor.spawn(poll_rotation(discovery.clone())).detach();
        let shared_exchange = exchange.clone();
        let on_process_change = move |other| {
            shared_exchange.process_count_changed(if other == OtherProcess::Serves { 2 } else { 1 })
        };
        on_process_change(presence.other());
        executor.spawn(presence.clone().watch(on_process_change)).detach();
        executor
            .spawn(run_core(
                core,
                clock,
                exchange.clone(),
                stores.clone(),
                discovery.clone(),
                subsystems.clone(),
            ))
            .detach();
        Ok(Self {
            platform,
            features,
            admin,
            counters,
            exchange,
            stores,
            discovery,
            lifecycle,
            presence,
            subsystems,
        })
    }

    /// Returns the current sizes of the broker's tables.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            stores: self.stores.endpoint_count(),
            links: self.stores.link_count(),
            attempts: self.stores.attempt_count(),
            queries: self.exchange.open_queries(),
        }
    }

    /// Prints the counters on SIGUSR1 and reads the configuration again on SIGHUP; returns on SIGTERM or
    /// SIGINT.
    async fn handle_signals(&self, mut signals: Signals, reload: impl Fn() -> Result<SocketAddr, Error>) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => log::info!("counters: {}", self.counters),
                Ok(Signal::Hup) => self.reload(reload()),
                Ok(Signal::Term | Signal::Int) => return,
                Ok(_) => {}
                Err(e) => log::warn!(error:% = e; "reading a signal failed"),
            }
        }
    }

    /// Applies the address of discovery from a configuration that was read again; all other settings stay as they were at the
    /// start. An invalid configuration changes nothing.
    pub fn reload(&self, discovery: Result<SocketAddr, Error>) {
        match discovery {
            Ok(discovery) => self.discovery.set_address(discovery),
            Err(error) => log::error!("configuration reload failed, the old one stays: {error}"),
        }
    }

    /// Shuts down gracefully: accepts no more requests and finishes those in progress.
    pub async fn stop(&self) {
        log::info!("stopping: {} queries open", self.exchange.open_queries());
        // From here on a successor may serve. Two processes of one broker must not both send to cold stores.
        self.exchange.shutdown_started();
        let has_successor = self.presence.refresh() == OtherProcess::Serves;
        self.presence.announce_shutdown();
        // Before the subsystems stop, since the time limits for accepting connections and reading requests count from the
        // signal.
        self.lifecycle.shut_down(has_successor);
        let subsystems = async {
            for subsystem in self.subsystems.iter() {
                subsystem.stop().await;
            }
        };
        let clients = async {
            self.lifecycle.accept_deadline().await;
            let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
            while self.lifecycle.connection_count() > 0 && Instant::now() < deadline {
                Timer::after(SHUTDOWN_POLL_INTERVAL).await;
            }
        };
        futures_lite::future::zip(subsystems, clients).await;
        log::info!("counters: {}", self.counters);
    }
}

/// Applies changes to disabled stores by another process of this broker.
async fn poll_rotation(discovery: Rc<Discovery>) {
    loop {
        Timer::after(ROTATION_POLL_INTERVAL).await;
        discovery.reload_rotation();
    }
}

/// Returns the number from which the queries of the feature front are named. It differs between brokers, between starts, and
/// between two processes of one broker.
fn first_query_number(seed: u64, now: Millis) -> u64 {
    seed.rotate_left(17) ^ now.to_bits() ^ u64::from(std::process::id()).rotate_left(40)
}

/// Drives the core: runs a turn whenever events have arrived or one is due.
async fn run_core(
    mut core: Core,
    clock: Clock,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    discovery: Rc<Discovery>,
    subsystems: Rc<[Rc<dyn Subsystem>]>,
) {
    let mut pending_events = Default::default();
    loop {
        // Fault injection: the whole process may be paused here.
        let _ = faults::point("core.turn");
        for command in core.turn(clock.now(), std::mem::take(&mut pending_events)) {
            match command {
                Command::Send(order) => stores.send(order),
                Command::Withdraw(attempt) => stores.stop(attempt, StopReason::NoAnswer),
                Command::Cancel(attempt) => stores.stop(attempt, StopReason::NotNeeded),
                Command::CloseIdleConnections(server) => stores.close_idle_links(server),
                Command::RefreshBlockMap => {
                    subsystems.iter().for_each(|subsystem| subsystem.on_newer_epoch())
                }
                Command::Subscribe => discovery.subscribe(),
                Command::CountRejection(query, reason) => exchange.count_rejection(query, reason),
                Command::Finish(query, answer) => drop(exchange.complete(query, answer)),
            }
        }
        stores.turn_over();
        pending_events = exchange.next_events(core.due()).await;
    }
}
