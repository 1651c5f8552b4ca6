//! A scripted world on loopback, for tests of the broker: a stand-in for discovery, reading stores on the ring that speak frames
//! and the feature form over the same yards, a broker among them, and a client. All run on one thread.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use gingerledge::clock::Clock;
use gingerledge::config::Config;
use gingerledge::discovery::watching::CallTimeouts;
use gingerledge::http::{self, Framing, Kind, Stream};
use gingerledge::service::Broker;
use gingerledge::store::frame;
use serde_json::{json, Value};

pub use crate::client::Got;
use crate::settings;

/// Longer than any test takes; ends one that hangs.
const GUARD: Duration = Duration::from_secs(60);
const WITHIN: Duration = Duration::from_secs(30);

/// How a store treats the parts that it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    #[default]
    Serves,
    /// Takes parts and answers none.
    Silent,
    /// Answers with an error.
    Errs,
    /// Turns parts away.
    Full,
    /// Sends what is no frame, or no feature collection.
    Garbage,
    /// The connections open now fall silent; new ones are served.
    Silences,
    /// Sends the beginning of an answer and never the rest.
    Half,
    /// Sends an answer that bears an id nobody asked for.
    WrongId,
    /// Serves, with a load report that can't be read.
    BadReport,
    /// Serves, with a second copy of the answer behind it.
    Twice,
    /// Serves, with noise behind it.
    Noise,
    /// Serves, with what looks like the beginning of another answer behind it.
    Beginning,
    /// Closes the connection once a part has come.
    Resets,
    /// Serves after so many milliseconds.
    Slow(u64),
}

/// How discovery treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Service {
    #[default]
    Serves,
    /// Watches say nothing more after their first line, not even that nothing changed.
    Mute,
    /// Watches are refused, lists are given.
    NoWatch,
    /// All calls are refused.
    Refuses,
    /// Connections end without an answer.
    Resets,
    /// Calls get no answer, and open watches fall silent.
    Hangs,
    /// Of an answer the first byte comes.
    Begins,
    /// Of a watch's first list the first byte comes, and then empty lines; of a list the first byte.
    Opens,
    /// Lists come indented, and on a watch each byte is a chunk.
    Indented,
    /// Lists end in their midst.
    Cuts,
    /// Lists are no lists.
    Garbles,
    /// Behind the list a watch tells changes of an older one, in which no store was left.
    GoesBack,
}

/// A store as discovery lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub at: SocketAddr,
    pub state: &'static str,
    pub started: u64,
}

/// A part as a store was sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub store: usize,
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
    pub features: bool,
    /// The key that came with it.
    pub key: Option<String>,
    /// Which call it came in, counted over all stores.
    pub call: usize,
}

pub struct World {
    pub executor: Rc<LocalExecutor<'static>>,
    pub mood: RefCell<Vec<Mood>>,
    pub sent: RefCell<Vec<Sent>>,
    pub given_up: RefCell<Vec<String>>,
    /// How many calls came.
    pub calls: Cell<usize>,
    /// Features of block 0 that a store gives on a page at the most, whatever the limit.
    pub store_page: Cell<usize>,
    pub service: Cell<Service>,
    /// Calls that discovery has had.
    pub asked: Cell<usize>,
    /// How often a watch tells that nothing changed.
    pub beat: Cell<Duration>,
    /// How long the broker waits for discovery, if not as its settings have it.
    pub waits: Cell<Option<CallTimeouts>>,
    /// What discovery lists, by cell.
    pub listed: RefCell<Vec<Listed>>,
    /// The list that the broker finds in its configuration.
    pub known: RefCell<Option<Value>>,
    /// How many descriptors the broker may hold.
    pub sockets: Cell<usize>,
    /// What the broker finds in its environment.
    pub env: RefCell<Vec<(&'static str, &'static str)>>,
    pub yards: Vec<Value>,
    frames: Vec<SocketAddr>,
    features: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    watchers: RefCell<Vec<Sender<()>>>,
    generation: Cell<u64>,
}

