//! The driver of the coordinator: acquires the lease, reads and writes the log, sends orders to stores, has copies made
//! within their budget, and makes plans. All decisions are made by the state machine [`Coordinator`] of
//! `gingerledge-blocks`.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use gingerledge_background::{Cost, Job, Priority, Scheduler};
use gingerledge_blocks::wire::{self, CopyReply, CopyRequest, MapPage, OrderReply};
use gingerledge_blocks::{
    plan, BlockId, BlockLoad, ChangeId, ChangeRequest, Coordinator, CopyJob, Cursor, Event, Extent, Log,
    OrderPurpose, Plan, RequestError, StampedOrder, StoreId, StoreState, Term, Work,
};

use super::lease::{self, FileDisk};
use super::requests::{NamedChange, Reply, Request};
use super::store_client::{CallKind, StoreClient};
use super::Blocks;
use crate::config::blocks::Planning;
use crate::discovery::Member;

/// Maximum number of records in a page of updates of the map.
const PAGE_RECORDS_MAX: usize = 300;
/// The lease is renewed once one in this many parts of its duration remains.
const RENEW_DIVISOR: u64 = 2;
/// The lease counts as lost once less than one in this many parts of its duration remains.
const LOST_DIVISOR: u64 = 8;
/// Load that every block counts in addition to its measured load, in parts a second, so that stores that are added in a
/// period without load are given blocks as well.
const IDLE_LOAD: f64 = 0.5;
/// Weight of a new measurement in the moving average of a block's load, which is updated once for each plan.
const LOAD_GAIN: f64 = 0.5;

/// An input of the coordinator's driver.
pub enum Input {
    /// A request, and the channel for its reply.
    Request(Request, Sender<Reply>),
    /// An answer of a store to an order, or its absence.
    OrderEnded(Event),
    /// A copy has ended; with its result, if the stores answered.
    Copied(CopyJob, Option<CopyReply>),
    /// The blocks that a store holds, with their sizes and use.
    Usage(StoreId, Vec<wire::HeldBlock>),
    /// The driver must check whether it has to stop.
    Wake,
}

/// Acquires the lease whenever it is free, and coordinates for as long as the lease is held.
pub async fn run(blocks: Rc<Blocks>) {
    let lease_ms = blocks.settings.lease_ms;
    while !blocks.is_stopping.get() {
        // The two processes of a broker are two different holders: in an upgrade the old one must release the lease first.
        let name = format!("{}/{}", blocks.name, std::process::id());
        let (dir, now) = (blocks.settings.dir.clone(), blocks.clock.now() as u64);
        let acquired = blocking::unblock(move || lease::acquire(&dir, &name, now, lease_ms)).await;
        let wait_ms = match acquired {
            Ok(Ok(term)) => {
                coordinate(&blocks, term, now + lease_ms).await;
                blocks.coordinator.borrow_mut().take();
                let dir = blocks.settings.dir.clone();
                if let Err(fault) = blocking::unblock(move || lease::release(&dir, term)).await {
                    log::warn!("blocks: releasing the lease failed: {fault}");
                }
                lease_ms / 4
            }
            Ok(Err(other)) => other.until_ms.saturating_sub(now).min(lease_ms / 4),
            Err(fault) => {
                log::warn!("blocks: acquiring the lease failed: {fault}");
                lease_ms / 4
            }
        };
        if !blocks.is_stopping.get() {
            Timer::after(Duration::from_millis(wait_ms.max(20))).await;
        }
    }
    blocks.released.0.borrow_mut().take();
}

/// The driver of the coordinator during one term.
struct CoordinatorDriver<'a> {
    blocks: &'a Rc<Blocks>,
    coordinator: Coordinator,
    /// The log; `None` only while a task writes it.
    log: Option<Log<FileDisk>>,
    client: Rc<StoreClient>,
    /// Schedules copies within their budget.
    copies: Scheduler<(ChangeId, u32), StoreId>,
    /// Copies that wait or are in progress, by change and round.
    jobs: HashMap<(ChangeId, u32), CopyJob>,
    inputs: Sender<Input>,
    /// Number of parts that each store has executed for each block, as last reported.
    part_counts: HashMap<(BlockId, StoreId), u64>,
    /// Moving averages of the blocks' loads.
    loads: HashMap<BlockId, BlockLoad>,
    /// Time at which the last change of each block ended, in Unix milliseconds.
    last_changed: HashMap<BlockId, u64>,
    /// Whether the driver must stop, since the log can't be written or another broker coordinates.
    must_stop: bool,
}

