//! A stand-in store that makes texts: what it does about each request is up to the test.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::EVENTS;
use crate::common::http::{header, read_request};

/// One request as the store heard it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The whole request.
    pub text: String,
    /// Its `Attempt-Id`.
    pub id: String,
    /// Its `Last-Event-Id`.
    pub last_event: Option<u64>,
    /// Its `Expect-Version`.
    pub expect_version: Option<u64>,
    /// How many requests with this id came before it.
    pub nth: usize,
    pub at: Instant,
}

/// What the store does about a request.
pub enum Does {
    /// The rest of the text, from the event after the last one that the caller has.
    Stream,
    /// Events up to this one, and then the connection is closed.
    CutAfter(u64),
    /// Events up to this one, the beginning of the next, and then the connection is closed.
    CutWithin(u64),
    /// Events up to this one, and then nothing.
    HangAfter(u64),
    /// The rest of the text; from this event on, weights of this version make it.
    ChangeAt(u64, u64),
    /// The event with this id is left out.
    LeaveOut(u64),
    /// These bytes in chunks, as they are, and the proper end.
    Chunks(Vec<String>),
    /// The proper end at once, and no version, since no event was made.
    NothingMore,
    /// A whole answer of this status with the stamp `stamp of ID`.
    Answer(&'static str),
    /// A whole answer of this status, and the same answer again in front of the one to the next request on the connection.
    AnswerAgainLate(&'static str),
    /// 503 with `Not-Executed`.
    Refuse,
    /// Nothing.
    Silence,
}

/// A stand-in store.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    state: Rc<State>,
}

type Script = Box<dyn Fn(&Asked) -> Does>;

struct State {
    id: String,
    version: Cell<u64>,
    script: Script,
    heard: RefCell<Vec<Asked>>,
    open: Cell<usize>,
    ended: RefCell<Vec<(String, Instant)>>,
}

impl Engine {
    /// A store whose weights have a version.
    pub async fn start(id: &str, version: u64, script: impl Fn(&Asked) -> Does + 'static) -> Engine {
        let listener = TcpListener::bind(super::loopback()).await.expect("listener");
        let address = listener.local_addr().expect("address");
        let state = Rc::new(State {
            id: id.to_owned(),
            version: Cell::new(version),
            script: Box::new(script),
            heard: RefCell::default(),
            open: Cell::new(0),
            ended: RefCell::default(),
        });
        let accepting = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = Rc::clone(&accepting);
                tokio::task::spawn_local(async move {
                    serving.open.set(serving.open.get() + 1);
                    serving.serve(stream).await;
                    serving.open.set(serving.open.get() - 1);
                });
            }
        });
        Engine { id: id.to_owned(), address, state }
    }

    pub fn version(&self) -> u64 {
        self.state.version.get()
    }

    pub fn set_version(&self, version: u64) {
        self.state.version.set(version);
    }

    pub fn heard(&self) -> Vec<Asked> {
        self.state.heard.borrow().clone()
    }

    /// Requests heard with this id.
    pub fn heard_of(&self, id: &str) -> Vec<Asked> {
        self.heard().into_iter().filter(|asked| asked.id == id).collect()
    }

    /// When the last event of an id was made.
    pub fn ended(&self, id: &str) -> Option<Instant> {
        self.state.ended.borrow().iter().rev().find(|(ended, _)| ended == id).map(|&(_, at)| at)
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.state.open.get()
    }
}

impl State {
    async fn serve(&self, mut stream: TcpStream) {
        let mut surplus: Option<String> = None;
        while let Some(text) = read_request(&mut stream).await {
            if let Some(answer) = surplus.take() {
                say(&mut stream, &answer).await;
            }
            let number = |name| header(&text, name).and_then(|value| value.parse().ok());
            let id = header(&text, "attempt-id").expect("an id");
            let nth = self.heard.borrow().iter().filter(|asked| asked.id == id).count();
            let (last_event, expect_version) = (number("last-event-id"), number("expect-version"));
            let expected = header(&text, "expected-instance");
            let asked = Asked { id, last_event, expect_version, nth, at: Instant::now(), text };
            self.heard.borrow_mut().push(asked.clone());
            let misdirected = expected.as_ref() != Some(&self.id)
                || asked.expect_version.is_some_and(|version| version != self.version.get());
            let does =
                if misdirected { Does::Answer("421 Misdirected Request") } else { (self.script)(&asked) };
            if let Does::AnswerAgainLate(status) = does {
                surplus = Some(whole_answer(status, &asked.id));
            }
            if !self.take(&asked, does, &mut stream).await {
                return;
            }
        }
    }

    /// Says whether the connection stays.
    async fn take(&self, asked: &Asked, does: Does, stream: &mut TcpStream) -> bool {
        let (id, version) = (&asked.id, self.version.get());
        let first = asked.last_event.unwrap_or(0) + 1;
        let events = |last: u64| (first..=last).map(|event| piece(id, event)).collect::<Vec<_>>();
        match does {
            Does::Answer(status) | Does::AnswerAgainLate(status) => {
                say(stream, &whole_answer(status, id)).await
            }
            Does::Refuse => {
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                say(stream, &answer).await
            }
            Does::NothingMore => {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: stamp of {id}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                );
                say(stream, &answer).await
            }
            Does::Silence => hang(stream).await,
            Does::Stream => self.stream(asked, stream, version, &events(EVENTS)).await,
            Does::Chunks(pieces) => self.stream(asked, stream, version, &pieces).await,
            Does::LeaveOut(left_out) => {
                let pieces: Vec<String> = (first..=EVENTS)
                    .filter(|&event| event != left_out)
                    .map(|event| piece(id, event))
                    .collect();
                self.stream(asked, stream, version, &pieces).await
            }
            Does::ChangeAt(at, to) => {
                let change = |event| format!("weight-versions: {to}\n{}", piece(id, event));
                let pieces: Vec<String> = (first..=EVENTS)
                    .map(|event| if event == at { change(event) } else { piece(id, event) })
                    .collect();
                self.stream(asked, stream, version, &pieces).await
            }
            Does::CutAfter(last) => {
                head_and(stream, id, version, &events(last)).await;
                false
            }
            Does::CutWithin(last) => {
                let mut pieces = events(last);
                pieces.push(format!("id: {}\ndata: half an ev", last + 1));
                head_and(stream, id, version, &pieces).await;
                false
            }
            Does::HangAfter(last) => {
                head_and(stream, id, version, &events(last)).await;
                hang(stream).await
            }
        }
    }

    async fn stream(&self, asked: &Asked, stream: &mut TcpStream, version: u64, pieces: &[String]) -> bool {
        head_and(stream, &asked.id, version, pieces).await;
        self.ended.borrow_mut().push((asked.id.clone(), Instant::now()));
        say(stream, "0\r\n\r\n").await
    }
}

fn whole_answer(status: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Signature: stamp of {id}\r\nContent-Length: 2\r\n\r\nok"
    )
}

fn piece(id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {id}.{event}\n\n")
}

async fn head_and(stream: &mut TcpStream, id: &str, version: u64, pieces: &[String]) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: stamp of {id}\r\nWeight-Versions: {version}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    say(stream, &head).await;
    for piece in pieces {
        say(stream, &format!("{:x}\r\n{piece}\r\n", piece.len())).await;
    }
}

async fn say(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn hang(stream: &mut TcpStream) -> bool {
    let mut rest = [0; 64];
    while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
    false
}
