//! Carries out one load of a version at a store: a task with its own connection that sends the order and polls until the store
//! has the version. An order is sent only while the coordinator lease is held, which is checked again before each.
//!
//! A store that loads while its requests continue is polled by sending the same order again, which it answers at once: its
//! reports are some hundred milliseconds old, and the next step of a trainer may be waiting. For a store that lets its requests
//! end first, which may take long, the reports are polled instead.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::{Order, Report};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::{ensure, ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout, Instant};

use super::order_gate::OrderGate;
use crate::coordinator::load_schedule::LoadOutcome;
use crate::coordinator::weights::LoadMethod;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before the first poll by order while the typical duration of a load is unknown.
const FIRST_ORDER_POLL_DELAY: Duration = Duration::from_millis(260);
/// Delay before the first poll by order, in percent of the typical duration of a load, so that a quicker load is noticed.
const FIRST_ORDER_POLL_DELAY_PERCENT: u32 = 95;
const MIN_ORDER_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Delay before the first poll of reports: the approximate time after which reports show a load that does not wait for requests.
const FIRST_REPORT_POLL_DELAY: Duration = Duration::from_millis(330);
const MIN_REPORT_POLL_INTERVAL: Duration = Duration::from_millis(150);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum duration of a load, since requests that end first may take long. After this time the order is sent again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// An error because of which the outcome of a load is not known.
#[derive(Debug, Snafu)]
enum LoadError {
    #[snafu(display("connecting timed out"))]
    ConnectTimeout { source: Elapsed },
    #[snafu(display("connection failed: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("HTTP exchange failed: {source}"))]
    Http { source: hyper::Error },
    #[snafu(display("request invalid: {source}"))]
    Request { source: hyper::http::Error },
    #[snafu(display("order can't be encoded: {source}"))]
    Encode { source: serde_json::Error },
    #[snafu(display("response timed out"))]
    ResponseTimeout { source: Elapsed },
    #[snafu(display("response body unreadable: {source}"))]
    Body { source: Box<dyn Error + Send + Sync> },
    #[snafu(display("report refused: {status}"))]
    ReportRefused { status: StatusCode },
    #[snafu(display("report unreadable: {source}"))]
    Report { source: serde_json::Error },
    #[snafu(display("coordinator lease not held"))]
    LeaseNotHeld,
    #[snafu(display("not loaded in time"))]
    LoadTimeout,
}

/// The result of a load at a store.
#[derive(Clone, Debug)]
pub(in crate::node) struct LoadResult {
    /// Instance id of the store.
    pub id: String,
    pub model: String,
    pub version: u64,
    pub outcome: LoadOutcome,
}

/// A load to be carried out.
#[derive(Debug)]
pub(super) struct LoadTask {
    /// Instance id of the store.
    pub id: String,
    pub address: SocketAddr,
    pub order: Order,
    pub method: LoadMethod,
    /// Typical duration of a load, if it is known.
    pub typical_duration: Option<Duration>,
    pub gate: OrderGate,
    pub results: UnboundedSender<LoadResult>,
}

/// The intervals between polls: a first one, followed by growing ones.
#[derive(Debug)]
struct PollIntervals {
    next: Duration,
    after_next: Duration,
    /// Ratio of each interval after the second to the one before, as numerator and denominator.
    growth: (u32, u32),
}

impl PollIntervals {
    fn advance(&mut self) -> Duration {
        let interval = std::mem::replace(&mut self.next, self.after_next);
        let (numerator, denominator) = self.growth;
        self.after_next = (self.after_next * numerator / denominator).min(MAX_POLL_INTERVAL);
        interval
    }
}

impl LoadTask {
    /// Carries out the load and sends its result.
    pub(super) async fn run(self) {
        let outcome = self.load().await.unwrap_or(LoadOutcome::Failed);
        let Order { model, version, .. } = self.order;
        // The receiver has been dropped if the process is ending.
        let _ = self.results.send(LoadResult { id: self.id, model, version, outcome });
    }

