//! Puts the parts together and runs them on one thread: fronts, core, stores and discovery.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::clock::{millis, Clock};
use crate::config::{Config, Error};
use crate::core::{Command, Core};
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::front::platform::{Names, Platform};
use crate::front::{Gate, Server};
use crate::store::link::Limits;
use crate::store::Stores;

/// After SIGTERM new connections keep coming for up to 0.4 s, and are served.
const STILL_COMING: Duration = Duration::from_millis(500);
/// What was taken has ended after so long, whatever its time-out: no class waits longer.
const FINISH_WITHIN: Duration = Duration::from_secs(15);
const FINISH_CHECK: Duration = Duration::from_millis(10);
/// Descriptors kept for stores, discovery, signals and standard streams.
const SOCKETS_KEPT: usize = 256;
/// More client connections than this are of no use to a broker of one core.
const CLIENTS_MOST: usize = 512;
/// A connection is left to stand for this share of the time after which a store would close it.
const IDLE_SHARE: f64 = 0.8;

/// Runs the broker until it is told to stop.
pub fn run(config: Config, clock: Clock) -> Result<(), Error> {
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve(config, clock, executor.clone());
    async_io::block_on(executor.run(serving))
}

async fn serve(config: Config, clock: Clock, executor: Rc<LocalExecutor<'static>>) -> Result<(), Error> {
    let counters = Rc::new(Counters::default());
    let exchange = Exchange::new(clock, counters.clone(), config.max_open);
    let gate = Gate::new();
    let limits = Limits {
        streams: config.streams,
        dial: millis(config.dial_timeout_ms),
        idle: millis(config.idle_ms * IDLE_SHARE),
    };
    let setup = config.setup;
    let settings = setup.settings;
    let grace = millis(settings.drain_grace_ms);
    let stores = Stores::new(executor.clone(), exchange.clone(), counters.clone(), limits, grace);
    let discovery =
        Discovery::new(config.discovery, setup.zones, exchange.clone(), stores.clone(), counters.clone());

    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| Error::new("LB_LISTEN", format!("can't listen on {}: {e}", config.listen)))?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1])
        .map_err(|e| Error::new("signals", e.to_string()))?;

    let mut since = None;
    if let Some(known) = &config.known {
        let known = crate::discovery::parse(known.to_string().as_bytes());
        let known = known.map_err(|fault| Error::new("known", fault.to_string()))?;
        since = Some(known.generation);
        discovery.tell(&known, true);
    }
    let names = Names { classes: setup.classes, tenants: setup.tenants, shards: settings.shards };
    let platform = Platform {
        exchange: exchange.clone(),
        names,
        clock,
        gate: gate.clone(),
        full_retry_ms: settings.max_retry_after_ms,
    };
    let server = Rc::new(Server {
        service: Rc::new(platform),
        gate: gate.clone(),
        counters: counters.clone(),
        executor: executor.clone(),
        most: config.sockets.saturating_sub(SOCKETS_KEPT).clamp(16, CLIENTS_MOST),
    });
    let core = Core::new(config.seed, settings, clock.now());
    executor.spawn(discovery.clone().run(since)).detach();
    executor.spawn(drive(core, clock, exchange.clone(), stores, discovery)).detach();
    executor.spawn(server.run(listener)).detach();
    log::info!("serving on {}", config.listen);

    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => log::info!("counters: {counters}"),
            Ok(Signal::Term | Signal::Int) => break,
            Ok(_) => {}
            Err(e) => log::warn!("signals: {e}"),
        }
    }
    log::info!("stopping: {} queries open", exchange.open_queries());
    gate.drain();
    Timer::after(STILL_COMING).await;
    gate.close();
    let until = std::time::Instant::now() + FINISH_WITHIN;
    while gate.connections() > 0 && std::time::Instant::now() < until {
        Timer::after(FINISH_CHECK).await;
    }
    log::info!("counters: {counters}");
    Ok(())
}

/// Plays the core's turns: one whenever something has happened or is due.
async fn drive(
    mut core: Core,
    clock: Clock,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    discovery: Rc<Discovery>,
) {
    let mut happened = Default::default();
    loop {
        for command in core.turn(clock.now(), std::mem::take(&mut happened)) {
            match command {
                Command::Send(order) => stores.send(order),
                Command::GiveUp(attempt) => stores.give_up(attempt),
                Command::Release(server) => stores.release(server),
                Command::Subscribe => discovery.subscribe(),
                Command::Finish(query, answer) => drop(exchange.finish(query, answer)),
            }
        }
        happened = exchange.happened(core.due()).await;
    }
}
