//! The readiness check: whether the edge accepts new connections, served to the platform over HTTP.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::http::{Request, Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{ReplyBody, Shared};

/// An edge whose registry was last fresh longer ago than this is not ready.
const MAX_STALENESS: Duration = Duration::from_secs(3);
/// The path of the readiness check.
const PATH: &str = "/readiness";
/// The longest time of one connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// The backoff after an error of `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The freshness of the registry as last observed.
#[derive(Default)]
pub struct Readiness {
    fresh_at: Cell<Option<Duration>>,
}

impl Readiness {
    /// Observes whether the registry is fresh now.
    pub fn observe(&self, shared: &Shared) {
        if shared.is_registry_fresh() {
            self.fresh_at.set(Some(shared.now()));
        }
    }

    /// When the registry was last observed to be fresh.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.fresh_at.get()
    }

    /// Whether the edge accepts new connections.
    pub fn is_ready(&self, shared: &Shared) -> bool {
        self.observe(shared);
        let has_endpoints = shared.configuration().is_some() && shared.has_stores();
        is_ready(has_endpoints, self.fresh_at.get(), shared.now(), shared.is_shutting_down())
    }
}

/// The decision: the configuration and stores are known, the registry was fresh recently, and the process is not shutting down.
#[must_use]
pub fn is_ready(
    has_endpoints: bool,
    fresh_at: Option<Duration>,
    now: Duration,
    is_shutting_down: bool,
) -> bool {
    let is_fresh = fresh_at.is_some_and(|at| now.saturating_sub(at) <= MAX_STALENESS);
    has_endpoints && is_fresh && !is_shutting_down
}

/// Serves readiness checks until the task is aborted.
pub(super) async fn serve(shared: Rc<Shared>, readiness: Rc<Readiness>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (shared, readiness) = (Rc::clone(&shared), Rc::clone(&readiness));
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let reply = respond(&shared, &readiness, &request);
                async move { Ok::<_, Infallible>(reply) }
            });
            let connection =
                http1::Builder::new().auto_date_header(false).serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await {
                log::debug!("readiness connection failed: {error}");
            }
        });
    }
}

fn respond<B>(shared: &Shared, readiness: &Readiness, request: &Request<B>) -> Response<ReplyBody> {
    ReplyBody::status(match request.uri().path() {
        PATH if readiness.is_ready(shared) => StatusCode::OK,
        PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    })
}
