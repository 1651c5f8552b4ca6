//! A store that serves requests and streams of events, takes orders for weights, sends heartbeats, and keeps a ledger of
//! what it ran.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::call::call;

/// What a store is.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The instance id.
    pub id: String,
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// The models that it holds; none where it makes no streams.
    pub models: Vec<String>,
    /// Events of each stream.
    pub events: u64,
    /// The time between two events.
    pub pause: Duration,
    /// The time that a request other than a stream takes.
    pub work: Duration,
    /// The time between two heartbeats.
    pub heartbeat: Duration,
}

impl StoreSettings {
    /// A store of the services of [`configuration`](crate::configuration), by its number: an engine of these models, or one that
    /// answers look-ups if there are none. It listens at an address of its own in 127.`network`.3.0/24.
    #[must_use]
    pub fn numbered(network: u8, number: u8, models: &[&str]) -> Self {
        Self {
            id: format!("i-{number}"),
            service: if models.is_empty() { "colony-ledger" } else { "forage-model" }.to_owned(),
            zone: format!("zone-{}", number % 3),
            listen: ([127, network, 3, number + 1], 0).into(),
            models: models.iter().map(|&model| model.to_owned()).collect(),
            events: 8,
            pause: Duration::from_millis(5),
            work: Duration::ZERO,
            heartbeat: Duration::from_millis(300),
        }
    }
}

/// What a store has seen.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// How often each id was run.
    pub runs: BTreeMap<String, u32>,
    /// Orders taken: holder, fencing token, model, version.
    pub orders: Vec<(String, u64, String, u64)>,
    /// The version of each model.
    pub versions: BTreeMap<String, u64>,
    /// The highest fencing token seen.
    pub fence: u64,
    /// The fencing tokens of orders that were refused since a higher one had been seen.
    pub refused_tokens: Vec<u64>,
    /// Heartbeats that were acknowledged.
    pub acknowledged: u64,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Streams are cut after so many events, once for each id.
    pub cut_after: Option<u64>,
    /// Ids whose stream was cut already.
    pub cut: Vec<String>,
}

/// A store that serves until it is dropped.
#[derive(Debug)]
pub struct Store {
    settings: StoreSettings,
    address: SocketAddr,
    ledger: Arc<Mutex<Ledger>>,
    tasks: Vec<JoinHandle<()>>,
}

type Body = BoxBody<Bytes, std::io::Error>;

impl Store {
    /// Starts a store that calls the given control nodes.
    ///
    /// # Errors
    ///
    /// Its address can't be listened on.
    pub async fn start(settings: StoreSettings, control: Vec<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let versions = settings.models.iter().map(|model| (model.clone(), 1)).collect();
        let ledger = Arc::new(Mutex::new(Ledger { versions, ..Ledger::default() }));
        let serving = tokio::spawn(serve(listener, settings.clone(), ledger.clone()));
        let beating = tokio::spawn(heartbeats(settings.clone(), address, control, ledger.clone()));
        Ok(Self { settings, address, ledger, tasks: vec![serving, beating] })
    }

    /// Where it serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its instance id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// What it has seen.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        locked(&self.ledger)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn locked(ledger: &Mutex<Ledger>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, settings: StoreSettings, ledger: Arc<Mutex<Ledger>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (settings, ledger) = (settings.clone(), ledger.clone());
        let service = service_fn(move |request| answer(request, settings.clone(), ledger.clone()));
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new();
            // A connection that breaks is the caller's affair.
            let _ = connection.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    settings: StoreSettings,
    ledger: Arc<Mutex<Ledger>>,
) -> Result<Response<Body>, Infallible> {
    let header =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    if header("Expected-Instance").is_some_and(|expected| expected != settings.id) {
        return Ok(plain(421, &[("Not-Executed", "1"), ("Instance-Id", &settings.id)], ""));
    }
    match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(plain(200, &[("Instance-Id", &settings.id)], "")),
        (&Method::GET, "/report") => Ok(report(&ledger)),
        (&Method::POST, "/order") => {
            let body = request
                .into_body()
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes)
                .unwrap_or_default();
            Ok(order(&body, &ledger))
        }
        _ => {
            let Some(id) = header("Attempt-Id") else { return Ok(plain(400, &[("Not-Executed", "1")], "")) };
            let after = header("Last-Event-Id").and_then(|id| id.parse().ok());
            let model = header("Model");
            let expected = header("Expect-Version").and_then(|version| version.parse::<u64>().ok());
            let _ = request.into_body().collect().await;
            if model.is_none() {
                *locked(&ledger).runs.entry(id.clone()).or_default() += 1;
                tokio::time::sleep(settings.work).await;
            }
            Ok(run(&settings, ledger, id, after, model, expected))
        }
    }
}

fn plain(status: u16, headers: &[(&str, &str)], body: &str) -> Response<Body> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let body = Full::new(Bytes::from(body.to_owned())).map_err(std::io::Error::other).boxed();
    response.body(body).unwrap_or_default()
}

