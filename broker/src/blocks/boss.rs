//! The coordinator's driver: takes the lease, reads and writes the log, gives orders to stores, has copies made within their
//! budget, and plans. All that it decides, the machine in `gingerledge-blocks` decides.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use gingerledge_background::{Cost, Job, Priority, Scheduler};
use gingerledge_blocks::wire::{self, Copied, CopyCall, News, Word};
use gingerledge_blocks::{
    plan, BlockId, BlockLoad, ChangeId, Coordinator, CopyJob, Cursor, Extent, Heard, Log, Ordered, Plan,
    StoreId, StoreState, Tag, Term, Unmet, Wish, Work,
};

use super::call::{Call, NamedWish, Reply};
use super::calls::{Calls, Lane};
use super::lease::{self, FileDisk};
use super::Blocks;
use crate::config::blocks::Planning;
use crate::discovery::Member;

/// Records in a page of news.
const NEWS_RECORDS: usize = 300;
/// The lease is renewed when so much of it is left, in parts of it, and counts as lost when so much is.
const RENEW_AT: u64 = 2;
const LOST_AT: u64 = 8;
/// An idle block counts as so many parts a second: stores switched on in a quiet hour fill up too.
const IDLE_LOAD: f64 = 0.5;
/// Half of a block's measured load is forgotten with each plan.
const LOAD_GAIN: f64 = 0.5;

/// What others want of the coordinator.
pub enum Ask {
    /// To be told the reply once done.
    Call(Call, Sender<Reply>),
    /// A word from a store.
    Heard(Heard),
    /// A copy's end, with the bytes moved.
    Copied(CopyJob, Option<Copied>),
    /// What a store holds is used so much.
    Usage(StoreId, Vec<wire::Held>),
    /// To look whether it is to stop.
    Wake,
}

/// Takes the lease whenever it can be had, and coordinates while it lasts.
pub async fn run(blocks: Rc<Blocks>) {
    let lease_ms = blocks.set.lease_ms;
    while !blocks.stopping.get() {
        // Two processes of one broker are two holders: in an upgrade the old one lets go first.
        let name = format!("{}/{}", blocks.name, std::process::id());
        let (dir, now) = (blocks.set.dir.clone(), blocks.clock.now() as u64);
        let taken = blocking::unblock(move || lease::take(&dir, &name, now, lease_ms)).await;
        let wait = match taken {
            Ok(Ok(term)) => {
                reign(&blocks, term, now + lease_ms).await;
                blocks.boss.borrow_mut().take();
                let dir = blocks.set.dir.clone();
                if let Err(fault) = blocking::unblock(move || lease::release(&dir, term)).await {
                    log::warn!("blocks: the lease was not let go: {fault}");
                }
                lease_ms / 4
            }
            Ok(Err(held)) => held.until_ms.saturating_sub(now).min(lease_ms / 4),
            Err(fault) => {
                log::warn!("blocks: the lease can't be taken: {fault}");
                lease_ms / 4
            }
        };
        if !blocks.stopping.get() {
            Timer::after(Duration::from_millis(wait.max(20))).await;
        }
    }
    blocks.released.0.borrow_mut().take();
}

struct Boss<'a> {
    blocks: &'a Rc<Blocks>,
    coordinator: Coordinator,
    log: Option<Log<FileDisk>>,
    calls: Rc<Calls>,
    copies: Scheduler<(ChangeId, u32), StoreId>,
    jobs: HashMap<(ChangeId, u32), CopyJob>,
    asks: Sender<Ask>,
    /// Parts that ran by block and store, as last told, and the load that comes of it.
    parts: HashMap<(BlockId, StoreId), u64>,
    loads: HashMap<BlockId, BlockLoad>,
    changed: HashMap<BlockId, u64>,
    over: bool,
}