/// Coordinates in a term until the lease is lost or the broker shuts down. `until` is the end of the lease, in Unix
/// milliseconds.
async fn coordinate(blocks: &Rc<Blocks>, term: Term, until: u64) {
    let dir = blocks.settings.dir.clone();
    let opened = blocking::unblock(move || lease::open_log(&dir, term)).await;
    let (log, records) = match opened {
        Ok(opened) => opened,
        Err(fault) => {
            log::error!("blocks: opening the coordinator's log failed: {fault}");
            return;
        }
    };
    let started = Coordinator::begin(blocks.clock.now() as u64, term, records, blocks.settings.bounds);
    let (coordinator, start) = match started {
        Ok(started) => started,
        Err(fault) => {
            log::error!("blocks: the records of the coordinator's log are invalid: {fault}");
            return;
        }
    };
    log::info!(term = term.0, blocks = coordinator.map().len(); "blocks: started coordinating");
    let (input_sender, inputs) = async_channel::bounded(4096);
    let now = blocks.clock.now() as u64;
    let mut driver = CoordinatorDriver {
        blocks,
        coordinator,
        log: Some(log),
        client: StoreClient::new(),
        copies: Scheduler::new(blocks.settings.budget, now),
        jobs: HashMap::new(),
        inputs: input_sender.clone(),
        part_counts: HashMap::new(),
        loads: HashMap::new(),
        last_changed: HashMap::new(),
        must_stop: false,
    };
    driver.execute(vec![Work::Append(start)]).await;
    driver.register_stores().await;
    let dir = blocks.settings.dir.clone();
    if let Err(fault) = blocking::unblock(move || lease::remove_old_logs(&dir, term)).await {
        log::warn!("blocks: removing old logs failed: {fault}");
    }
    *blocks.coordinator.borrow_mut() = Some(input_sender);
    driver.publish();
    driver.run(inputs, until).await;
    log::info!(term = term.0; "blocks: no longer coordinating");
}

