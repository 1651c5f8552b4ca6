//! A store that breaks off, answers late, twice, early, for somebody else or not at all, and keeps a ledger of what it ran.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::common::http::header;

/// Bodies of requests consist of this.
pub const BODY_BYTE: u8 = b'b';

/// What an unruly store does about one request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Runs it and answers.
    Answer,
    /// Runs it, answers, and says the same once more behind the answer.
    AnswerTwice,
    /// Runs it; the answer comes only when the next request stands on the connection, in front of that one's.
    AnswerLate,
    /// Runs it and answers; a second copy comes when the next request stands on the connection, in front of that one's answer.
    AnswerAgainLate,
    /// Runs it and answers before the body is read, and reads the body then.
    AnswerEarly,
    /// Runs it; a part of the answer comes, in percent, and the connection ends.
    AnswerCut { percent: u8, reset: bool },
    /// Runs it; the answer has no length and ends with the connection, whole or after a part of it.
    AnswerUnframed { cut_percent: Option<u8>, reset: bool },
    /// Runs it; the answer carries another request's id.
    AnswerOther,
    /// Runs it and answers with a status of its own and no word on whether it ran.
    OwnFailure { status: u16 },
    /// Says that it does not run it, and does not.
    Refuse { status: u16 },
    /// Runs it; what comes is no answer.
    Garbage,
    /// Says nothing until the edge closes the connection.
    Silent { runs: bool },
    /// Resets the connection when it has read the request.
    Reset { runs: bool },
    /// Resets the connection when the head is there, before the body is read; does not run it.
    ResetBeforeBody,
}

/// What all stores of one case have done.
#[derive(Debug, Default)]
pub struct RunLedger {
    /// By request: the stores that ran it.
    pub runs: BTreeMap<String, Vec<String>>,
    /// By request and signature: the status that was said.
    pub said: BTreeMap<(String, String), u16>,
    /// What stores read that no client sent.
    pub unasked: Vec<String>,
}

/// The signature under which a store answers a request.
pub fn signature(store: &str, id: &str) -> String {
    format!("{store}.{id}")
}

/// The whole body of a store's answer to a request.
pub fn body_of(store: &str, id: &str) -> String {
    format!("{id} ran at {store}{}", ".".repeat(200))
}

/// A store that follows its list of behaviours, and then answers properly.
pub struct UnrulyStore {
    pub id: String,
    pub address: SocketAddr,
}

struct State {
    id: String,
    behaviours: RefCell<VecDeque<Behaviour>>,
    ledger: Rc<RefCell<RunLedger>>,
}

impl UnrulyStore {
    pub async fn start(id: &str, behaviours: Vec<Behaviour>, ledger: &Rc<RefCell<RunLedger>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let state = Rc::new(State {
            id: id.to_owned(),
            behaviours: RefCell::new(behaviours.into()),
            ledger: Rc::clone(ledger),
        });
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move { state.serve(stream).await });
            }
        });
        Self { id: id.to_owned(), address }
    }
}

/// One request of which the head has been read.
struct Incoming {
    id: String,
    body_left: usize,
}

impl State {
    async fn serve(&self, mut stream: TcpStream) {
        let mut held: Option<String> = None;
        while let Some(incoming) = self.read_head(&mut stream).await {
            if let Some(late) = held.take() {
                if stream.write_all(late.as_bytes()).await.is_err() {
                    return;
                }
            }
            let behaviour = self.behaviours.borrow_mut().pop_front().unwrap_or(Behaviour::Answer);
            match self.act(&behaviour, &incoming, &mut stream).await {
                Next::KeepsConnection => {}
                Next::HoldsBack(late) => held = Some(late),
                Next::Ends => return,
            }
        }
    }

