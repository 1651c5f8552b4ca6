//! A reading store: holds blocks of real readings, runs entries once, serves snapshots and tails of its log, and obeys
//! coordinators. It can be killed, stalled, slowed, cut off and filled up, and loses what a crash would lose.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime};

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_lock::Semaphore;
use futures_lite::AsyncReadExt;
use gingerledge::blocks::store_client;
use gingerledge::http;
use gingerledge::store::frame;
use gingerledge_blocks::wire::{self, CopyReply, CopyRequest, LogSection, OrderReply, SectionRequest};
use gingerledge_blocks::{
    Admission, BlockId, Disk, DurableState, Entry, Epoch, Holdings, Order, SimulatedDisk, Span, StampedOrder,
};

use crate::data;
use crate::fleet::ledger::{Deed, Ledger, Who};
use crate::strict::Strict;

/// Blocks a store may hold.
const BLOCKS_MOST: usize = 1000;
const WITHIN: Duration = Duration::from_secs(10);
/// A store that is cut off is found out no sooner than this.
const PEER_WITHIN: Duration = Duration::from_millis(1000);

/// What is wrong with a store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Nothing moves until then.
    Stalled(Instant),
    /// Work takes so many times as long.
    Slow(u32),
    /// Its disk is full.
    Full,
}

/// How many times each entry ran, anywhere: what no store knows.
pub type Runs = Rc<RefCell<HashMap<String, u32>>>;

/// The store. Its tasks end with it.
pub struct Store {
    /// Its name.
    pub name: String,
    /// Where it listens, also after a restart.
    pub address: SocketAddr,
    /// How long a part takes.
    pub work: Duration,
    fault: Cell<Fault>,
    holdings: RefCell<Holdings>,
    /// Readings by weigher, as the log holds them.
    readings: RefCell<BTreeMap<u64, u64>>,
    disk: RefCell<SimulatedDisk>,
    /// How much of the log is on the disk, and whether the rest of the state is.
    logged: Cell<usize>,
    cores: Semaphore,
    executor: Rc<LocalExecutor<'static>>,
    tasks: RefCell<Vec<Task<()>>>,
    runs: Runs,
    /// When it last started, in Unix time; 0 for long ago.
    pub started_ms: Cell<u64>,
    up: Cell<bool>,
    /// Of a site's store, the layer that takes its frames.
    strict: RefCell<Option<Rc<Strict>>>,
    /// Where single brokers connect, and where what they do is noted.
    doors: RefCell<Vec<(SocketAddr, Door)>>,
}

/// The door of one broker.
#[derive(Clone)]
struct Door {
    who: Who,
    store: usize,
    ledger: Rc<Ledger>,
}

impl Door {
    /// Notes what came whole.
    fn note(&self, letter: u8, rest: &[u8]) {
        let id = rest.split(|byte| *byte == b' ').next().unwrap_or_default();
        match letter {
            frame::CALL => {
                let id = String::from_utf8_lossy(id).into_owned();
                self.ledger.note(self.who, Deed::Began(self.store, id));
            }
            frame::PROBE | frame::LOAD_PROBE => self.ledger.note(self.who, Deed::Probed(self.store)),
            _ => {}
        }
    }
}