fn report(ledger: &Mutex<Ledger>) -> Response<Body> {
    let ledger = locked(ledger);
    let models: Vec<_> = ledger
        .versions
        .iter()
        .map(|(name, version)| serde_json::json!({"name": name, "version": version, "adapters": []}))
        .collect();
    let report = serde_json::json!({"stage": "both", "models": models, "utilization": false,
        "sequence": ledger.orders.len(), "waiting": 0, "running": 0, "kvCacheUsed": 0, "kvCacheTotal": 90000, "handles": 0});
    plain(200, &[("Content-Type", "application/json")], &report.to_string())
}

fn order(body: &[u8], ledger: &Mutex<Ledger>) -> Response<Body> {
    let Ok(order) = serde_json::from_slice::<gingerledge_protocol::Order>(body) else {
        return plain(400, &[], "");
    };
    let mut ledger = locked(ledger);
    if order.fencing_token < ledger.fence {
        ledger.refused_tokens.push(order.fencing_token);
        return plain(412, &[], "");
    }
    ledger.fence = order.fencing_token;
    let known = ledger.versions.get(&order.model).copied();
    match known {
        None => plain(400, &[], ""),
        Some(version) if version == order.version => plain(200, &[], ""),
        Some(_) => {
            ledger.versions.insert(order.model.clone(), order.version);
            ledger.orders.push((order.holder, order.fencing_token, order.model, order.version));
            plain(202, &[], "")
        }
    }
}

fn run(
    settings: &StoreSettings,
    ledger: Arc<Mutex<Ledger>>,
    id: String,
    after: Option<u64>,
    model: Option<String>,
    expected: Option<u64>,
) -> Response<Body> {
    let signature = format!("stamp.{}.{id}", settings.id);
    let Some(model) = model else {
        let headers = [("Attempt-Id", id.as_str()), ("Server-Signature", signature.as_str())];
        return plain(200, &headers, "the store's bytes");
    };
    let version = locked(&ledger).versions.get(&model).copied().unwrap_or(0);
    if expected.is_some_and(|expected| expected != version) {
        return plain(421, &[("Not-Executed", "1"), ("Instance-Id", &settings.id)], "");
    }
    *locked(&ledger).runs.entry(id.clone()).or_default() += 1;
    let (sender, receiver) = mpsc::channel(4);
    tokio::spawn(events(settings.clone(), ledger, id.clone(), after.unwrap_or(0), sender));
    let body = Events { receiver }.boxed();
    Response::builder()
        .status(200)
        .header("Attempt-Id", id)
        .header("Server-Signature", signature)
        .header("Weight-Versions", version.to_string())
        .header("Content-Type", "text/event-stream")
        .body(body)
        .unwrap_or_default()
}

struct Events {
    receiver: mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>,
}

impl hyper::body::Body for Events {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.receiver.poll_recv(context)
    }
}

async fn events(
    settings: StoreSettings,
    ledger: Arc<Mutex<Ledger>>,
    id: String,
    after: u64,
    sender: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
) {
    for event in after + 1..=settings.events {
        tokio::time::sleep(settings.pause).await;
        let cut = {
            let mut ledger = locked(&ledger);
            let cut = ledger.cut_after.is_some_and(|at| event > at) && !ledger.cut.contains(&id);
            if cut {
                ledger.cut.push(id.clone());
            }
            cut
        };
        if cut {
            let _ = sender.send(Err(std::io::Error::other("cut"))).await;
            return;
        }
        let text = format!("id: {event}\ndata: {id} event {event}\n\n");
        if sender.send(Ok(Frame::data(Bytes::from(text)))).await.is_err() {
            return;
        }
    }
}

async fn heartbeats(
    settings: StoreSettings,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    ledger: Arc<Mutex<Ledger>>,
) {
    let path = format!("/instances/{}/heartbeat", settings.id);
    for sequence in 1_u64.. {
        let body = {
            let ledger = locked(&ledger);
            let models: Vec<_> = ledger
                .versions
                .iter()
                .map(|(name, version)| serde_json::json!({"name": name, "version": version, "adapters": []}))
                .collect();
            let state = if ledger.draining { "draining" } else { "ready" };
            serde_json::json!({"service": settings.service, "address": address.to_string(), "zone": settings.zone,
                "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0, "stage": "both",
                "models": models, "sequence": sequence})
            .to_string()
        };
        for turn in 0..control.len() {
            let to = control[(sequence as usize + turn) % control.len()];
            let headers = [("Content-Type", "application/json")];
            let sent =
                call(to, Method::POST, &path, &headers, body.clone().into_bytes(), Duration::from_secs(1));
            if sent.await.is_ok_and(|answer| answer.status.is_success()) {
                locked(&ledger).acknowledged += 1;
                break;
            }
        }
        tokio::time::sleep(settings.heartbeat).await;
    }
}