/// Blocks lie side by side, 20 degrees each, from 100 E across the antimeridian.
pub fn extent(block: usize) -> [f64; 4] {
    let wrap = |lon: f64| if lon > 180.0 { lon - 360.0 } else { lon };
    let west = 100.0 + 20.0 * block as f64 + 0.5;
    [wrap(west), 40.0, wrap(west + 19.0), 50.0]
}

pub fn listener() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

/// Runs a test in a world of so many stores and blocks.
pub fn run<F: Future<Output = ()>>(stores: usize, test: impl FnOnce(Rc<World>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let guard = async {
        Timer::after(GUARD).await;
        panic!("the test hangs");
    };
    let world = World::new(executor.clone(), stores);
    async_io::block_on(executor.run(futures_lite::future::or(test(world), guard)));
}

impl World {
    fn new(executor: Rc<LocalExecutor<'static>>, stores: usize) -> Rc<Self> {
        let frames: Vec<_> = (0..stores).map(|_| listener()).collect();
        let features: Vec<_> = (0..stores).map(|_| listener()).collect();
        let (discovery, discovery_at) = listener();
        let listed = |(n, (_, at)): (usize, &(_, SocketAddr))| Listed {
            id: format!("s-{n}"),
            at: *at,
            state: "up",
            started: 0,
        };
        let world = Rc::new(Self {
            executor: executor.clone(),
            mood: RefCell::new(vec![Mood::Serves; stores]),
            sent: RefCell::default(),
            given_up: RefCell::default(),
            calls: Cell::default(),
            store_page: Cell::new(usize::MAX),
            service: Cell::default(),
            asked: Cell::default(),
            beat: Cell::new(Duration::from_secs(2)),
            waits: Cell::default(),
            listed: RefCell::new(frames.iter().enumerate().map(listed).collect()),
            known: RefCell::default(),
            sockets: Cell::new(1024),
            env: RefCell::default(),
            yards: (0..5 * stores).map(|n| yard(n, n % stores)).collect(),
            frames: frames.iter().map(|(_, at)| *at).collect(),
            features: features.iter().map(|(_, at)| *at).collect(),
            discovery: discovery_at,
            watchers: RefCell::default(),
            generation: Cell::new(1),
        });
        for (n, ((frames, _), (features, _))) in frames.into_iter().zip(features).enumerate() {
            let this = world.clone();
            world.each(frames, move |socket| this.clone().speak_frames(n, socket));
            let this = world.clone();
            world.each(features, move |socket| this.clone().speak_features(n, socket));
        }
        let this = world.clone();
        world.each(discovery, move |socket| this.clone().discover(socket));
        world
    }

    /// Serves every connection of a listener.
    fn each<F: Future<Output = Option<()>> + 'static>(
        self: &Rc<Self>,
        listener: Async<TcpListener>,
        serve: impl Fn(Async<std::net::TcpStream>) -> F + 'static,
    ) {
        let executor = self.executor.clone();
        let accept = async move {
            while let Ok((socket, _)) = listener.accept().await {
                executor.spawn(serve(socket)).detach();
            }
        };
        self.executor.spawn(accept).detach();
    }

    /// The settings, with aims and deadlines short enough to wait for in a test.
    pub fn settings(&self) -> Value {
        let stores = self.frames.len();
        let mut settings = settings::settings(3, stores, stores);
        settings["accounts"] = json!([{ "name": "west-shore-club", "quota_per_s": 1000.0, "share": 0.6 },
            { "name": "north-woods-club", "quota_per_s": 0.3, "share": 0.4 }]);
        settings["limits"]["max_open"] = json!(198);
        settings["invariants"]["cold_ms"] = json!(13000.0);
        settings
    }

    /// Discovery at one more address; gives that, and how many connections it has had there.
    pub fn more_discovery(self: &Rc<Self>) -> (SocketAddr, Rc<Cell<usize>>) {
        let ((listener, address), had) = (listener(), Rc::new(Cell::new(0)));
        let (this, had_here) = (self.clone(), had.clone());
        self.each(listener, move |socket| {
            had_here.set(had_here.get() + 1);
            this.clone().discover(socket)
        });
        (address, had)
    }

    /// An operator's file; the stores named in `offering` speak the feature form.
    pub fn operator(&self, offering: &[usize]) -> String {
        let mut text = String::from(
            "listen = \"127.0.0.1:0\"\ntitle = \"Hive weights\"\nlink_key = \"a key for the tests only\"\n\
             limit = 4\nclub_header = \"X-Club\"\ndefault_club = \"west-shore-club\"\n\
             [clubs]\nwest = \"west-shore-club\"\nnorth = \"north-woods-club\"\n\
             [[collection]]\nid = \"yards\"\ntitle = \"Yards\"\nclass = \"yard-compare\"\n",
        );
        for block in 0..self.frames.len() {
            text += &format!("[[block]]\nshard = {block}\nextent = {:?}\n", extent(block));
        }
        for store in offering {
            text += &format!("[[store]]\nid = \"s-{store}\"\nfeatures = \"{}\"\n", self.features[*store]);
        }
        text
    }

    /// Starts a broker and waits until it has a list of stores, be it the one that it finds in its configuration.
    pub async fn broker(&self, settings: Value, operator: Option<String>) -> Broker {
        let broker = self.start(settings, operator);
        until(|| broker.counters.lists.get() > 0).await;
        broker
    }

    /// Starts a broker.
    pub fn start(&self, settings: Value, operator: Option<String>) -> Broker {
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": { "sockets": self.sockets.get() }, "settings": settings,
        });
        if let Some(known) = &*self.known.borrow() {
            config["known"] = known.clone();
        }
        let var = |key: &str| match key {
            "LB_CONFIG" => Some("config".to_owned()),
            "LB_OPERATOR" => operator.as_ref().map(|_| "operator".to_owned()),
            _ => self.env.borrow().iter().find(|(name, _)| *name == key).map(|(_, v)| (*v).to_owned()),
        };
        let read = |path: &str| {
            Ok(if path == "config" { config.to_string() } else { operator.clone().unwrap_or_default() })
        };
        let mut config = Config::read(var, read).unwrap();
        config.calls = self.waits.get().unwrap_or(config.calls);
        Broker::start(config, Clock::new(), self.executor.clone()).unwrap()
    }

    /// Has discovery tell that a store drains, and waits until the broker has been told.
    pub async fn drain(&self, store: usize, broker: &Broker) {
        self.list_as(store, "draining", 0, broker).await;
    }

    /// Has discovery tell of a store's state and start, and waits until the broker has been told.
    pub async fn list_as(&self, store: usize, state: &'static str, started: u64, broker: &Broker) {
        let mut listed = self.listed.borrow()[store].clone();
        (listed.state, listed.started) = (state, started);
        self.tell(store, listed, broker).await;
    }

    /// Has discovery tell of a store, whatever it listed so far, and waits until the broker has been told.
    pub async fn tell(&self, store: usize, listed: Listed, broker: &Broker) {
        let lists = broker.counters.lists.get();
        self.change(store, listed);
        until(|| broker.counters.lists.get() > lists).await;
    }

    /// Has discovery list a store otherwise, and tell its watchers if it can.
    pub fn change(&self, store: usize, listed: Listed) {
        self.listed.borrow_mut()[store] = listed;
        self.generation.set(self.generation.get() + 1);
        for watcher in self.watchers.borrow().iter() {
            // A full channel, or a watch that has ended.
            let _ = watcher.try_send(());
        }
    }

    /// The whole list.
    pub fn list(&self) -> Value {
        let entry = |(n, listed): (usize, &Listed)| {
            json!({ "instanceId": listed.id, "hostPort": listed.at.to_string(), "zone": "toledo",
                "machineType": "small", "cell": n, "lifecycle": listed.state, "weight": 1.0,
                "startedAtMs": listed.started })
        };
        let all: Vec<Value> = self.listed.borrow().iter().enumerate().map(entry).collect();
        json!({ "generation": self.generation.get(), "reset": true, "instances": all })
    }

    /// Changes of an older list, in which no store was left.
    fn older(&self) -> Value {
        let mut list = self.list();
        (list["generation"], list["reset"]) = (json!(self.generation.get() - 1), json!(false));
        for entry in list["instances"].as_array_mut().into_iter().flatten() {
            entry["lifecycle"] = json!("removed");
        }
        list
    }

    async fn discover(self: Rc<Self>, socket: Async<std::net::TcpStream>) -> Option<()> {
        let mut stream = Stream::new(socket);
        let head = stream.head(Kind::Request, WITHIN).await.ok()?;
        let (service, watch) = (self.service.get(), head.query().contains("follow=1"));
        self.asked.set(self.asked.get() + 1);
        match service {
            Service::Begins => {
                stream.write(b"H", WITHIN).await.ok()?;
                return futures_lite::future::pending().await;
            }
            Service::Resets => return None,
            Service::Hangs => return futures_lite::future::pending().await,
            _ => {}
        }
        if service == Service::Refuses || (watch && service == Service::NoWatch) {
            return stream.write(&http::encode_response(503, "", b"", false), WITHIN).await.ok();
        }
        let text = || match service {
            Service::Indented => format!("{:#}\n", self.list()),
            _ => format!("{}\n", self.list()),
        };
        if !watch {
            let mut bytes = http::encode_response(200, "", text().as_bytes(), false);
            match service {
                Service::Opens => {
                    let end = bytes.iter().position(|byte| *byte == b'{').unwrap_or_default();
                    stream.write(&bytes[..=end], WITHIN).await.ok()?;
                    return futures_lite::future::pending().await;
                }
                Service::Cuts => bytes.truncate(bytes.len() / 2),
                Service::Garbles => bytes = http::encode_response(200, "", b"{\"generation\":true}", false),
                _ => {}
            }
            return stream.write(&bytes, WITHIN).await.ok();
        }
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write(head, WITHIN).await.ok()?;
        let (watcher, changed) = async_channel::bounded(8);
        self.watchers.borrow_mut().push(watcher);
        let mut line = text();
        match service {
            Service::Opens => line = "{".to_owned(),
            Service::Garbles => line = "{\"generation\":true}\n".to_owned(),
            Service::GoesBack => line += &format!("{}\n", self.older()),
            _ => {}
        }
        loop {
            let chunk = match service {
                Service::Indented => line.chars().map(|byte| format!("1\r\n{byte}\r\n")).collect(),
                _ => format!("{:x}\r\n{line}\r\n", line.len()),
            };
            if service == Service::Cuts {
                return stream.write(&chunk.as_bytes()[..chunk.len() / 2], WITHIN).await.ok();
            }
            stream.write(chunk.as_bytes(), WITHIN).await.ok()?;
            if service == Service::Mute {
                return futures_lite::future::pending().await;
            }
            let beat = async {
                Timer::after(self.beat.get()).await;
                "\n".to_owned()
            };
            let change = async {
                let _ = changed.recv().await;
                text()
            };
            line = futures_lite::future::or(change, beat).await;
            if self.service.get() == Service::Hangs {
                return futures_lite::future::pending().await;
            }
        }
    }

    async fn speak_frames(self: Rc<Self>, n: usize, socket: Async<std::net::TcpStream>) -> Option<()> {
        let socket = Rc::new(socket);
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        let fresh = self.mood.borrow()[n] == Mood::Silences;
        loop {
            let read = (&*socket).read(&mut piece).await.ok().filter(|read| *read > 0)?;
            buffer.extend_from_slice(&piece[..read]);
            while let Some((letter, rest, length)) = frame::split(&buffer).unwrap() {
                let rest = rest.to_vec();
                buffer.drain(..length);
                if letter == frame::WITHDRAW {
                    self.given_up.borrow_mut().push(String::from_utf8(rest).unwrap());
                    continue;
                }
                assert_eq!(letter, frame::CALL);
                let call = self.call();
                let parts: Vec<Sent> =
                    parts(&rest).into_iter().map(|part| Sent { store: n, call, ..part }).collect();
                self.sent.borrow_mut().extend_from_slice(&parts);
                match self.mood.borrow()[n] {
                    Mood::Resets => return None,
                    Mood::Silences if !fresh => continue,
                    _ => {}
                }
                for part in parts {
                    let (this, socket) = (self.clone(), socket.clone());
                    let serve = async move { this.answer_frame(part, &socket).await };
                    self.executor.spawn(serve).detach();
                }
            }
        }
    }

    fn call(&self) -> usize {
        self.calls.set(self.calls.get() + 1);
        self.calls.get()
    }

    async fn answer_frame(&self, sent: Sent, socket: &Async<std::net::TcpStream>) -> Option<()> {
        let mood = self.mood.borrow()[sent.store];
        let (end, value) = match mood {
            Mood::Half => {
                let frame = frame::frame(frame::ANSWER, format!("{} good 1 -\nv", sent.id).as_bytes());
                return http::write_all(socket, &frame[..frame.len() - 1], WITHIN).await.ok();
            }
            Mood::WrongId => {
                let frame = frame::frame(frame::ANSWER, b"ffff.0 good 1 -\nv");
                return http::write_all(socket, &frame, WITHIN).await.ok();
            }
            Mood::Silent | Mood::Resets => return None,
            Mood::Errs => ("bad", String::new()),
            Mood::Full => ("later", String::new()),
            Mood::Garbage => {
                let frame = frame::frame(frame::ANSWER, b"no line at all");
                return http::write_all(socket, &frame, WITHIN).await.ok();
            }
            Mood::Serves | Mood::Silences | Mood::BadReport | Mood::Twice | Mood::Noise | Mood::Beginning => {
                ("good", self.value(&sent))
            }
            Mood::Slow(ms) => {
                Timer::after(Duration::from_millis(ms)).await;
                ("good", self.value(&sent))
            }
        };
        // Scores fall with the shard, so that a test knows where a second step goes.
        let report = if mood == Mood::BadReport { "=,=" } else { "-" };
        let line = format!("{} {end} {} {report}\n{value}", sent.id, 1000 - sent.shard);
        let mut bytes = frame::frame(frame::ANSWER, line.as_bytes());
        match mood {
            Mood::Twice => bytes.extend(bytes.clone()),
            Mood::Noise => bytes.extend_from_slice(b"\xff\xff\xff\xff noise"),
            Mood::Beginning => bytes.extend_from_slice(b"\x20\0\0\0q12"),
            _ => {}
        }
        http::write_all(socket, &bytes, WITHIN).await.ok()
    }

    fn value(&self, sent: &Sent) -> String {
        match sent.text.split_once('?') {
            Some(("collections/yards/items", query)) => self.page(sent.shard, query),
            _ => format!("v{}-{}", sent.shard, sent.id.ends_with(".r")),
        }
    }

    async fn speak_features(self: Rc<Self>, n: usize, socket: Async<std::net::TcpStream>) -> Option<()> {
        let mut stream = Stream::new(socket);
        loop {
            let head = stream.head(Kind::Request, WITHIN).await.ok()?;
            assert_eq!(head.framing, Framing::Length(0));
            let (text, shard) = head.target.rsplit_once("&block=").unwrap();
            let text = text.strip_prefix('/').unwrap().to_owned();
            let id = head.header("X-Request-ID").unwrap().to_owned();
            let list = head.header("X-Timeout-Ms").unwrap().to_owned();
            let (shard, key) = (shard.parse().unwrap(), head.header("Idempotency-Key").map(str::to_owned));
            let sent = Sent { store: n, id, shard, list, text, features: true, key, call: self.call() };
            self.sent.borrow_mut().push(sent.clone());
            let mood = self.mood.borrow()[n];
            let (status, body) = match mood {
                Mood::Silent => return futures_lite::future::pending().await,
                Mood::Resets => return None,
                Mood::Errs => (500, String::new()),
                Mood::Full => (503, String::new()),
                Mood::Garbage => (200, "{\"type\":\"Feature".to_owned()),
                Mood::Slow(ms) => {
                    Timer::after(Duration::from_millis(ms)).await;
                    (200, self.value(&sent))
                }
                _ => (200, self.value(&sent)),
            };
            let bytes = http::encode_response(
                status,
                "Content-Type: application/geo+json\r\n",
                body.as_bytes(),
                true,
            );
            stream.write(&bytes, WITHIN).await.ok()?;
        }
    }

    /// A block's features, as a store gives them.
    fn page(&self, block: u32, query: &str) -> String {
        let given = |name: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            pair.map(|value| value.replace("%20", " "))
        };
        let limit: usize = given("limit").unwrap().parse().unwrap();
        let (after, ids, bbox) = (given("after"), given("ids"), given("bbox"));
        let wanted = |yard: &&Value| {
            let id = yard["id"].as_str().unwrap();
            yard["properties"]["block"] == block
                && after.as_deref().is_none_or(|after| id > after)
                && ids.as_deref().is_none_or(|only| id == only)
                && bbox.as_deref().is_none_or(|bbox| inside(yard, bbox))
        };
        let all: Vec<&Value> = self.yards.iter().filter(wanted).collect();
        let most = if block == 0 { limit.min(self.store_page.get()) } else { limit };
        let links =
            if all.len() > most { json!([{ "rel": "next", "href": "elsewhere" }]) } else { json!([]) };
        json!({ "type": "FeatureCollection", "links": links, "features": &all[..all.len().min(most)] })
            .to_string()
    }
}

