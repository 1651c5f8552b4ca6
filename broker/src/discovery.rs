//! Discovery: a watch on the list of stores, begun when the core asks for one. Where a watch can't be
//! had, the whole list is fetched once instead; the core is told of the failure and asks again, after
//! a wait of its own.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use serde::Deserialize;
use stoatlane::{Entry, ListKind, Status};

use crate::clock::Millis;
use crate::counters::{count, Counters};
use crate::exchange::Exchange;
use crate::faults;
use crate::http::{self, Kind, Stream};
use crate::rotation::Rotation;
use crate::store::Stores;

const CONNECT_WITHIN: Duration = Duration::from_millis(1000);
/// A call waits in turn with those of other brokers.
const HEAD_WITHIN: Duration = Duration::from_millis(2500);
/// An empty line comes every 2 s: after so long without one the watch is dead, though its connection
/// may not show it. What it would have told counts as told 6 s later.
const SILENCE: Duration = Duration::from_millis(4500);
/// What a call ends with that had to wait too long.
const BUSY: &str = "status 503";
/// No list has more entries; no list, and no line of a watch, is longer.
const ENTRIES_MAX: usize = 4096;
const LIST_MAX: usize = ENTRIES_MAX * 256;

/// How often, and how long apart, a lock that another process holds is tried.
const LOCK_TRIES: u32 = 50;
const LOCK_AGAIN: Duration = Duration::from_millis(5);

/// Why a store could not be taken out or put back.
#[derive(Debug)]
pub enum Unrotated {
    /// No list has named it.
    Unknown,
    /// There is no list yet.
    NoList,
    /// The file could not be written.
    Unwritten(io::Error),
}

/// One line of a list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The store's name, the same at every broker.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: String,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// When it last started, in Unix time; 0 means long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

/// A store's state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// May be sent work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Removed,
}

/// A list, or the changes to one.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// Whether it is the whole list.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// A store as the list has it, less what was taken out by hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone, by index.
    pub zone: u32,
    /// Whether it may be given work.
    pub ready: bool,
}

/// Why a list could not be read.
#[derive(Debug)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads a list.
pub fn parse(text: &[u8]) -> Result<List, Fault> {
    let list: List = serde_json::from_slice(text).map_err(|e| Fault(format!("not a list: {e}")))?;
    if list.instances.len() > ENTRIES_MAX {
        return Err(Fault("a list of too many entries".to_owned()));
    }
    Ok(list)
}

/// Lines of a watch, put together from chunks that may cut them anywhere.
#[derive(Debug, Default)]
pub struct Lines(Vec<u8>);

impl Lines {
    /// Takes a chunk in; returns the lines that are whole now.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<Vec<u8>>, Fault> {
        self.0.extend_from_slice(chunk);
        let mut lines = Vec::new();
        while let Some(end) = self.0.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = self.0.drain(..=end).collect();
            lines.push(line.trim_ascii().to_vec());
        }
        if self.0.len() > LIST_MAX {
            return Err(Fault("a line of a watch is too long".to_owned()));
        }
        Ok(lines)
    }
}

/// Begins watches.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// The version known.
    since: Cell<Option<u64>>,
    zones: std::collections::HashMap<String, u32>,
    exchange: Rc<Exchange>,
    stores: Rc<Stores>,
    counters: Rc<Counters>,
    asks: (Sender<()>, Receiver<()>),
    moved: (Sender<()>, Receiver<()>),
    /// What it told last of each store, and those that were taken out by hand.
    listed: RefCell<BTreeMap<String, Instance>>,
    rotation: Rc<Rotation>,
    /// Whether the next call that is refused is to be followed by one for the list.
    list_next: Cell<bool>,
    /// Closed once discovery itself has told its list.
    told: (RefCell<Option<Sender<()>>>, Receiver<()>),
}

impl Discovery {
    /// Discovery at this address.
    pub fn new(
        address: SocketAddr,
        zones: std::collections::HashMap<String, u32>,
        exchange: Rc<Exchange>,
        stores: Rc<Stores>,
        rotation: Rc<Rotation>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        let (asks, moved) = (async_channel::bounded(1), async_channel::bounded(1));
        let (address, since) = (Cell::new(address), Cell::new(None));
        let (telling, told) = async_channel::bounded(1);
        let told = (RefCell::new(Some(telling)), told);
        Rc::new(Self {
            address,
            since,
            zones,
            exchange,
            stores,
            counters,
            asks,
            moved,
            listed: RefCell::default(),
            rotation,
            list_next: Cell::new(false),
            told,
        })
    }

