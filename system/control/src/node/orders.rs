//! Orders to stores to load a version. One task and one connection for each load. An order is sent only while the lease holds, which is
//! looked at again before each.
//!
//! Whether a store that need not wait for its requests has loaded is asked by the same order again, which it answers at once: what
//! reports say is some hundred milliseconds old, and the next step of a trainer may be waiting. Where a store waits for its requests
//! first, which may take long, its reports are asked for.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::{Order, Report};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{sleep, timeout, Instant};

use super::clock::Clock;
use crate::coordinator::load_schedule::LoadOutcome;
use crate::coordinator::weights::LoadMethod;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Before a load was seen, a store is asked first after this long.
const FIRST_QUESTION: Duration = Duration::from_millis(260);
/// The first question comes at this part of the usual time of a load, in percent, so that a quicker one is noticed.
const FIRST_QUESTION_PERCENT: u32 = 95;
const LEAST_PAUSE: Duration = Duration::from_millis(60);
/// A load that waits for nothing shows in reports after about this long.
const FIRST_REPORT: Duration = Duration::from_millis(330);
const LEAST_REPORT_PAUSE: Duration = Duration::from_millis(150);
const MOST_PAUSE: Duration = Duration::from_millis(400);
/// Requests that run first may take long; after this the order is sent again.
const LONGEST_LOAD: Duration = Duration::from_secs(12);
const MOST_ANSWER_BYTES: usize = 256 * 1024;

/// Until when orders may be sent, shared with the tasks that send them.
#[derive(Clone, Debug)]
pub(super) struct OrderGate {
    clock: Clock,
    open_until_ms: Arc<AtomicU64>,
}

impl OrderGate {
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, open_until_ms: Arc::new(AtomicU64::new(0)) }
    }

    pub(super) fn open_until(&self, until: Duration) {
        self.open_until_ms.store(u64::try_from(until.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    pub(super) fn close(&self) {
        self.open_until_ms.store(0, Ordering::Relaxed);
    }

    fn is_open(&self) -> bool {
        self.clock.now().as_millis() < u128::from(self.open_until_ms.load(Ordering::Relaxed))
    }
}

/// What became of a load.
#[derive(Clone, Debug)]
pub(super) struct OrderNews {
    pub id: String,
    pub model: String,
    pub version: u64,
    pub end: LoadOutcome,
}

/// One load to be carried out.
#[derive(Debug)]
pub(super) struct LoadTask {
    pub id: String,
    pub address: SocketAddr,
    pub order: Order,
    /// How long a load usually takes, as far as that is known.
    pub usual: Option<Duration>,
    pub gate: OrderGate,
    pub news: UnboundedSender<OrderNews>,
}

impl LoadTask {
    pub(super) async fn run(self) {
        let end = self.load().await.unwrap_or(LoadOutcome::Failed);
        let Order { model, version, .. } = self.order;
        // Nobody listens any more while the process ends.
        let _ = self.news.send(OrderNews { id: self.id, model, version, end });
    }

    async fn load(&self) -> Option<LoadOutcome> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let connection = tokio::spawn(connection);
        let end = self.order_and_watch(&mut sender).await;
        connection.abort();
        end
    }

    async fn order_and_watch(&self, sender: &mut SendRequest<Full<Bytes>>) -> Option<LoadOutcome> {
        match self.send_order(sender).await? {
            StatusCode::ACCEPTED if self.order.method == LoadMethod::Blocking.wire_name() => {
                self.watch_reports(sender).await
            }
            StatusCode::ACCEPTED => self.watch(sender).await,
            StatusCode::CONFLICT => Some(LoadOutcome::Busy),
            status => Some(self.end_of(status)),
        }
    }

    /// Sends the order again until the store says that it holds.
    async fn watch(&self, sender: &mut SendRequest<Full<Bytes>>) -> Option<LoadOutcome> {
        let begun = Instant::now();
        let usual = self.usual.map(|usual| usual * FIRST_QUESTION_PERCENT / 100);
        sleep(usual.unwrap_or(FIRST_QUESTION)).await;
        let mut pause = LEAST_PAUSE;
        while begun.elapsed() < LONGEST_LOAD {
            match self.send_order(sender).await? {
                // It is under way still.
                StatusCode::ACCEPTED | StatusCode::CONFLICT => {}
                status => return Some(self.end_of(status)),
            }
            sleep(pause).await;
            pause = (pause * 5 / 4).min(MOST_PAUSE);
        }
        None
    }

    /// Asks for reports until one shows the version.
    async fn watch_reports(&self, sender: &mut SendRequest<Full<Bytes>>) -> Option<LoadOutcome> {
        let begun = Instant::now();
        let mut pause = FIRST_REPORT;
        while begun.elapsed() < LONGEST_LOAD && self.gate.is_open() {
            sleep(pause).await;
            pause = if pause == FIRST_REPORT { LEAST_REPORT_PAUSE } else { (pause * 3 / 2).min(MOST_PAUSE) };
            let (status, body) = self.call(sender, "GET", "/report", Vec::new()).await?;
            if status != StatusCode::OK {
                return None;
            }
            let report: Report = serde_json::from_slice(&body).ok()?;
            let loaded = report.models.iter().find(|loaded| loaded.name == self.order.model);
            if loaded.is_some_and(|loaded| loaded.version >= self.order.version) {
                return Some(LoadOutcome::Done);
            }
        }
        None
    }

    /// What it means that an order is not under way.
    fn end_of(&self, status: StatusCode) -> LoadOutcome {
        match status {
            StatusCode::OK => LoadOutcome::Done,
            StatusCode::PRECONDITION_FAILED => LoadOutcome::Fenced,
            other => {
                log::info!("store {} refused an order: {other}", self.id);
                LoadOutcome::Failed
            }
        }
    }

    /// Sends the order, if the lease still holds.
    async fn send_order(&self, sender: &mut SendRequest<Full<Bytes>>) -> Option<StatusCode> {
        if !self.gate.is_open() {
            return None;
        }
        let body = serde_json::to_vec(&self.order).ok()?;
        self.call(sender, "POST", "/order", body).await.map(|(status, _)| status)
    }

    async fn call(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", self.address.to_string())
            .header("Expected-Instance", &self.id)
            .header("Content-Type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let exchange = async {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MOST_ANSWER_BYTES).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        timeout(ANSWER_TIMEOUT, exchange).await.ok()?
    }
}