/// The parts of a call: a line and a text each.
pub fn parts(mut rest: &[u8]) -> Vec<Sent> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n').unwrap();
        let line = std::str::from_utf8(&rest[..end]).unwrap();
        let [id, shard, list, size] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("a call's line: {line}")
        };
        let (text, left) = rest[end + 1..].split_at(size.parse().unwrap());
        let (text, list) = (String::from_utf8(text.to_vec()).unwrap(), list.to_owned());
        let key = list.split(',').find_map(|pair| pair.strip_prefix("k=")).map(str::to_owned);
        let (id, shard) = (id.to_owned(), shard.parse().unwrap());
        parts.push(Sent { store: 0, id, shard, list, text, features: false, key, call: 0 });
        rest = left;
    }
    parts
}

fn yard(n: usize, block: usize) -> Value {
    let [west, south, ..] = extent(block);
    json!({ "type": "Feature", "id": format!("yard-{n:03}"),
        "geometry": { "type": "Point", "coordinates": [west + 0.5 * (n % 7) as f64, south + 1.0] },
        "properties": { "block": block, "kg": 30.25 + n as f64 } })
}

/// Whether a yard lies in a box, worked out apart from the broker's own way.
pub fn inside(yard: &Value, bbox: &str) -> bool {
    let corners: Vec<f64> = bbox.split(',').map(|n| n.parse().unwrap()).collect();
    let at = |axis: usize| yard["geometry"]["coordinates"][axis].as_f64().unwrap();
    let across = match corners[0] <= corners[2] {
        true => corners[0] <= at(0) && at(0) <= corners[2],
        false => at(0) >= corners[0] || at(0) <= corners[2],
    };
    across && corners[1] <= at(1) && at(1) <= corners[3]
}

