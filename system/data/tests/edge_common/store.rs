//! A stand-in store: it hears requests and follows a script, one turn for each request.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use gingerledge_system_testkit::Transcript;

use crate::common::http::{header, read_request};

/// What the store does about one request. `{id}` stands for the request's `Attempt-Id`.
pub enum Turn {
    /// Says this and keeps the connection.
    Say(String),
    /// Says this and closes the connection.
    SayAndClose(String),
    /// Says the first, waits for [`Store::go_on`], says the second.
    SayInParts(String, String),
    /// Says the first, and the second as soon as the next request has come on the same connection, whose turn is skipped.
    SayLate(String, String),
    /// Resets the connection.
    Reset,
    /// Says nothing until the connection is closed.
    Silent,
}

/// A stand-in store.
pub struct Store {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    id: String,
    turns: RefCell<VecDeque<Turn>>,
    heard: RefCell<Vec<String>>,
    connections: Cell<usize>,
    closed: Cell<usize>,
    gate: Notify,
    transcript: Option<Transcript>,
}

/// A whole answer with the stamp.
pub fn answer(status: &str, more_headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Signature: stamp\r\n{more_headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a stream, and chunks.
pub fn events(chunks: &[&str]) -> String {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: stamp\r\nContent-Type: text/event-stream\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let chunks = chunks.iter().map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    std::iter::once(head.to_owned()).chain(chunks).collect()
}

/// One event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

/// A success with a body.
pub fn ok(body: &str) -> Turn {
    Turn::Say(answer("200 OK", "", body))
}

/// A full store's refusal.
pub fn full() -> Turn {
    Turn::Say(answer("503 Service Unavailable", "Not-Executed: true\r\n", ""))
}

/// A store's own error.
pub fn own_error() -> Turn {
    Turn::Say(answer("500 Internal Server Error", "", "oops"))
}

impl Store {
    pub async fn start(id: &str, transcript: Option<&Transcript>, turns: Vec<Turn>) -> Store {
        Self::start_in(id, super::ZONE, transcript, turns).await
    }

    pub async fn start_in(id: &str, zone: &str, transcript: Option<&Transcript>, turns: Vec<Turn>) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let state = Rc::new(State {
            id: id.to_owned(),
            turns: RefCell::new(turns.into()),
            heard: RefCell::default(),
            connections: Cell::new(0),
            closed: Cell::new(0),
            gate: Notify::new(),
            transcript: transcript.cloned(),
        });
        let accepting = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.set(accepting.connections.get() + 1);
                let serving = Rc::clone(&accepting);
                tokio::task::spawn_local(async move {
                    serving.serve(stream).await;
                    serving.closed.set(serving.closed.get() + 1);
                });
            }
        });
        Store { id: id.to_owned(), zone: zone.to_owned(), address, state }
    }

    /// All requests heard, whole.
    pub fn heard(&self) -> Vec<String> {
        self.state.heard.borrow().clone()
    }

    /// The same store, said to be elsewhere.
    pub fn moved_to(self, address: &str) -> Store {
        Store { address: address.parse().expect("address"), ..self }
    }

    /// Connections that were opened.
    pub fn connections(&self) -> usize {
        self.state.connections.get()
    }

    /// Connections that have ended.
    pub fn closed(&self) -> usize {
        self.state.closed.get()
    }

    /// Lets the second part of an answer go.
    pub fn go_on(&self) {
        self.state.gate.notify_one();
    }
}

impl State {
    async fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            self.note(&request);
            let turn = self.turns.borrow_mut().pop_front();
            let turn = turn.unwrap_or_else(|| Turn::Say(answer("200 OK", "", &self.id)));
            if !self.take(turn, &request, &mut stream).await {
                return;
            }
        }
    }

    /// Follows a turn; says whether the connection stays.
    async fn take(&self, turn: Turn, request: &str, stream: &mut TcpStream) -> bool {
        match turn {
            Turn::Say(text) => self.say(&text, request, stream).await,
            Turn::SayAndClose(text) => {
                self.say(&text, request, stream).await;
                let _ = stream.shutdown().await;
                false
            }
            Turn::SayInParts(first, second) => {
                self.say(&first, request, stream).await;
                self.gate.notified().await;
                self.say(&second, request, stream).await
            }
            Turn::SayLate(first, second) => {
                self.say(&first, request, stream).await;
                let Some(next) = read_request(stream).await else { return false };
                self.note(&next);
                self.say(&second, request, stream).await
            }
            Turn::Reset => {
                stream.set_zero_linger().expect("linger");
                false
            }
            Turn::Silent => {
                let mut rest = [0; 64];
                while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
                false
            }
        }
    }

    fn note(&self, request: &str) {
        self.heard.borrow_mut().push(request.to_owned());
        if let Some(transcript) = &self.transcript {
            transcript.note(&format!("edge to {}", self.id), request);
        }
    }

    async fn say(&self, text: &str, request: &str, stream: &mut TcpStream) -> bool {
        let text = text.replace("{id}", &header(request, "attempt-id").unwrap_or_default());
        if let Some(transcript) = &self.transcript {
            transcript.note(&format!("{} to edge", self.id), &text);
        }
        stream.write_all(text.as_bytes()).await.is_ok()
    }
}
