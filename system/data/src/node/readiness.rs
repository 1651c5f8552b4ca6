//! Whether the edge wants new connections, and the answer to the platform's question.

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

/// An edge whose registry was fresh this long ago still calls itself ready.
const FRESH_MEMORY: Duration = Duration::from_secs(3);
/// The path of the question.
const PATH: &str = "/readiness";
/// How long one connection with questions may last.
const CONNECTION_TIME: Duration = Duration::from_secs(30);
/// The pause after the system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What has been seen of the registry.
#[derive(Default)]
pub struct Readiness {
    fresh_at: Cell<Option<Duration>>,
}

impl Readiness {
    /// Looks whether the registry is fresh now.
    pub fn look(&self, shared: &Shared) {
        if shared.fresh() {
            self.fresh_at.set(Some(shared.now()));
        }
    }

    /// When the registry was last seen to be fresh.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.fresh_at.get()
    }

    /// Whether the edge wants new connections.
    pub fn is_ready(&self, shared: &Shared) -> bool {
        self.look(shared);
        let known = shared.configuration().is_some() && shared.has_stores();
        ready(known, self.fresh_at.get(), shared.now(), shared.stopping())
    }
}

/// The decision: the configuration and stores are known, the registry was fresh a short while ago, and the process is not
/// about to end.
pub fn ready(known: bool, fresh_at: Option<Duration>, now: Duration, stopping: bool) -> bool {
    let fresh = fresh_at.is_some_and(|at| now.saturating_sub(at) <= FRESH_MEMORY);
    known && fresh && !stopping
}

/// Answers the platform until the task is aborted.
pub async fn serve(shared: Rc<Shared>, readiness: Rc<Readiness>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (shared, readiness) = (Rc::clone(&shared), Rc::clone(&readiness));
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let reply = answer(&shared, &readiness, &request);
                async move { Ok::<_, Infallible>(reply) }
            });
            let connection =
                http1::Builder::new().auto_date_header(false).serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = tokio::time::timeout(CONNECTION_TIME, connection).await {
                log::debug!("a question whether the edge is ready broke off: {error}");
            }
        });
    }
}

fn answer<B>(shared: &Shared, readiness: &Readiness, request: &Request<B>) -> Response<ReplyBody> {
    ReplyBody::status(match request.uri().path() {
        PATH if readiness.is_ready(shared) => StatusCode::OK,
        PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    })
}