    async fn act(&self, behaviour: &Behaviour, incoming: &Incoming, stream: &mut TcpStream) -> Next {
        let id = incoming.id.as_str();
        let whole = self.answer(200, id, id);
        if matches!(behaviour, Behaviour::ResetBeforeBody) {
            return reset(stream);
        }
        if matches!(behaviour, Behaviour::AnswerEarly) {
            self.ran(id);
            if stream.write_all(whole.as_bytes()).await.is_err() {
                return Next::Ends;
            }
            return self.read_body(stream, incoming.body_left).await;
        }
        if let Next::Ends = self.read_body(stream, incoming.body_left).await {
            return Next::Ends;
        }
        match behaviour {
            Behaviour::Answer | Behaviour::AnswerEarly | Behaviour::ResetBeforeBody => {
                self.ran(id);
                say(stream, &whole).await
            }
            Behaviour::AnswerTwice => {
                self.ran(id);
                say(stream, &(whole.clone() + &whole)).await
            }
            Behaviour::AnswerAgainLate => {
                self.ran(id);
                match say(stream, &whole).await {
                    Next::KeepsConnection => Next::HoldsBack(whole),
                    next => next,
                }
            }
            Behaviour::AnswerLate => {
                self.ran(id);
                Next::HoldsBack(whole)
            }
            Behaviour::AnswerCut { percent, reset: by_reset } => {
                self.ran(id);
                self.part(&whole, *percent, *by_reset, stream).await
            }
            Behaviour::AnswerUnframed { cut_percent, reset: by_reset } => {
                self.ran(id);
                let unframed =
                    whole.replace(&format!("Content-Length: {}\r\n", body_of(&self.id, id).len()), "");
                self.part(&unframed, cut_percent.unwrap_or(100), *by_reset && cut_percent.is_some(), stream)
                    .await
            }
            Behaviour::AnswerOther => {
                self.ran(id);
                say(stream, &self.answer(200, "somebody-else", id)).await
            }
            Behaviour::OwnFailure { status } => {
                self.ran(id);
                say(stream, &self.answer(*status, id, id)).await
            }
            Behaviour::Refuse { status } => {
                let refusal =
                    self.answer(*status, id, id).replace("\r\n\r\n", "\r\nNot-Executed: true\r\n\r\n");
                say(stream, &refusal).await
            }
            Behaviour::Garbage => {
                self.ran(id);
                say(stream, "\u{1}HTTP garbage\r\n\r\n").await;
                Next::Ends
            }
            Behaviour::Silent { runs } => {
                if *runs {
                    self.ran(id);
                }
                let mut rest = [0; 64];
                while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
                Next::Ends
            }
            Behaviour::Reset { runs } => {
                if *runs {
                    self.ran(id);
                }
                reset(stream)
            }
        }
    }

    async fn part(&self, text: &str, percent: u8, by_reset: bool, stream: &mut TcpStream) -> Next {
        let end = text.len() * usize::from(percent.min(100)) / 100;
        say(stream, &text[..end]).await;
        if by_reset {
            return reset(stream);
        }
        let _ = stream.shutdown().await;
        Next::Ends
    }

    /// Reads a head byte by byte, so that the body stays unread.
    async fn read_head(&self, stream: &mut TcpStream) -> Option<Incoming> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let length = header(&head, "content-length").map_or(Some(0), |length| length.parse().ok());
        match (head.starts_with("POST /"), header(&head, "attempt-id"), length) {
            (true, Some(id), Some(body_left)) => Some(Incoming { id, body_left }),
            _ => {
                self.ledger.borrow_mut().unasked.push(head);
                None
            }
        }
    }

    async fn read_body(&self, stream: &mut TcpStream, length: usize) -> Next {
        let mut body = vec![0; length];
        if stream.read_exact(&mut body).await.is_err() {
            return Next::Ends;
        }
        if body.iter().any(|byte| *byte != BODY_BYTE) {
            self.ledger.borrow_mut().unasked.push(String::from_utf8_lossy(&body).into_owned());
        }
        Next::KeepsConnection
    }

    fn ran(&self, id: &str) {
        self.ledger.borrow_mut().runs.entry(id.to_owned()).or_default().push(self.id.clone());
    }

    fn answer(&self, status: u16, answered_id: &str, id: &str) -> String {
        let signature = signature(&self.id, id);
        self.ledger.borrow_mut().said.insert((id.to_owned(), signature.clone()), status);
        let body = body_of(&self.id, id);
        format!(
            "HTTP/1.1 {status} Said\r\nAttempt-Id: {answered_id}\r\nServer-Signature: {signature}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

enum Next {
    KeepsConnection,
    HoldsBack(String),
    Ends,
}

async fn say(stream: &mut TcpStream, text: &str) -> Next {
    match stream.write_all(text.as_bytes()).await {
        Ok(()) => Next::KeepsConnection,
        Err(_) => Next::Ends,
    }
}

fn reset(stream: &mut TcpStream) -> Next {
    stream.set_zero_linger().expect("linger");
    Next::Ends
}