async fn reign(blocks: &Rc<Blocks>, term: Term, until: u64) {
    let dir = blocks.set.dir.clone();
    let opened = blocking::unblock(move || lease::open_log(&dir, term)).await;
    let (log, records) = match opened {
        Ok(opened) => opened,
        Err(fault) => {
            log::error!("blocks: the coordinator's log can't be used: {fault}");
            return;
        }
    };
    let begun = Coordinator::begin(blocks.clock.now() as u64, term, records, blocks.set.bounds);
    let (coordinator, start) = match begun {
        Ok(begun) => begun,
        Err(fault) => {
            log::error!("blocks: the coordinator's log makes no sense: {fault}");
            return;
        }
    };
    log::info!(term = term.0, blocks = coordinator.map().len(); "blocks: coordinating");
    let (asks, asked) = async_channel::bounded(4096);
    let now = blocks.clock.now() as u64;
    let mut boss = Boss {
        blocks,
        coordinator,
        log: Some(log),
        calls: Calls::new(),
        copies: Scheduler::new(blocks.set.budget, now),
        jobs: HashMap::new(),
        asks: asks.clone(),
        parts: HashMap::new(),
        loads: HashMap::new(),
        changed: HashMap::new(),
        over: false,
    };
    boss.carry_out(vec![Work::Append(start)]).await;
    boss.note_stores().await;
    let dir = blocks.set.dir.clone();
    if let Err(fault) = blocking::unblock(move || lease::tidy(&dir, term)).await {
        log::warn!("blocks: old logs stay: {fault}");
    }
    *blocks.boss.borrow_mut() = Some(asks);
    boss.publish();
    boss.serve(asked, until).await;
    log::info!(term = term.0; "blocks: no longer coordinating");
}