    async fn load(&self) -> Result<LoadOutcome, LoadError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = connecting.await.context(ConnectTimeoutSnafu)?.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.context(HttpSnafu)?;
        let connection = tokio::spawn(connection);
        let outcome = self.order_and_poll(&mut sender).await;
        connection.abort();
        outcome
    }

    async fn order_and_poll(&self, sender: &mut SendRequest<Full<Bytes>>) -> Result<LoadOutcome, LoadError> {
        match (self.send_order(sender).await?, self.method) {
            (StatusCode::ACCEPTED, LoadMethod::Blocking) => self.poll_reports(sender).await,
            (StatusCode::ACCEPTED, LoadMethod::Preserve) => self.poll_by_order(sender).await,
            (StatusCode::CONFLICT, _) => Ok(LoadOutcome::Busy),
            (status, _) => Ok(self.final_outcome(status)),
        }
    }

    /// Sends the order again until the store answers that it has the version.
    async fn poll_by_order(&self, sender: &mut SendRequest<Full<Bytes>>) -> Result<LoadOutcome, LoadError> {
        let started = Instant::now();
        let first_poll =
            self.typical_duration.map(|duration| duration * FIRST_ORDER_POLL_DELAY_PERCENT / 100);
        let mut intervals = PollIntervals {
            next: first_poll.unwrap_or(FIRST_ORDER_POLL_DELAY),
            after_next: MIN_ORDER_POLL_INTERVAL,
            growth: (5, 4),
        };
        sleep(intervals.advance()).await;
        while started.elapsed() < LOAD_TIMEOUT {
            match self.send_order(sender).await? {
                // The load is still in progress.
                StatusCode::ACCEPTED | StatusCode::CONFLICT => {}
                status => return Ok(self.final_outcome(status)),
            }
            sleep(intervals.advance()).await;
        }
        LoadTimeoutSnafu.fail()
    }

    /// Requests reports until one shows the version. Unlike orders they need no lease, so it is checked here.
    async fn poll_reports(&self, sender: &mut SendRequest<Full<Bytes>>) -> Result<LoadOutcome, LoadError> {
        let started = Instant::now();
        let mut intervals = PollIntervals {
            next: FIRST_REPORT_POLL_DELAY,
            after_next: MIN_REPORT_POLL_INTERVAL,
            growth: (3, 2),
        };
        while started.elapsed() < LOAD_TIMEOUT && self.gate.is_open() {
            sleep(intervals.advance()).await;
            let (status, body) = self.call(sender, "GET", "/report", Vec::new()).await?;
            ensure!(status == StatusCode::OK, ReportRefusedSnafu { status });
            let report: Report = serde_json::from_slice(&body).context(ReportSnafu)?;
            let loaded = report.models.iter().find(|loaded| loaded.name == self.order.model);
            if loaded.is_some_and(|loaded| loaded.version >= self.order.version) {
                return Ok(LoadOutcome::Done);
            }
        }
        LoadTimeoutSnafu.fail()
    }

    /// The outcome of an order that the store has neither accepted nor rejected as busy.
    fn final_outcome(&self, status: StatusCode) -> LoadOutcome {
        match status {
            StatusCode::OK => LoadOutcome::Done,
            StatusCode::PRECONDITION_FAILED => LoadOutcome::Fenced,
            other => {
                log::info!(store:% = self.id, status = other.as_u16(); "weight load rejected");
                LoadOutcome::Failed
            }
        }
    }

    /// Sends the order if the lease is still held.
    async fn send_order(&self, sender: &mut SendRequest<Full<Bytes>>) -> Result<StatusCode, LoadError> {
        ensure!(self.gate.is_open(), LeaseNotHeldSnafu);
        let body = serde_json::to_vec(&self.order).context(EncodeSnafu)?;
        let (status, _) = self.call(sender, "POST", "/order", body).await?;
        Ok(status)
    }

    async fn call(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), LoadError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", self.address.to_string())
            .header("Expected-Instance", &self.id)
            .header("Content-Type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .context(RequestSnafu)?;
        let exchange = async {
            let response = sender.send_request(request).await.context(HttpSnafu)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            Ok((status, body.context(BodySnafu)?.to_bytes()))
        };
        timeout(RESPONSE_TIMEOUT, exchange).await.context(ResponseTimeoutSnafu)?
    }
}