    /// Follows discovery to another address. What stands with the old one is left at once: it closes its
    /// watches soon, and what the new one has to tell counts as told 4 s from now.
    pub fn follow(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            log::info!("discovery: now at {address}");
            // Its versions may be others there, so the whole list is asked for.
            self.since.set(None);
            let _ = self.moved.0.try_send(());
        }
    }

    /// Asks for a watch; one that stands is kept.
    pub fn subscribe(&self) {
        let _ = self.asks.0.try_send(());
    }

    /// Resolves once discovery has told its list.
    pub async fn told(&self) {
        let _ = self.told.1.recv().await;
    }

    fn has_told(&self) -> bool {
        self.told.0.borrow().is_none()
    }

    /// Whether any list names a store.
    pub fn known(&self) -> bool {
        self.stores.known() > 0
    }

    /// The stores on the list.
    pub fn fleet(&self) -> Vec<Member> {
        let member = |instance: &Instance| Member {
            name: instance.instance_id.clone(),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            ready: instance.lifecycle == Lifecycle::Up && !self.rotation.is_out(&instance.instance_id),
        };
        self.listed.borrow().values().map(member).collect()
    }

    /// Tells the core of a list, less what was taken out by hand.
    pub fn tell(&self, list: &List, remembered: bool) {
        self.since.set(Some(list.generation));
        let mut listed = self.listed.borrow_mut();
        if remembered || list.reset {
            listed.clear();
        }
        let mut entries = Vec::with_capacity(list.instances.len());
        for instance in &list.instances {
            // Of one that was never known there is nothing to tell.
            let entry = self.entry(instance);
            match instance.lifecycle {
                Lifecycle::Removed => drop(listed.remove(&instance.instance_id)),
                _ if entry.is_some() => drop(listed.insert(instance.instance_id.clone(), instance.clone())),
                _ => {}
            }
            entries.extend(entry);
        }
        let kind = match (remembered, list.reset) {
            (true, _) => ListKind::Remembered,
            (false, true) => ListKind::Complete,
            (false, false) => ListKind::Changes,
        };
        if kind != ListKind::Changes {
            let listed: Vec<_> = entries.iter().map(|entry| entry.server).collect();
            self.stores.keep(&listed);
        }
        count(&self.counters.lists);
        self.exchange.listed(kind, entries);
        self.exchange.holders(self.stores.holders());
        if !remembered {
            self.told.0.borrow_mut().take();
        }
    }

    /// An entry as the core is told of it.
    fn entry(&self, instance: &Instance) -> Option<Entry> {
        let id = &instance.instance_id;
        let status = match instance.lifecycle {
            Lifecycle::Up if self.rotation.is_out(id) => Status::Draining,
            Lifecycle::Up => Status::Ready,
            Lifecycle::Draining => Status::Draining,
            Lifecycle::Removed => Status::Gone,
        };
        Some(Entry {
            server: match status {
                Status::Gone => self.stores.remove(id)?,
                _ => match instance.host_port.parse() {
                    Ok(address) => self.stores.note(id, address, status == Status::Ready),
                    Err(_) => {
                        log::warn!("discovery: `{}` is no address", instance.host_port);
                        return None;
                    }
                },
            },
            since: self.rotation.started(id, instance.started_at_ms),
            zone: self.zones.get(&instance.zone).copied().unwrap_or(u32::MAX),
            cell: instance.cell,
            status,
        })
    }

    /// Takes a store out by hand, or puts it back; done once this resolves.
    pub async fn rotate(&self, id: &str, out: bool, now: Millis) -> Result<(), Unrotated> {
        if !self.listed.borrow().contains_key(id) && !self.rotation.is_out(id) {
            // Another process may have been told so a moment ago.
            self.follow_rotation();
            if !self.rotation.is_out(id) {
                return Err(if self.has_told() { Unrotated::Unknown } else { Unrotated::NoList });
            }
        }
        let mut tries = 0..LOCK_TRIES;
        let changed = loop {
            let changed = if out { self.rotation.take_out(id, now) } else { self.rotation.put_back(id, now) };
            match changed {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && tries.next().is_some() => {
                    Timer::after(LOCK_AGAIN).await;
                }
                changed => break changed.map_err(Unrotated::Unwritten)?,
            }
        };
        self.retell(&changed);
        self.exchange.settled().await;
        let started = self.listed.borrow().get(id).map_or(0.0, |instance| instance.started_at_ms);
        let age =
            if started > 0.0 { format!("{:.1} s ago", (now - started) / 1000.0) } else { "long ago".into() };
        log::info!("store {id} {} by hand; listed as started {age}", if out { "out" } else { "back" });
        Ok(())
    }

    /// Follows what another process of this broker was told of stores out.
    pub fn follow_rotation(&self) {
        self.retell(&self.rotation.follow());
    }

    /// Tells the core once more of some stores on the list.
    fn retell(&self, ids: &[String]) {
        let listed = self.listed.borrow();
        let entries: Vec<_> = ids.iter().filter_map(|id| self.entry(listed.get(id)?)).collect();
        if !entries.is_empty() {
            self.exchange.listed(ListKind::Changes, entries);
        }
    }

    /// Waits until a watch is to be begun.
    async fn wanted(&self) -> bool {
        or(async { self.asks.1.recv().await.is_ok() }, self.moved()).await
    }

    async fn moved(&self) -> bool {
        self.moved.1.recv().await.is_ok()
    }

    /// Serves requests for a watch, one at a time, and begins one of its own accord where discovery has
    /// moved.
    pub async fn run(self: Rc<Self>) {
        while self.wanted().await {
            let call = async {
                self.call().await;
                false
            };
            if or(call, self.moved()).await {
                let _ = self.moved.0.try_send(());
                continue;
            }
            // What was asked for meanwhile is answered by this failure.
            let _ = self.asks.1.try_recv();
            self.exchange.listed(ListKind::Failed, Vec::new());
        }
    }

    /// Watches until the watch ends; if it told nothing, perhaps the whole list can be had.
    async fn call(&self) {
        count(&self.counters.watches);
        let before = self.since.get();
        let Err(fault) = self.watch().await;
        log::info!("discovery: watch ended: {fault}");
        count(&self.counters.list_failures);
        // A 503 says that too many call: one more call at once would only add to them. The next time it is the
        // list that is asked for, in case that watches are what it refuses.
        if fault == BUSY && !self.list_next.replace(!self.list_next.get()) {
            return;
        }
        if self.since.get() == before {
            match self.fetch().await {
                Ok(list) => self.tell(&list, false),
                Err(fault) => log::info!("discovery: list not fetched: {fault}"),
            }
        }
    }

    async fn get(&self, target: &str) -> Result<(Stream, http::Head), String> {
        let address = self.address.get();
        if faults::point("discovery.call") {
            return Err("no call: a fault on demand".to_owned());
        }
        let socket = http::connect(address, CONNECT_WITHIN).await.map_err(|e| e.to_string())?;
        // Guards a large fleet: the list of a thousand stores, in one chunk, is longer than any other body.
        let mut stream = Stream::new(socket).up_to(LIST_MAX);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        stream.write(request.as_bytes(), CONNECT_WITHIN).await.map_err(|e| e.to_string())?;
        let head = stream.head(Kind::Answer, HEAD_WITHIN).await.map_err(|e| format!("{e:?}"))?;
        match head.status {
            200 => Ok((stream, head)),
            503 => Err(BUSY.to_owned()),
            status => Err(format!("status {status}")),
        }
    }

    async fn fetch(&self) -> Result<List, String> {
        let (mut stream, head) = self.get("/v1/endpoints").await?;
        let body = stream.body(head.framing, HEAD_WITHIN).await.map_err(|e| format!("{e:?}"))?;
        parse(&body).map_err(|fault| fault.to_string())
    }

    /// Watches until the watch ends, which it always does with a fault.
    async fn watch(&self) -> Result<std::convert::Infallible, String> {
        let target = match self.since.get() {
            Some(version) => format!("/v1/endpoints?follow=1&since={version}"),
            None => "/v1/endpoints?follow=1".to_owned(),
        };
        let (mut stream, head) = self.get(&target).await?;
        if head.framing != http::Framing::Chunked {
            return Err("a watch that is not chunked".to_owned());
        }
        let mut lines = Lines::default();
        loop {
            let chunk = stream.chunk(SILENCE).await.map_err(|e| format!("{e:?}"))?;
            let chunk = chunk.ok_or("ended")?;
            for line in lines.push(&chunk).map_err(|fault| fault.to_string())? {
                if line.is_empty() {
                    continue;
                }
                let list = parse(&line).map_err(|fault| fault.to_string())?;
                if let Some(held) = self.since.get().filter(|held| !list.reset && list.generation < *held) {
                    // Guards against changes to a list that is no longer held: they would bring back what is gone, or take
                    // out what came since. Only a whole list may be older, of a service that began anew; it is asked for next.
                    self.since.set(None);
                    return Err(format!("changes of generation {} to a list of {held}", list.generation));
                }
                self.tell(&list, false);
            }
        }
    }
}