impl Boss<'_> {
    fn now(&self) -> u64 {
        self.blocks.clock.now() as u64
    }

    async fn serve(&mut self, asked: Receiver<Ask>, mut until: u64) {
        let set = &self.blocks.set;
        let (lease_ms, plan_ms) = (set.lease_ms, set.plan_every_ms);
        let mut plan_at = self.now() + plan_ms;
        while !self.over && !self.blocks.stopping.get() {
            let now = self.now();
            let renew_at = until - lease_ms / RENEW_AT;
            let due = [Some(plan_at), Some(renew_at), self.coordinator.due(), self.copies.due(now)];
            let wait = due.into_iter().flatten().min().unwrap_or(now).saturating_sub(now).min(100);
            let next = async { asked.recv().await.ok() };
            let late = async {
                Timer::after(Duration::from_millis(wait)).await;
                None
            };
            let mut ask = or(next, late).await;
            while let Some(one) = ask {
                self.take(one).await;
                ask = asked.try_recv().ok();
            }
            let now = self.now();
            if now >= renew_at {
                let (dir, term) = (set.dir.clone(), self.coordinator.term());
                match blocking::unblock(move || lease::renew(&dir, term, now, lease_ms)).await {
                    Ok(true) => until = now + lease_ms,
                    Ok(false) => break,
                    Err(fault) => log::warn!("blocks: the lease was not renewed: {fault}"),
                }
            }
            // Guards against going on after a long pause: what was ordered since may be another's by now.
            if self.now() + lease_ms / LOST_AT > until {
                break;
            }
            self.note_stores().await;
            let work = self.coordinator.handle(self.now(), Heard::Tick);
            self.carry_out(work).await;
            self.begin_copies();
            if now >= plan_at {
                plan_at = now + plan_ms;
                self.ask_usage();
                if set.planning == Planning::Auto && !self.coordinator.paused() {
                    let wishes = self.plan().wishes;
                    self.wish_all(wishes.into_iter().map(|planned| planned.wish).collect()).await;
                }
            }
        }
    }

    /// Notes stores that discovery has named, and makes the first map once all of its stores are known.
    async fn note_stores(&mut self) {
        let mut work = Vec::new();
        for name in self.blocks.stores.names() {
            if self.coordinator.store(&name).is_none() && self.coordinator.note(&name, &mut work).is_none() {
                log::warn!(store = name.as_str(); "blocks: more stores than stores_max; this one is left out");
            }
        }
        let found = &self.blocks.set.found;
        if self.coordinator.map().version() == 0 && !found.is_empty() {
            let ids = |names: &[String]| {
                names.iter().map(|n| self.coordinator.store(n)).collect::<Option<Vec<_>>>()
            };
            let blocks: Option<Vec<_>> = found
                .iter()
                .map(|f| Some((BlockId(f.block), f.span, ids(&f.stores)?, f.extent.map(Extent))))
                .collect();
            if let Some(blocks) = blocks {
                match self.coordinator.found(blocks) {
                    Ok(more) => work.extend(more),
                    Err(fault) => log::error!("blocks: the first map can't be made: {fault}"),
                }
            }
        }
        self.carry_out(work).await;
    }

    async fn take(&mut self, ask: Ask) {
        match ask {
            Ask::Heard(heard) => {
                let work = self.coordinator.handle(self.now(), heard);
                self.carry_out(work).await;
            }
            Ask::Copied(job, copied) => {
                let key = (job.change, job.round);
                self.jobs.remove(&key);
                let bytes = copied.map_or(0.0, |copied| copied.bytes as f64);
                let now = self.now();
                self.copies.finished(now, &key, Cost { bytes, work_ms: 1.0 });
                let upto = copied.map(|copied| (copied.copied, copied.length));
                let heard = Heard::Copied { change: job.change, round: job.round, upto };
                let work = self.coordinator.handle(now, heard);
                self.carry_out(work).await;
                self.begin_copies();
            }
            Ask::Usage(store, held) => self.used(store, &held),
            Ask::Wake => {}
            Ask::Call(call, reply) => {
                let said = self.call(call).await;
                let _ = reply.try_send(said);
            }
        }
    }

    /// Does what the machine wants, in order. Once the log can't be written nothing more is done.
    async fn carry_out(&mut self, work: Vec<Work>) {
        let (mut records, mut rest) = (Vec::new(), work.into_iter().peekable());
        while let Some(item) = rest.next() {
            match item {
                Work::Append(record) => {
                    records.push(record);
                    // What follows each other is written together.
                    if matches!(rest.peek(), Some(Work::Append(_))) {
                        continue;
                    }
                    let Some(mut log) = self.log.take().filter(|_| !self.over) else { return };
                    let batch = std::mem::take(&mut records);
                    let written = blocking::unblock(move || {
                        let written = log.append(&batch);
                        (log, written)
                    });
                    let (log, written) = written.await;
                    self.log = Some(log);
                    if let Err(fault) = written {
                        log::error!("blocks: the coordinator's log can't be written, giving up: {fault}");
                        self.over = true;
                        return;
                    }
                }
                Work::Send(store, tag, ordered) => self.send(store, tag, ordered),
                Work::Copy(job) => self.submit(job),
                Work::Publish(_) => self.publish(),
                Work::Ended(id, step) => {
                    let now = self.now();
                    let past = self.coordinator.past().last().filter(|past| past.change.id == id);
                    if let Some(past) = past {
                        let block = past.change.block.0;
                        let reason =
                            past.change.reason.as_ref().map(|r| format!("{r:?}")).unwrap_or_default();
                        let step = format!("{step:?}");
                        log::info!(change = id.0, block, step = step.as_str(), reason = reason.as_str(); "blocks: change ended");
                        for block in past.change.blocks() {
                            self.changed.insert(block, now);
                        }
                    }
                    let map = self.coordinator.map();
                    self.changed.retain(|block, _| map.block(*block).is_some());
                }
                Work::Deposed(term) => {
                    log::warn!(term = term.0; "blocks: another coordinates");
                    self.over = true;
                    return;
                }
            }
        }
    }

    fn send(&self, store: StoreId, tag: Tag, ordered: Ordered) {
        let at = self.coordinator.name(store).and_then(|name| self.blocks.address(name));
        let (asks, calls) = (self.asks.clone(), self.calls.clone());
        let task = async move {
            let heard = match at {
                None => None,
                Some(at) => order(&calls, at, store, tag, ordered).await,
            };
            let _ = asks.send(Ask::Heard(heard.unwrap_or(Heard::Silent(store, tag)))).await;
        };
        self.blocks.executor.spawn(task).detach();
    }

    fn submit(&mut self, job: CopyJob) {
        let key = (job.change, job.round);
        let priority = if job.urgent || self.leaves(job.from) { Priority::Urgent } else { Priority::Normal };
        let cost = Cost { bytes: wire::STRETCH_MOST as f64, work_ms: 1.0 };
        let task = Job { id: key, priority, lanes: vec![job.from, job.to], cost };
        let now = self.now();
        self.jobs.insert(key, job);
        if self.copies.submit(now, task).is_err() {
            // Said to be silent, it comes again after a pause.
            self.jobs.remove(&key);
            let _ = self.asks.try_send(Ask::Copied(job, None));
        }
        self.begin_copies();
    }

    /// Whether a store waits to be empty.
    fn leaves(&self, store: StoreId) -> bool {
        let ready =
            self.coordinator.name(store).and_then(|name| self.blocks.stores.address_and_readiness(name));
        ready.is_some_and(|(_, ready)| !ready)
    }

    fn begin_copies(&mut self) {
        let now = self.now();
        self.copies.set_waiting_queries(now, self.blocks.exchange.open_queries());
        for key in self.copies.poll(now) {
            let Some(job) = self.jobs.get(&key).copied() else { continue };
            let address = |store| self.coordinator.name(store).and_then(|name| self.blocks.address(name));
            let (from, to) = (address(job.from), address(job.to));
            let (asks, calls) = (self.asks.clone(), self.calls.clone());
            let task = async move {
                let copied = match (from, to) {
                    (Some(from), Some(to)) => copy(&calls, from, to, &job).await,
                    _ => None,
                };
                let _ = asks.send(Ask::Copied(job, copied)).await;
            };
            self.blocks.executor.spawn(task).detach();
        }
    }

    /// This broker's own map follows at once; the others ask.
    fn publish(&self) {
        loop {
            let news = self.news(self.blocks.routes.next_cursor(), self.blocks.routes.term());
            if !matches!(self.blocks.learn(news), Some(crate::routes::MapUpdate::More)) {
                return;
            }
        }
    }

    fn news(&self, since: Cursor, term: u32) -> News {
        let map = self.coordinator.map();
        let stores = self.coordinator.stores().collect();
        let (version, own) = (map.version(), self.coordinator.term().0);
        // What another term's coordinator told may never have been written: then the whole map is told anew. Its
        // pages are asked for in this term.
        let known = if term == own { map.since(since, NEWS_RECORDS) } else { None };
        let (records, upto, whole) = match known {
            Some((records, upto)) => (records, upto, false),
            None => {
                let all = map.since(Cursor::default(), NEWS_RECORDS);
                let (records, upto) = all.unwrap_or((Vec::new(), Cursor::at(version)));
                (records, upto, true)
            }
        };
        News { stores, records, upto, version, term: own, whole }
    }

    fn ask_usage(&mut self) {
        let map = self.coordinator.map();
        self.parts.retain(|(block, _), _| map.block(*block).is_some());
        self.loads.retain(|block, _| map.block(*block).is_some());
        for (store, name) in self.coordinator.stores().collect::<Vec<_>>() {
            let Some(at) = self.blocks.address(&name) else { continue };
            let ordered = self.coordinator.inventory();
            let (asks, calls) = (self.asks.clone(), self.calls.clone());
            let task = async move {
                if let Some((_, held)) = holds(&calls, at, ordered).await {
                    let _ = asks.send(Ask::Usage(store, held)).await;
                }
            };
            self.blocks.executor.spawn(task).detach();
        }
    }

    /// Learns from a store how large its blocks are and how much they are used.
    fn used(&mut self, store: StoreId, held: &[wire::Held]) {
        let seconds = (self.blocks.set.plan_every_ms as f64 / 1000.0).max(0.001);
        for held in held {
            let before = self.parts.insert((held.block, store), held.parts);
            let Some(before) = before.filter(|before| *before <= held.parts) else { continue };
            let rate = (held.parts - before) as f64 / seconds;
            let load = self.loads.entry(held.block).or_default();
            load.bytes = load.bytes.max(held.bytes);
            // Each of the block's holders adds its own.
            let holders = self.coordinator.map().block(held.block).map_or(1, |b| b.replicas.len());
            let own = load.load / holders as f64;
            load.load += LOAD_GAIN * (rate - own);
        }
    }

    fn plan(&self) -> Plan {
        let fleet: HashMap<String, Member> =
            self.blocks.discovery.fleet().into_iter().map(|member| (member.name.clone(), member)).collect();
        let state = |(id, name): (StoreId, String)| {
            let listed = fleet.get(&name);
            StoreState {
                id,
                zone: listed.map_or(u32::MAX, |member| member.zone),
                capacity: 1.0,
                takes: listed.is_some_and(|member| member.ready),
                leaves: listed.is_some_and(|member| !member.ready),
                sound: listed.is_some() && self.coordinator.has_heard(id),
            }
        };
        let stores: Vec<StoreState> = self.coordinator.stores().map(state).collect();
        let busy: HashSet<BlockId> = self.coordinator.changes().flat_map(|change| change.blocks()).collect();
        let now = self.now();
        let load = |block: &gingerledge_blocks::Block| {
            let known = self.loads.get(&block.id).copied().unwrap_or_default();
            let changed = self.changed.get(&block.id).copied().unwrap_or(0);
            let rested = now.saturating_sub(changed) >= self.blocks.set.rest_ms;
            (block.id, BlockLoad { load: known.load + IDLE_LOAD, rested, ..known })
        };
        let loads: HashMap<BlockId, BlockLoad> = self.coordinator.map().blocks().map(load).collect();
        let under_way: Vec<_> = self.coordinator.changes().filter_map(|change| change.copy()).collect();
        plan(self.coordinator.map(), &stores, &loads, &busy, &under_way, &self.blocks.set.goal)
    }

    async fn wish(&mut self, wish: &Wish) -> Result<ChangeId, Unmet> {
        let mut work = Vec::new();
        let taken = self.coordinator.wish(self.now(), wish, &mut work);
        self.carry_out(work).await;
        taken
    }

    async fn wish_all(&mut self, wishes: Vec<Wish>) -> (usize, Vec<String>) {
        let (mut begun, mut not) = (0, Vec::new());
        for wish in wishes {
            match self.wish(&wish).await {
                Ok(_) => begun += 1,
                Err(why) => not.push(why.to_string()),
            }
        }
        (begun, not)
    }

    async fn call(&mut self, call: Call) -> Reply {
        match call {
            Call::Wish(named) => {
                let wish = match self.named(&named) {
                    Ok(wish) => wish,
                    Err(name) => return Reply::No(format!("no store `{name}`")),
                };
                match self.wish(&wish).await {
                    Ok(id) => Reply::Done(format!("change {}", id.0)),
                    Err(why) => Reply::No(why.to_string()),
                }
            }
            Call::Abandon(id) => {
                let mut work = Vec::new();
                let may = self.coordinator.abandon(self.now(), ChangeId(id), &mut work);
                self.carry_out(work).await;
                match may {
                    true => Reply::Done(format!("change {id} goes back")),
                    false => Reply::No(format!("change {id} is not under way, or can't go back any more")),
                }
            }
            Call::Pause(paused) => {
                let mut work = Vec::new();
                self.coordinator.pause(paused, &mut work);
                self.carry_out(work).await;
                Reply::Done(if paused { "paused" } else { "resumed" }.to_owned())
            }
            Call::Show { from, most } => {
                Reply::Json(super::door::show(&self.coordinator, self.now(), from, most))
            }
            Call::Plan { run } => {
                let plan = self.plan();
                let mut json = super::door::plan(&self.coordinator, &plan);
                if run {
                    let wishes = plan.wishes.into_iter().map(|planned| planned.wish).collect();
                    let (begun, not) = self.wish_all(wishes).await;
                    json["begun"] = begun.into();
                    json["refused"] = not.into();
                }
                Reply::Json(json)
            }
            Call::News { since, term } => Reply::News(wire::pack(&self.news(since, term))),
        }
    }

    fn named(&self, named: &NamedWish) -> Result<Wish, String> {
        let store = |name: &String| self.coordinator.store(name).ok_or_else(|| name.clone());
        Ok(match named {
            NamedWish::Move(block, from, to) => Wish::Move(BlockId(*block), store(from)?, store(to)?),
            NamedWish::Add(block, to) => Wish::Add(BlockId(*block), store(to)?),
            NamedWish::Remove(block, from) => Wish::Remove(BlockId(*block), store(from)?),
            NamedWish::Split(block, at) => Wish::Split(BlockId(*block), *at),
            NamedWish::Merge(block, with) => Wish::Merge(BlockId(*block), BlockId(*with)),
        })
    }
}

