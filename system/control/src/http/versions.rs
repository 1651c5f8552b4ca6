//! The call that names a version of a model's weights.

use gingerledge_wire::Command;
use salvo::http::StatusCode;
use salvo::{Request, Response};
use serde::Deserialize;

use super::{body, reject, respond, NodeHandle};

/// The body of `POST /version-put`.
#[derive(Debug, Deserialize)]
struct NamedVersion {
    model: String,
    version: u64,
}

/// Handler of `POST /version-put`.
pub(super) struct Put {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Put {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(NamedVersion { model, version }) = body::read_json(request, response).await else { return };
        if model.is_empty() {
            return reject(response, StatusCode::BAD_REQUEST, "model: is empty".to_owned());
        }
        respond(response, self.node.submit(Command::NameVersion { model, version }).await);
    }
}
