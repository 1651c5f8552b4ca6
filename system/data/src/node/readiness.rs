//! Readiness check, which the platform calls over HTTP: whether the edge accepts new connections.

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

/// Longest time since the registry was last fresh for which the edge is ready.
const MAX_STALENESS: Duration = Duration::from_secs(3);
/// Path of the readiness check.
const READINESS_PATH: &str = "/readiness";
/// Longest duration of one connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after an error of `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Freshness of the registry as last observed.
#[derive(Default)]
pub struct Readiness {
    fresh_at: Cell<Option<Duration>>,
}

impl Readiness {
    /// Records the time if the registry is fresh now.
    pub fn observe(&self, shared: &Shared) {
        if shared.is_registry_fresh() {
            self.fresh_at.set(Some(shared.now()));
        }
    }

    /// When the registry was last observed to be fresh, on the clock of [`Shared::now`].
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

/// Decides whether an edge is ready: the configuration and stores are known (`has_endpoints`), the registry was fresh recently,
/// and the process is not shutting down.
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
    ReplyBody::empty_reply(match request.uri().path() {
        READINESS_PATH if readiness.is_ready(shared) => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    })
}
