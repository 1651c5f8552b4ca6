//! Clients that send one request after the other on a connection for as long as it is open, and judge the answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::{SoakKind, SoakSettings, World};

/// How long a client waits for one answer; a deadline of two seconds is sent along.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// `lossSlackMs` of the rules: a request that was sent this long before a close was not crossed by the close.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const STORE_BODY: &str = "the store's bytes";

/// A client.
pub(super) struct Client {
    world: Rc<World>,
    edges: Vec<SocketAddr>,
    kind: SoakKind,
    rng: Rng,
    number: usize,
    last_request: u64,
}

/// A request that can't be repeated, and what the client was told.
pub(super) struct SingleRunRequest {
    id: String,
    /// Whether the answer promised that the request has not run and never will.
    is_promised_not_run: bool,
}

/// How a request ended for the client.
enum Outcome {
    Answered {
        status: StatusCode,
        signature: String,
        body: Bytes,
    },
    /// The connection was closed before the request was written.
    NotSent,
    /// The connection ended without a complete answer.
    Closed {
        after: Duration,
    },
    TimedOut,
}

impl Client {
    pub(super) fn new(
        world: &Rc<World>,
        edges: &[SocketAddr],
        settings: &SoakSettings,
        number: usize,
    ) -> Self {
        let rng = Rng::with_seed(settings.seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let (world, edges) = (Rc::clone(world), edges.to_vec());
        Self { world, edges, kind: settings.kind, rng, number, last_request: 0 }
    }

    /// Sends requests until the run is over.
    pub(super) async fn run(mut self) {
        while !self.world.is_over() {
            let edge = self.edges[self.rng.usize(..self.edges.len())];
            if let Some(sender) = connect(edge).await {
                self.world.report.borrow_mut().count("connections");
                self.use_connection(edge, sender).await;
            } else {
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn use_connection(&mut self, edge: SocketAddr, mut sender: SendRequest<Full<Bytes>>) {
        while !self.world.is_over() {
            sleep(Duration::from_millis(self.rng.u64(0..100))).await;
            self.last_request += 1;
            let id = format!("{:08x}{:08x}", self.number, self.last_request);
            let is_idempotent = self.rng.bool();
            let outcome = send(&mut sender, &id, is_idempotent).await;
            let is_open = matches!(outcome, Outcome::Answered { .. }) && !sender.is_closed();
            self.judge(edge, &id, is_idempotent, outcome);
            if !is_open {
                return;
            }
        }
    }

    fn judge(&self, edge: SocketAddr, id: &str, is_idempotent: bool, outcome: Outcome) {
        let is_promised_not_run = match outcome {
            Outcome::NotSent => return,
            Outcome::Answered { status, signature, body } => {
                self.judge_answer(edge, id, status, &signature, &body);
                matches!(status.as_u16(), 408 | 421 | 429 | 503)
            }
            Outcome::Closed { after } => {
                self.judge_close(edge, id, after);
                false
            }
            Outcome::TimedOut => {
                self.world.report.borrow_mut().count("no answer in time");
                if self.kind == SoakKind::Planned {
                    self.world.violation(format!("{edge}: {id} had no answer within {ANSWER_TIMEOUT:?}"));
                }
                false
            }
        };
        if !is_idempotent {
            let request = SingleRunRequest { id: id.to_owned(), is_promised_not_run };
            self.world.single_run_requests.borrow_mut().push(request);
        }
    }

    fn judge_answer(&self, edge: SocketAddr, id: &str, status: StatusCode, signature: &str, body: &[u8]) {
        self.world.report.borrow_mut().count(match status.as_u16() {
            200..=299 => "successes",
            429 | 503 => "refusals",
            404 => "answers of 404",
            400..=499 => "other answers of 4xx",
            _ => "other answers of 5xx",
        });
        let is_own = signature.starts_with("stamp.") && signature.ends_with(&format!(".{id}"));
        if status.is_success() && !(is_own && body == STORE_BODY.as_bytes()) {
            self.world.violation(format!("MIXED {edge}: {id} got {status} signed `{signature}`"));
        }
        if self.kind == SoakKind::Planned && status == StatusCode::NOT_FOUND {
            self.world.violation(format!("CONFIG {edge}: {id} got {status}, and its route is there"));
        }
    }

    /// Around planned work a connection must not end without an answer to a request that was handed on, or that was read long ago.
    fn judge_close(&self, edge: SocketAddr, id: &str, after: Duration) {
        self.world.report.borrow_mut().count("closed without an answer");
        if self.kind != SoakKind::Planned {
            return;
        }
        if self.world.runs(id) > 0 {
            self.world.violation(format!("LOST {edge}: {id} ran, and its connection closed after {after:?}"));
        } else if after > LOSS_SLACK {
            self.world.violation(format!("LOST {edge}: the connection of {id} closed after {after:?}"));
        }
    }
}

async fn connect(edge: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(edge)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}

async fn send(sender: &mut SendRequest<Full<Bytes>>, id: &str, is_idempotent: bool) -> Outcome {
    let path = if is_idempotent { "/weights/hive-7" } else { "/once/hive-7" };
    let request = Request::post(path)
        .header("Host", "hives.example")
        .header("Attempt-Id", id)
        .header("Deadline-Ms", "2000")
        .body(Full::new(Bytes::from_static(b"query")))
        .expect("a request");
    let sent_at = Instant::now();
    let exchange = async {
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                return if is_unsent {
                    Outcome::NotSent
                } else {
                    Outcome::Closed { after: sent_at.elapsed() }
                };
            }
        };
        let status = response.status();
        let signature = response.headers().get("server-signature").and_then(|value| value.to_str().ok());
        let signature = signature.unwrap_or_default().to_owned();
        match response.into_body().collect().await {
            Ok(body) => Outcome::Answered { status, signature, body: body.to_bytes() },
            Err(_) => Outcome::Closed { after: sent_at.elapsed() },
        }
    };
    timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or(Outcome::TimedOut)
}

/// Checks that no request that can't be repeated ran twice, or ran although the client was told that it did not.
pub(super) fn check_runs(world: &World) {
    for request in world.single_run_requests.borrow().iter() {
        let runs = world.runs(&request.id);
        if runs > 1 {
            world.violation(format!("TWICE {} ran {runs} times", request.id));
        }
        if runs > 0 && request.is_promised_not_run {
            world.violation(format!("REFUSED {} was promised not to run, and ran", request.id));
        }
    }
}