impl CoordinatorDriver<'_> {
    /// The current time, in Unix milliseconds.
    fn now(&self) -> u64 {
        self.blocks.clock.now() as u64
    }

    /// Handles inputs, renews the lease and plans, until the lease is lost or the driver must stop.
    async fn run(&mut self, inputs: Receiver<Input>, mut until: u64) {
        let settings = &self.blocks.settings;
        let (lease_ms, plan_ms) = (settings.lease_ms, settings.plan_every_ms);
        let mut plan_at = self.now() + plan_ms;
        while !self.must_stop && !self.blocks.is_stopping.get() {
            let now = self.now();
            let renew_at = until - lease_ms / RENEW_DIVISOR;
            let due = [Some(plan_at), Some(renew_at), self.coordinator.due(), self.copies.due(now)];
            let wait_ms = due.into_iter().flatten().min().unwrap_or(now).saturating_sub(now).min(100);
            let received = async { inputs.recv().await.ok() };
            let timeout = async {
                Timer::after(Duration::from_millis(wait_ms)).await;
                None
            };
            let mut next = or(received, timeout).await;
            while let Some(input) = next {
                self.on_input(input).await;
                next = inputs.try_recv().ok();
            }
            let now = self.now();
            if now >= renew_at {
                let (dir, term) = (settings.dir.clone(), self.coordinator.term());
                match blocking::unblock(move || lease::renew(&dir, term, now, lease_ms)).await {
                    Ok(true) => until = now + lease_ms,
                    Ok(false) => break,
                    Err(fault) => log::warn!("blocks: renewing the lease failed: {fault}"),
                }
            }
            // After a long pause of the process, another broker may hold the lease: no further order may be sent.
            if self.now() + lease_ms / LOST_DIVISOR > until {
                break;
            }
            self.register_stores().await;
            let work = self.coordinator.handle(self.now(), Event::Tick);
            self.execute(work).await;
            self.start_copies();
            if now >= plan_at {
                plan_at = now + plan_ms;
                self.request_usage();
                if settings.planning == Planning::Auto && !self.coordinator.is_paused() {
                    let changes = self.plan().changes;
                    self.start_changes(changes.into_iter().map(|planned| planned.change).collect()).await;
                }
            }
        }
    }

    /// Registers listed stores with the coordinator, and creates the first map once all of its stores are known.
    async fn register_stores(&mut self) {
        let mut work = Vec::new();
        for name in self.blocks.stores.names() {
            if self.coordinator.store(&name).is_none()
                && self.coordinator.register_store(&name, &mut work).is_none()
            {
                log::warn!(store = name.as_str(); "blocks: store ignored, since there are more than stores_max");
            }
        }
        let initial_blocks = &self.blocks.settings.initial_blocks;
        if self.coordinator.map().version() == 0 && !initial_blocks.is_empty() {
            let ids = |names: &[String]| {
                names.iter().map(|name| self.coordinator.store(name)).collect::<Option<Vec<_>>>()
            };
            let blocks: Option<Vec<_>> = initial_blocks
                .iter()
                .map(|block| {
                    Some((BlockId(block.block), block.span, ids(&block.stores)?, block.extent.map(Extent)))
                })
                .collect();
            if let Some(blocks) = blocks {
                match self.coordinator.create_map(blocks) {
                    Ok(more) => work.extend(more),
                    Err(fault) => log::error!("blocks: creating the first map failed: {fault}"),
                }
            }
        }
        self.execute(work).await;
    }

    async fn on_input(&mut self, input: Input) {
        match input {
            Input::OrderEnded(heard) => {
                let work = self.coordinator.handle(self.now(), heard);
                self.execute(work).await;
            }
            Input::Copied(job, copied) => {
                let key = (job.change, job.round);
                self.jobs.remove(&key);
                let bytes = copied.map_or(0.0, |copied| copied.bytes as f64);
                let now = self.now();
                self.copies.finished(now, &key, Cost { bytes, work_ms: 1.0 });
                let progress = copied.map(|copied| (copied.copied, copied.length));
                let heard = Event::Copied { change: job.change, round: job.round, progress };
                let work = self.coordinator.handle(now, heard);
                self.execute(work).await;
                self.start_copies();
            }
            Input::Usage(store, held_blocks) => self.on_usage(store, &held_blocks),
            Input::Wake => {}
            Input::Request(request, reply_sender) => {
                let reply = self.on_request(request).await;
                let _ = reply_sender.try_send(reply);
            }
        }
    }

    /// Carries out the actions of the coordinator, in order. Once the log can't be written, nothing more is done.
    async fn execute(&mut self, work: Vec<Work>) {
        let (mut records, mut remaining) = (Vec::new(), work.into_iter().peekable());
        while let Some(item) = remaining.next() {
            match item {
                Work::Append(record) => {
                    records.push(record);
                    // Consecutive records are written together.
                    if matches!(remaining.peek(), Some(Work::Append(_))) {
                        continue;
                    }
                    let Some(mut log) = self.log.take().filter(|_| !self.must_stop) else { return };
                    let batch = std::mem::take(&mut records);
                    let written = blocking::unblock(move || {
                        let written = log.append(&batch);
                        (log, written)
                    });
                    let (log, written) = written.await;
                    self.log = Some(log);
                    if let Err(fault) = written {
                        log::error!(
                            "blocks: writing the coordinator's log failed, stopping to coordinate: {fault}"
                        );
                        self.must_stop = true;
                        return;
                    }
                }
                Work::Send(store, tag, ordered) => self.send_order(store, tag, ordered),
                Work::Copy(job) => self.submit_copy(job),
                Work::Publish(_) => self.publish(),
                Work::ChangeEnded(id, step) => {
                    let now = self.now();
                    let past = self.coordinator.ended_changes().last().filter(|past| past.change.id == id);
                    if let Some(past) = past {
                        let block = past.change.block.0;
                        let reason = past
                            .change
                            .reason
                            .as_ref()
                            .map(|reason| format!("{reason:?}"))
                            .unwrap_or_default();
                        let step = format!("{step:?}");
                        log::info!(change = id.0, block, step = step.as_str(), reason = reason.as_str(); "blocks: change ended");
                        for block in past.change.blocks() {
                            self.last_changed.insert(block, now);
                        }
                    }
                    let map = self.coordinator.map();
                    self.last_changed.retain(|block, _| map.block(*block).is_some());
                }
                Work::HigherTerm(term) => {
                    log::warn!(term = term.0; "blocks: another broker coordinates");
                    self.must_stop = true;
                    return;
                }
            }
        }
    }

    /// Sends an order to a store in a task of its own; the answer arrives as [`Input::OrderEnded`].
    fn send_order(&self, store: StoreId, tag: OrderPurpose, ordered: StampedOrder) {
        let address = self.coordinator.name(store).and_then(|name| self.blocks.address(name));
        let (inputs, client) = (self.inputs.clone(), self.client.clone());
        let task = async move {
            let heard = match address {
                None => None,
                Some(address) => execute_order(&client, address, store, tag, ordered).await,
            };
            let _ = inputs.send(Input::OrderEnded(heard.unwrap_or(Event::NoReply(store, tag)))).await;
        };
        self.blocks.executor.spawn(task).detach();
    }

    /// Queues a copy with the scheduler.
    fn submit_copy(&mut self, job: CopyJob) {
        let key = (job.change, job.round);
        let priority =
            if job.urgent || self.is_draining(job.from) { Priority::Urgent } else { Priority::Normal };
        let cost = Cost { bytes: wire::MAX_SECTION_BYTES as f64, work_ms: 1.0 };
        let task = Job { id: key, priority, lanes: vec![job.from, job.to], cost };
        let now = self.now();
        self.jobs.insert(key, job);
        if self.copies.submit(now, task).is_err() {
            // The coordinator treats the copy like one whose stores did not answer, and requests it again after a pause.
            self.jobs.remove(&key);
            let _ = self.inputs.try_send(Input::Copied(job, None));
        }
        self.start_copies();
    }

    /// Whether a store is draining, so that its blocks must be moved away.
    fn is_draining(&self, store: StoreId) -> bool {
        let state =
            self.coordinator.name(store).and_then(|name| self.blocks.stores.address_and_readiness(name));
        state.is_some_and(|(_, is_ready)| !is_ready)
    }

    /// Starts the copies that the scheduler permits now.
    fn start_copies(&mut self) {
        let now = self.now();
        self.copies.set_waiting_queries(now, self.blocks.exchange.open_queries());
        for key in self.copies.poll(now) {
            let Some(job) = self.jobs.get(&key).copied() else { continue };
            let address = |store| self.coordinator.name(store).and_then(|name| self.blocks.address(name));
            let (from, to) = (address(job.from), address(job.to));
            let (inputs, client) = (self.inputs.clone(), self.client.clone());
            let task = async move {
                let copied = match (from, to) {
                    (Some(from), Some(to)) => execute_copy(&client, from, to, &job).await,
                    _ => None,
                };
                let _ = inputs.send(Input::Copied(job, copied)).await;
            };
            self.blocks.executor.spawn(task).detach();
        }
    }

    /// Updates this broker's own copy of the map immediately; the other brokers request updates.
    fn publish(&self) {
        loop {
            let page = self.map_updates(self.blocks.routes.next_cursor(), self.blocks.routes.term());
            if !matches!(self.blocks.apply_update(page), Some(crate::routes::MapUpdate::MorePages)) {
                return;
            }
        }
    }

    /// A page of updates of the map after a position that a broker received in `term`, or the first page of the whole map.
    fn map_updates(&self, since: Cursor, term: u32) -> MapPage {
        let map = self.coordinator.map();
        let stores = self.coordinator.stores().collect();
        let (version, current_term) = (map.version(), self.coordinator.term().0);
        // Updates from the coordinator of another term may never have been written to its log, so the whole map is sent. The
        // broker then requests the further pages in this term.
        let changes = if term == current_term { map.changes_since(since, PAGE_RECORDS_MAX) } else { None };
        let (records, cursor, is_full_map) = match changes {
            Some((records, cursor)) => (records, cursor, false),
            None => {
                let first_page = map.changes_since(Cursor::default(), PAGE_RECORDS_MAX);
                let (records, cursor) = first_page.unwrap_or((Vec::new(), Cursor::after_version(version)));
                (records, cursor, true)
            }
        };
        MapPage { stores, records, cursor, version, term: current_term, is_full_map }
    }

    /// Requests the use of blocks from all stores; the answers arrive as [`Input::Usage`].
    fn request_usage(&mut self) {
        let map = self.coordinator.map();
        self.part_counts.retain(|(block, _), _| map.block(*block).is_some());
        self.loads.retain(|block, _| map.block(*block).is_some());
        for (store, name) in self.coordinator.stores().collect::<Vec<_>>() {
            let Some(address) = self.blocks.address(&name) else { continue };
            let ordered = self.coordinator.inventory();
            let (inputs, client) = (self.inputs.clone(), self.client.clone());
            let task = async move {
                if let Some((_, held_blocks)) = fetch_inventory(&client, address, ordered).await {
                    let _ = inputs.send(Input::Usage(store, held_blocks)).await;
                }
            };
            self.blocks.executor.spawn(task).detach();
        }
    }

    /// Updates the sizes and loads of blocks from a store's report.
    fn on_usage(&mut self, store: StoreId, held_blocks: &[wire::HeldBlock]) {
        let seconds = (self.blocks.settings.plan_every_ms as f64 / 1000.0).max(0.001);
        for held in held_blocks {
            let previous = self.part_counts.insert((held.block, store), held.parts);
            let Some(previous) = previous.filter(|previous| *previous <= held.parts) else { continue };
            let rate = (held.parts - previous) as f64 / seconds;
            let load = self.loads.entry(held.block).or_default();
            load.bytes = load.bytes.max(held.bytes);
            // The load of a block is the sum over its holders: each report updates the holder's share.
            let holders = self.coordinator.map().block(held.block).map_or(1, |block| block.replicas.len());
            let share = load.load / holders as f64;
            load.load += LOAD_GAIN * (rate - share);
        }
    }

    /// Plans the next changes from the listed stores and the blocks' loads.
    fn plan(&self) -> Plan {
        let members: HashMap<String, Member> =
            self.blocks.discovery.members().into_iter().map(|member| (member.name.clone(), member)).collect();
        let state = |(id, name): (StoreId, String)| {
            let listed = members.get(&name);
            StoreState {
                id,
                zone: listed.map_or(u32::MAX, |member| member.zone),
                capacity: 1.0,
                accepts_blocks: listed.is_some_and(|member| member.is_ready),
                evacuate: listed.is_some_and(|member| !member.is_ready),
                responds: listed.is_some() && self.coordinator.has_inventory(id),
            }
        };
        let stores: Vec<StoreState> = self.coordinator.stores().map(state).collect();
        let busy: HashSet<BlockId> = self.coordinator.changes().flat_map(|change| change.blocks()).collect();
        let now = self.now();
        let load = |block: &gingerledge_blocks::Block| {
            let measured = self.loads.get(&block.id).copied().unwrap_or_default();
            let last_changed = self.last_changed.get(&block.id).copied().unwrap_or(0);
            let is_changeable = now.saturating_sub(last_changed) >= self.blocks.settings.rest_ms;
            (block.id, BlockLoad { load: measured.load + IDLE_LOAD, is_changeable, ..measured })
        };
        let loads: HashMap<BlockId, BlockLoad> = self.coordinator.map().blocks().map(load).collect();
        let copies_in_progress: Vec<_> =
            self.coordinator.changes().filter_map(|change| change.copy_endpoints()).collect();
        plan(self.coordinator.map(), &stores, &loads, &busy, &copies_in_progress, &self.blocks.settings.goal)
    }

    /// Starts a change.
    ///
    /// # Errors
    ///
    /// The reason for which the change can't be started.
    async fn start_change(&mut self, change: &ChangeRequest) -> Result<ChangeId, RequestError> {
        let mut work = Vec::new();
        let started = self.coordinator.request_change(self.now(), change, &mut work);
        self.execute(work).await;
        started
    }

    /// Starts changes; returns the number of started ones, and the reasons for which the others can't be started.
    async fn start_changes(&mut self, changes: Vec<ChangeRequest>) -> (usize, Vec<String>) {
        let (mut started, mut refusals) = (0, Vec::new());
        for change in changes {
            match self.start_change(&change).await {
                Ok(_) => started += 1,
                Err(reason) => refusals.push(reason.to_string()),
            }
        }
        (started, refusals)
    }

    async fn on_request(&mut self, request: Request) -> Reply {
        match request {
            Request::Change(named) => {
                let change = match self.resolve_names(&named) {
                    Ok(change) => change,
                    Err(name) => return Reply::Refused(format!("no store `{name}`")),
                };
                match self.start_change(&change).await {
                    Ok(id) => Reply::Done(format!("change {}", id.0)),
                    Err(reason) => Reply::Refused(reason.to_string()),
                }
            }
            Request::Abandon(id) => {
                let mut work = Vec::new();
                let is_abandoned = self.coordinator.abandon(self.now(), ChangeId(id), &mut work);
                self.execute(work).await;
                match is_abandoned {
                    true => Reply::Done(format!("change {id} goes back")),
                    false => {
                        Reply::Refused(format!("change {id} is not under way, or can't go back any more"))
                    }
                }
            }
            Request::Pause(paused) => {
                let mut work = Vec::new();
                self.coordinator.pause(paused, &mut work);
                self.execute(work).await;
                Reply::Done(if paused { "paused" } else { "resumed" }.to_owned())
            }
            Request::ShowMap { from, limit } => {
                Reply::Json(super::admin::map_page_json(&self.coordinator, self.now(), from, limit))
            }
            Request::Plan { execute } => {
                let plan = self.plan();
                let mut json = super::admin::plan_json(&self.coordinator, &plan);
                if execute {
                    let changes = plan.changes.into_iter().map(|planned| planned.change).collect();
                    let (started, refusals) = self.start_changes(changes).await;
                    json["begun"] = started.into();
                    json["refused"] = refusals.into();
                }
                Reply::Json(json)
            }
            Request::MapUpdates { since, term } => {
                Reply::MapUpdates(wire::encode(&self.map_updates(since, term)))
            }
        }
    }

    /// Resolves the store names of a requested change.
    ///
    /// # Errors
    ///
    /// The first name that is not known.
    fn resolve_names(&self, named: &NamedChange) -> Result<ChangeRequest, String> {
        let store = |name: &String| self.coordinator.store(name).ok_or_else(|| name.clone());
        Ok(match named {
            NamedChange::Move(block, from, to) => {
                ChangeRequest::Move(BlockId(*block), store(from)?, store(to)?)
            }
            NamedChange::Add(block, to) => ChangeRequest::Add(BlockId(*block), store(to)?),
            NamedChange::Remove(block, from) => ChangeRequest::Remove(BlockId(*block), store(from)?),
            NamedChange::Split(block, at) => ChangeRequest::Split(BlockId(*block), *at),
            NamedChange::Merge(block, with) => ChangeRequest::Merge(BlockId(*block), BlockId(*with)),
        })
    }
}

