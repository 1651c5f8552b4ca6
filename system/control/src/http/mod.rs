//! The HTTP server for stores, trainers and the operator: reads calls, sends requests to the node, and responds. A valid call is
//! never answered with a 4xx status because of a fault of the control plane; an unknown outcome is answered with status 503.

mod body;
mod configuration;
mod instances;
mod retire;
mod server;
mod versions;

use gingerledge_wire::{Command, CommandOutcome};
use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Response, Router};
use tokio::sync::{mpsc, oneshot};

use crate::node::Request;

pub use server::{serve, ServerSettings};

/// The handlers' access to the node.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    requests: mpsc::Sender<Request>,
}

impl NodeHandle {
    /// Creates a handle that sends its requests to this queue.
    #[must_use]
    pub fn new(requests: mpsc::Sender<Request>) -> Self {
        Self { requests }
    }

    /// Sends a request to the node and returns the response; `None` if the queue is full, the node is stopping, or the node has
    /// no response.
    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(request(reply)).ok()?;
        answer.await.ok()
    }

    /// Submits a command to the chain and returns its outcome; `None` if it is not known.
    async fn submit(&self, command: Command) -> Option<CommandOutcome> {
        self.request(|reply| Request::Submit { command, reply }).await.flatten()
    }
}

/// Creates the router of all calls.
#[must_use]
pub fn router(node: &NodeHandle) -> Router {
    let node = node.clone();
    let (replacement, update) = configuration::Change::handlers(&node);
    Router::new()
        .push(Router::with_path("configuration/replace").post(replacement))
        .push(Router::with_path("configuration/update").post(update))
        .push(Router::with_path("configuration/read").get(configuration::Read { node: node.clone() }))
        .push(Router::with_path("version-put").post(versions::Put { node: node.clone() }))
        .push(Router::with_path("retire/{name}/begin").post(retire::Begin { node: node.clone() }))
        .push(Router::with_path("retire/{name}/read").get(retire::Read { node: node.clone() }))
        .push(
            Router::with_path("instances/{id}/heartbeat")
                .post(instances::SendHeartbeat { node: node.clone() }),
        )
        .push(
            Router::with_path("instances/{id}/deregister").post(instances::Deregister { node: node.clone() }),
        )
        .push(Router::with_path("status").get(Status { node }))
}

struct Status {
    node: NodeHandle,
}

#[salvo::handler]
impl Status {
    async fn handle(&self, response: &mut Response) {
        match self.node.request(|reply| Request::Status { reply }).await {
            Some(json) => response.render(Text::Json(json)),
            None => unavailable(response),
        }
    }
}

/// Responds with status 503, because the outcome is not known or the node has no response now.
fn unavailable(response: &mut Response) {
    response.status_code(StatusCode::SERVICE_UNAVAILABLE);
    response.render(Text::Plain("not known now; the call may be repeated\n"));
}

/// Responds with an error status and the reason why the call is rejected.
fn reject(response: &mut Response, status: StatusCode, reason: String) {
    response.status_code(status);
    response.render(Text::Plain(reason + "\n"));
}

/// Responds with the outcome of a command.
fn respond(response: &mut Response, outcome: Option<CommandOutcome>) {
    match outcome {
        Some(CommandOutcome::Applied | CommandOutcome::FencingToken(_)) => {
            response.status_code(StatusCode::OK);
        }
        Some(CommandOutcome::Conflict { current }) => {
            let reason = format!("version {current} is current");
            reject(response, StatusCode::PRECONDITION_FAILED, reason);
        }
        Some(CommandOutcome::Invalid { reason }) => reject(response, StatusCode::BAD_REQUEST, reason),
        Some(CommandOutcome::Indeterminate) | None => unavailable(response),
    }
}