async fn order(
    calls: &Calls,
    at: std::net::SocketAddr,
    store: StoreId,
    tag: Tag,
    ordered: Ordered,
) -> Option<Heard> {
    if tag == Tag::Inventory {
        return match holds(calls, at, ordered).await? {
            (None, held) => Some(Heard::Holds(store, held.iter().map(|h| (h.block, h.holding)).collect())),
            (Some(refusal), _) => Some(Heard::Said(store, tag, Err(refusal))),
        };
    }
    let rest = wire::pack(&ordered);
    let word = calls.call(at, Lane::Orders, wire::ORDER, &rest, wire::WORD).await?;
    match wire::unpack::<Word>(&word)? {
        Word::Done(done) => Some(Heard::Said(store, tag, Ok(done))),
        Word::Refused(refusal) => Some(Heard::Said(store, tag, Err(refusal))),
        Word::Holds { .. } => None,
    }
}

type Held = (Option<gingerledge_blocks::Refusal>, Vec<wire::Held>);

/// All that a store holds, page by page.
async fn holds(calls: &Calls, at: std::net::SocketAddr, mut ordered: Ordered) -> Option<Held> {
    let mut all: Vec<wire::Held> = Vec::new();
    loop {
        let rest = wire::pack(&ordered);
        let word = calls.call(at, Lane::Orders, wire::ORDER, &rest, wire::WORD).await?;
        match wire::unpack::<Word>(&word)? {
            Word::Holds { held, more } => {
                let last = held.last().map(|held| held.block.0);
                all.extend(held);
                match last.filter(|_| more) {
                    Some(last) => ordered.block = BlockId(last + 1),
                    None => return Some((None, all)),
                }
            }
            Word::Refused(refusal) => return Some((Some(refusal), all)),
            Word::Done(_) => return None,
        }
    }
}

async fn copy(
    calls: &Calls,
    from: std::net::SocketAddr,
    to: std::net::SocketAddr,
    job: &CopyJob,
) -> Option<Copied> {
    let call = CopyCall { block: job.block, epoch: job.epoch, from, at: job.at, bytes: wire::STRETCH_MOST };
    let said = calls.call(to, Lane::Copies, wire::COPY, &wire::pack(&call), wire::COPIED).await?;
    wire::unpack::<Option<Copied>>(&said)?
}