/// Sends an order to a store and returns its answer; `None` if the store did not answer.
async fn execute_order(
    client: &StoreClient,
    address: std::net::SocketAddr,
    store: StoreId,
    tag: OrderPurpose,
    ordered: StampedOrder,
) -> Option<Event> {
    if tag == OrderPurpose::Inventory {
        return match fetch_inventory(client, address, ordered).await? {
            (None, held_blocks) => Some(Event::Inventory(
                store,
                held_blocks.iter().map(|held| (held.block, held.holding)).collect(),
            )),
            (Some(refusal), _) => Some(Event::Reply(store, tag, Err(refusal))),
        };
    }
    let rest = wire::encode(&ordered);
    let word = client.call(address, CallKind::Order, wire::ORDER, &rest, wire::REPLY).await?;
    match wire::decode::<OrderReply>(&word)? {
        OrderReply::Done(done) => Some(Event::Reply(store, tag, Ok(done))),
        OrderReply::Refused(refusal) => Some(Event::Reply(store, tag, Err(refusal))),
        OrderReply::Inventory { .. } => None,
    }
}

/// The refusal of an inventory request, if any, and the blocks that the store holds.
type Inventory = (Option<gingerledge_blocks::Refusal>, Vec<wire::HeldBlock>);

/// Requests all blocks that a store holds, page by page; `None` if the store did not answer.
async fn fetch_inventory(
    client: &StoreClient,
    address: std::net::SocketAddr,
    mut ordered: StampedOrder,
) -> Option<Inventory> {
    let mut all: Vec<wire::HeldBlock> = Vec::new();
    loop {
        let rest = wire::encode(&ordered);
        let word = client.call(address, CallKind::Order, wire::ORDER, &rest, wire::REPLY).await?;
        match wire::decode::<OrderReply>(&word)? {
            OrderReply::Inventory { held, more } => {
                let last = held.last().map(|held| held.block.0);
                all.extend(held);
                match last.filter(|_| more) {
                    Some(last) => ordered.block = BlockId(last + 1),
                    None => return Some((None, all)),
                }
            }
            OrderReply::Refused(refusal) => return Some((Some(refusal), all)),
            OrderReply::Done(_) => return None,
        }
    }
}

/// Has a store copy data of a block from another store; `None` if it did not answer or the copy failed.
async fn execute_copy(
    client: &StoreClient,
    from: std::net::SocketAddr,
    to: std::net::SocketAddr,
    job: &CopyJob,
) -> Option<CopyReply> {
    let call = CopyRequest {
        block: job.block,
        epoch: job.epoch,
        from,
        start: job.start,
        bytes: wire::MAX_SECTION_BYTES,
    };
    let answer = client.call(to, CallKind::Copy, wire::COPY, &wire::encode(&call), wire::COPIED).await?;
    wire::decode::<Option<CopyReply>>(&answer)?
}