/// Waits for something that is on its way.
pub async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Sends a request's text on a connection of its own and reads the answer.
pub async fn exchange(at: SocketAddr, text: &[u8]) -> Option<Got> {
    let mut stream = Stream::new(Async::<std::net::TcpStream>::connect(at).await.unwrap());
    stream.write(text, WITHIN).await.ok()?;
    read(&mut stream).await
}

pub async fn read(stream: &mut Stream) -> Option<Got> {
    let head = stream.head(Kind::Response, WITHIN).await.ok()?;
    let body = stream.body(head.framing, WITHIN).await.ok()?;
    Some(Got { status: head.status, head, body })
}

pub async fn get(at: SocketAddr, target: &str, headers: &str) -> Got {
    let text = format!("GET {target} HTTP/1.1\r\nHost: test\r\n{headers}\r\n");
    exchange(at, text.as_bytes()).await.unwrap()
}

/// A call at the operators' door; gives its status.
pub async fn put(at: Option<SocketAddr>, path: &str, body: &str) -> u16 {
    let length = body.len();
    let text = format!("PUT {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {length}\r\n\r\n{body}");
    exchange(at.unwrap(), text.as_bytes()).await.unwrap().status
}

/// A query's text on the platform's protocol.
pub fn query(id: &str, class: &str, timeout: u64, shards: &[u32], predicate: &str) -> Vec<u8> {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<Value> = shards.iter().map(|s| json!({ "range": s, "portion": portion })).collect();
    let body = json!({ "ranges": ranges, "predicate": predicate }).to_string();
    format!(
        "POST /{class} HTTP/1.1\r\nHost: test\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: west-shore-club\r\nX-Timeout-Ms: {timeout}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
