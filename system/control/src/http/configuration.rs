//! The operator's configuration: replacing and reading it.

use std::sync::Arc;

use gingerledge_protocol::read_configuration;
use gingerledge_wire::Command;
use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Request, Response};
use tokio::sync::Semaphore;

use super::{answer, body, refuse, unavailable, NodeHandle};
use crate::node;

const BASE_VERSION: &str = "Base-Version";
/// Configurations that are read at once, so that large ones fit into memory.
const BODIES_AT_ONCE: usize = 3;

/// `POST /configuration/replace`
pub(super) struct Replace {
    node: NodeHandle,
    bodies: Semaphore,
}

impl Replace {
    pub(super) fn new(node: NodeHandle) -> Self {
        Self { node, bodies: Semaphore::new(BODIES_AT_ONCE) }
    }
}

#[salvo::handler]
impl Replace {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(_permit) = self.bodies.acquire().await else { return unavailable(response) };
        let base = request.header::<String>(BASE_VERSION).and_then(|value| value.trim().parse::<u64>().ok());
        let Some(bytes) = body::read(request, response, body::LARGE_BODY_BYTES).await else { return };
        let Some(base) = base else {
            let reason = format!("{BASE_VERSION}: missing, or no version");
            return refuse(response, StatusCode::BAD_REQUEST, reason);
        };
        let version = match read_configuration(&bytes) {
            Ok(configuration) => configuration.version,
            Err(error) => return refuse(response, StatusCode::BAD_REQUEST, error.to_string()),
        };
        let command = Command::ReplaceConfiguration { base, version, json: Arc::new(bytes.to_vec()) };
        answer(response, self.node.submit(command).await);
    }
}

/// `GET /configuration/read`
pub(super) struct Read {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Read {
    async fn handle(&self, response: &mut Response) {
        match self.node.ask(|reply| node::Request::ReadConfiguration { reply }).await.flatten() {
            Some(Some(json)) => {
                response.render(Text::Json(""));
                response.body(salvo::http::ResBody::Once(json.to_vec().into()));
            }
            Some(None) => refuse(response, StatusCode::NOT_FOUND, "there is no configuration yet".to_owned()),
            None => unavailable(response),
        }
    }
}
