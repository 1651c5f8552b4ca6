//! Calls that begin and read retirements of backends.

use gingerledge_wire::RetirementState;
use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Request, Response};
use serde_json::json;

use super::{body, reject, unavailable, NodeHandle};
use crate::node::{self, BeginRetirementOutcome};

/// Handler of `POST /retire/NODE/begin`.
pub(super) struct Begin {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Begin {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        // The deadline in the body is ignored: a backend is retired as fast as possible.
        if body::read(request, response, body::MAX_SMALL_BODY_BYTES).await.is_none() {
            return;
        }
        let name = request.param::<String>("name").unwrap_or_default();
        match self.node.request(|reply| node::Request::BeginRetirement { name, reply }).await {
            Some(BeginRetirementOutcome::Accepted) => {
                response.status_code(StatusCode::OK);
            }
            Some(BeginRetirementOutcome::UnknownBackend) => {
                reject(response, StatusCode::NOT_FOUND, "no backend has this name".to_owned());
            }
            Some(BeginRetirementOutcome::TooFewBackends) => {
                reject(response, StatusCode::CONFLICT, "too few backends would be left".to_owned());
            }
            Some(BeginRetirementOutcome::Unavailable) | None => unavailable(response),
        }
    }
}

/// Handler of `GET /retire/NODE/read`.
pub(super) struct Read {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Read {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        match self.node.request(|reply| node::Request::ReadRetirement { name, reply }).await.flatten() {
            Some(Some(state)) => {
                let text = match state {
                    RetirementState::Active => "active",
                    RetirementState::Completed => "completed",
                };
                response.render(Text::Json(json!({ "state": text }).to_string()));
            }
            Some(None) => reject(response, StatusCode::NOT_FOUND, "nobody asked to empty it".to_owned()),
            None => unavailable(response),
        }
    }
}