impl Store {
    /// A store with these readings, each in the log from the beginning.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        name: &str,
        weighers: &[Span],
        work: Duration,
        runs: &Runs,
    ) -> std::io::Result<Rc<Self>> {
        // An address that no connection goes out from: its port stays free while the store is down.
        let listener = TcpListener::bind(("127.0.1.1", 0))?;
        let address = listener.local_addr()?;
        let mut holdings = Holdings::new(BLOCKS_MOST);
        for weigher in weighers.iter().flat_map(|span| span.first..span.end) {
            holdings.append(data::reading(weigher));
        }
        let store = Rc::new(Self {
            name: name.to_owned(),
            address,
            work,
            fault: Cell::default(),
            holdings: RefCell::new(holdings),
            readings: RefCell::default(),
            disk: RefCell::default(),
            logged: Cell::new(0),
            cores: Semaphore::new(2),
            executor: executor.clone(),
            tasks: RefCell::default(),
            runs: runs.clone(),
            started_ms: Cell::new(0),
            up: Cell::new(false),
            strict: RefCell::default(),
            doors: RefCell::default(),
        });
        store.index(0);
        store.lasts();
        store.listen(listener, None)?;
        Ok(store)
    }

    /// What it holds.
    pub fn holdings(&self) -> std::cell::Ref<'_, Holdings> {
        self.holdings.borrow()
    }

    /// Has a layer take its frames from now on.
    pub fn put(&self, strict: Rc<Strict>) {
        *self.strict.borrow_mut() = Some(strict);
    }

    /// Runs something for as long as the store is up.
    pub fn run(&self, future: impl Future<Output = ()> + 'static) {
        let task = self.executor.spawn(future);
        self.spawn(task);
    }

    /// How long ago it last started, if not long ago.
    pub fn since_start(&self) -> Option<Duration> {
        let started = SystemTime::UNIX_EPOCH + Duration::from_millis(self.started_ms.get());
        (self.started_ms.get() > 0).then(|| started.elapsed().unwrap_or_default())
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Its fault.
    pub fn fault(&self) -> Fault {
        self.fault.get()
    }

    /// Gives it a fault, or ends that.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
        self.disk.borrow_mut().capacity = (fault == Fault::Full).then(|| self.disk.borrow().bytes().len());
    }

    /// Ends it at once: connections are reset, and what was not on the disk is lost.
    pub fn kill(&self) {
        self.up.set(false);
        self.tasks.borrow_mut().clear();
        self.disk.borrow_mut().crash(0);
    }

    /// Starts it again, with what its disk holds.
    pub fn restart(self: &Rc<Self>, now_ms: u64) -> std::io::Result<()> {
        let mut kept = DurableState::default();
        let bytes = self.disk.borrow_mut().read()?;
        let mut rest = &bytes[..];
        while let Some((record, after)) = record(rest) {
            match record {
                Lasting::Entry(entry) => kept.entries.push(entry),
                Lasting::Rest(new) => {
                    kept = DurableState { entries: std::mem::take(&mut kept.entries), ..new }
                }
            }
            rest = after;
        }
        *self.holdings.borrow_mut() = Holdings::restore(BLOCKS_MOST, kept);
        self.logged.set(self.holdings.borrow().entries().len());
        self.readings.borrow_mut().clear();
        self.index(0);
        self.started_ms.set(now_ms);
        self.fault.set(Fault::None);
        for (address, door) in self.doors.borrow().clone() {
            self.listen(TcpListener::bind(address)?, Some(door))?;
        }
        self.listen(TcpListener::bind(self.address)?, None)
    }

    /// A door of its own for one broker, to this store as the ledger numbers it.
    pub fn door(self: &Rc<Self>, ledger: &Rc<Ledger>, who: Who, store: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.1.1", 0))?;
        let address = listener.local_addr()?;
        let door = Door { who, store, ledger: ledger.clone() };
        self.doors.borrow_mut().push((address, door.clone()));
        self.listen(listener, Some(door))?;
        Ok(address)
    }

    fn listen(self: &Rc<Self>, listener: TcpListener, door: Option<Door>) -> std::io::Result<()> {
        let listener = Async::new(listener)?;
        self.up.set(true);
        let this = Rc::downgrade(self);
        let accept = async move {
            while let Ok((socket, _)) = listener.accept().await {
                let Some(store) = this.upgrade() else { return };
                let (weak, socket, door) = (this.clone(), Rc::new(socket), door.clone());
                let task = store.executor.spawn(async move {
                    let _ = Self::serve(weak, socket, door).await;
                });
                store.spawn(task);
            }
        };
        let task = self.executor.spawn(accept);
        self.spawn(task);
        Ok(())
    }

    /// Keeps a task for as long as the store is up.
    fn spawn(&self, task: Task<()>) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    async fn serve(this: Weak<Self>, socket: Rc<Async<TcpStream>>, door: Option<Door>) -> Option<()> {
        let _ = socket.get_ref().set_nodelay(true);
        let (mut buffer, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
        let strict = this.upgrade()?.strict.borrow().clone();
        let conn = strict.map(|strict| strict.conn(door.as_ref().map_or(0, |door| door.who)));
        loop {
            let n = (&*socket).read(&mut piece).await.ok().filter(|n| *n > 0)?;
            buffer.extend_from_slice(&piece[..n]);
            while let Some((letter, rest, length)) = frame::split(&buffer).ok()? {
                let rest = rest.to_vec();
                buffer.drain(..length);
                if let Some(conn) = &conn {
                    conn.take(&this.upgrade()?, letter, &rest, &socket)?;
                    continue;
                }
                if let Some(door) = &door {
                    door.note(letter, &rest);
                }
                let store = this.upgrade()?;
                let (weak, socket) = (this.clone(), socket.clone());
                // Orders go one after the other, parts and copies beside each other.
                let run = async move {
                    if let Some(bytes) = Self::take(weak, letter, rest).await {
                        let _ = http::write_all(&socket, &bytes, WITHIN).await;
                    }
                };
                match letter {
                    wire::ORDER => run.await,
                    _ => {
                        let task = store.executor.spawn(run);
                        store.spawn(task);
                    }
                }
            }
        }
    }

    async fn take(this: Weak<Self>, letter: u8, rest: Vec<u8>) -> Option<Vec<u8>> {
        let store = this.upgrade()?;
        store.moves().await;
        match letter {
            frame::CALL => store.part(&rest).await,
            frame::PROBE => Some(frame::frame(frame::PROBE, b"good")),
            frame::LOAD_PROBE => Some(frame::frame(frame::LOAD_PROBE, b"-")),
            wire::ORDER => {
                let word = store.order(&wire::decode(&rest)?)?;
                Some(frame::frame(wire::REPLY, &wire::encode(&word)))
            }
            wire::READ_SECTION => {
                let call: SectionRequest = wire::decode(&rest)?;
                let holdings = store.holdings.borrow();
                let (entries, next) =
                    holdings.read_section(call.span, call.start, call.bytes.min(wire::MAX_SECTION_BYTES));
                let length = holdings.entries().len() as u64;
                Some(frame::frame(wire::SECTION, &wire::encode(&LogSection { entries, next, length })))
            }
            wire::COPY => {
                let copied = store.copy(wire::decode(&rest)?).await;
                Some(frame::frame(wire::COPIED, &wire::encode(&copied)))
            }
            _ => None,
        }
    }

    /// Waits while nothing moves here.
    pub async fn moves(&self) {
        if let Fault::Stalled(until) = self.fault.get() {
            Timer::at(until).await;
        }
    }

    fn order(&self, ordered: &StampedOrder) -> Option<OrderReply> {
        let said = self.holdings.borrow_mut().carry_out(ordered);
        // An order counts once it lasts. Where the disk is full nothing is said, and the store forgets it.
        if !self.lasts() {
            return None;
        }
        Some(match (&ordered.order, said) {
            (_, Err(refusal)) => OrderReply::Refused(refusal),
            (Order::Inventory, Ok(_)) => {
                let (held, more) =
                    self.holdings.borrow().inventory(ordered.block, wire::MAX_INVENTORY_BLOCKS);
                OrderReply::Inventory { held, more }
            }
            (_, Ok(done)) => OrderReply::Done(done),
        })
    }

    /// Copies a stretch from another store's log.
    async fn copy(&self, call: CopyRequest) -> Option<CopyReply> {
        let held = self.holdings.borrow().block(call.block).copied().filter(|h| h.epoch == call.epoch)?;
        // What was copied further already need not come again.
        let start = held.copied.max(call.start);
        let asked = SectionRequest { span: held.span, start, bytes: call.bytes };
        let stretch: LogSection =
            wire::decode(&ask(call.from, wire::READ_SECTION, &wire::encode(&asked), wire::SECTION).await?)?;
        let bytes: u64 = stretch.entries.iter().map(|e| (e.value.len() + e.key.len()) as u64).sum();
        let before = self.holdings.borrow().entries().len();
        self.holdings.borrow_mut().apply_section(
            call.block,
            call.epoch,
            start,
            stretch.entries,
            stretch.next,
        );
        if !self.lasts() {
            return None;
        }
        self.index(before);
        let copied = self.holdings.borrow().block(call.block).map_or(0, |held| held.copied);
        Some(CopyReply { copied, length: stretch.length, bytes })
    }

    /// Answers for a part.
    async fn part(&self, rest: &[u8]) -> Option<Vec<u8>> {
        let end = rest.iter().position(|b| *b == b'\n')?;
        let line = std::str::from_utf8(&rest[..end]).ok()?;
        let text = std::str::from_utf8(&rest[end + 1..]).ok()?;
        let [id, block, list, _] = line.split(' ').collect::<Vec<_>>()[..] else { return None };
        let field = |name: &str| list.split(',').find_map(|pair| pair.strip_prefix(name));
        let began = Instant::now();
        let core = self.cores.acquire().await;
        let times = if let Fault::Slow(times) = self.fault.get() { times } else { 1 };
        Timer::after(self.work * times).await;
        self.moves().await;
        drop(core);
        let patience: u64 = field("d=").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
        if began.elapsed().as_millis() as u64 >= patience {
            return None;
        }
        let number = |name: &str| field(name).and_then(|digits| digits.parse::<u64>().ok());
        let Some(epoch) = number("e=").map(Epoch) else {
            // Where blocks do not move there is no fence, and any store answers for any block.
            let answer = format!("{id} good 1 -\nblock {block} at {}", self.name);
            return Some(frame::frame(frame::ANSWER, answer.as_bytes()));
        };
        let block = BlockId(block.parse().ok()?);
        let weigher = number("i=");
        let slice = field("s=").and_then(|text| {
            let (first, end) = text.split_once('-')?;
            Some(Span::new(first.parse().ok()?, end.parse().ok()?))
        });
        // An entry's key is the part's id up to the block that it is asked of now.
        let key = field("w=1").map(|_| id.split('-').next().unwrap_or(id));
        let verdict = self.holdings.borrow().admission(block, epoch, key);
        let (end, report, value) = match verdict {
            Admission::Reject(newer) => {
                ("later", format!("epoch={}", newer.unwrap_or_default().0), String::new())
            }
            Admission::Duplicate(_) => ("good", "-".to_owned(), "stored".to_owned()),
            Admission::Execute(span) => {
                self.holdings.borrow_mut().count_part(block);
                let span = slice.and_then(|slice| slice.intersection(span)).unwrap_or(span);
                match key {
                    Some(key) => {
                        let weigher = weigher.unwrap_or(span.first);
                        let entry = Entry { key: key.to_owned(), weigher, value: text.into() };
                        if self.holdings.borrow_mut().append(entry) {
                            *self.runs.borrow_mut().entry(key.to_owned()).or_default() += 1;
                        }
                        match self.lasts() {
                            true => ("good", "-".to_owned(), "stored".to_owned()),
                            false => ("bad", "-".to_owned(), String::new()),
                        }
                    }
                    None => ("good", "-".to_owned(), self.read(span, text)),
                }
            }
        };
        let score = 1000 + u64::from(block.0) % 97;
        Some(frame::frame(frame::ANSWER, format!("{id} {end} {score} {report}\n{value}").as_bytes()))
    }

    /// What a read of some weighers gives: features where the text asks for such, or their count and sum.
    fn read(&self, span: Span, text: &str) -> String {
        let readings = self.readings.borrow();
        if let Some(query) = text.strip_prefix("collections/weighers/items?") {
            return page(readings.range(span.first..span.end), query);
        }
        let found = readings.range(span.first..span.end);
        let (count, sum) = found.fold((0, 0), |(count, sum), (_, grams)| (count + 1, sum + grams));
        data::answer(span, count, sum)
    }

    /// Takes readings from the log in, from an index on.
    fn index(&self, from: usize) {
        let holdings = self.holdings.borrow();
        let mut readings = self.readings.borrow_mut();
        for entry in holdings.entries().iter().skip(from).filter(|entry| entry.key.starts_with("r-")) {
            let grams = entry.value.as_slice().try_into().map(u64::from_le_bytes).unwrap_or_default();
            readings.insert(entry.weigher, grams);
        }
    }

    /// Makes the state last; false where the disk is full, and then it falls back to what lasts.
    fn lasts(&self) -> bool {
        let mut bytes = Vec::new();
        {
            let holdings = self.holdings.borrow();
            for entry in holdings.entries().iter().skip(self.logged.get()) {
                bytes.extend(packed(&Lasting::Entry(entry.clone())));
            }
            bytes.extend(packed(&Lasting::Rest(holdings.durable_state())));
        }
        let mut disk = self.disk.borrow_mut();
        if disk.append(&bytes).and_then(|()| disk.sync()).is_err() {
            return false;
        }
        self.logged.set(self.holdings.borrow().entries().len());
        true
    }
}

/// What lies on the disk.
#[derive(Debug)]
enum Lasting {
    Entry(Entry),
    Rest(DurableState),
}

fn packed(lasting: &Lasting) -> Vec<u8> {
    let (letter, body) = match lasting {
        Lasting::Entry(entry) => (0u8, wire::encode(entry)),
        Lasting::Rest(kept) => (1, wire::encode(kept)),
    };
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.push(letter);
    bytes.extend(body);
    bytes
}

fn record(bytes: &[u8]) -> Option<(Lasting, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (check, rest) = rest.split_first_chunk::<4>()?;
    let (letter, rest) = rest.split_first()?;
    let (body, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*check) {
        return None;
    }
    let lasting = match letter {
        0 => Lasting::Entry(wire::decode(body)?),
        _ => Lasting::Rest(wire::decode(body)?),
    };
    Some((lasting, rest))
}

/// A page of features, in the order of their ids.
fn page<'a>(readings: impl Iterator<Item = (&'a u64, &'a u64)>, query: &str) -> String {
    let given = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let limit: usize = given("limit").and_then(|n| n.parse().ok()).unwrap_or(10);
    let (after, only) = (given("after"), given("ids"));
    let bbox: Option<Vec<f64>> = given("bbox").map(|b| b.split(',').filter_map(|n| n.parse().ok()).collect());
    let wanted = |feature: &serde_json::Value| {
        let id = feature["id"].as_str().unwrap_or_default();
        let at = |axis: usize| feature["geometry"]["coordinates"][axis].as_f64().unwrap_or_default();
        after.is_none_or(|after| id > after)
            && only.is_none_or(|only| id == only)
            && bbox
                .as_ref()
                .filter(|b| b.len() == 4)
                .is_none_or(|b| (b[0]..=b[2]).contains(&at(0)) && (b[1]..=b[3]).contains(&at(1)))
    };
    let mut features: Vec<_> =
        readings.map(|(w, g)| data::feature(*w, *g)).filter(wanted).take(limit + 1).collect();
    let more = features.len() > limit;
    features.truncate(limit);
    let links =
        if more { serde_json::json!([{ "rel": "next", "href": "more" }]) } else { serde_json::json!([]) };
    serde_json::json!({ "type": "FeatureCollection", "links": links, "features": features }).to_string()
}

async fn ask(at: SocketAddr, letter: u8, rest: &[u8], answer: u8) -> Option<Vec<u8>> {
    let ask = async {
        let socket = http::connect(at, PEER_WITHIN).await.ok()?;
        store_client::round_trip(&socket, &frame::frame(letter, rest), answer, PEER_WITHIN).await
    };
    let late = async {
        Timer::after(PEER_WITHIN).await;
        None
    };
    futures_lite::future::or(ask, late).await
}

/// Whether whoever listens there answers a probe.
pub async fn answers(at: SocketAddr) -> bool {
    ask(at, frame::PROBE, b"", frame::PROBE).await.is_some()
}
