//! Calls that replace, update and read the operator's configuration.

use std::sync::Arc;

use gingerledge_protocol::{read_configuration, read_update, InvalidConfiguration};
use gingerledge_wire::Command;
use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Request, Response};
use tokio::sync::Semaphore;

use super::{body, reject, respond, unavailable, NodeHandle};
use crate::node;

const BASE_VERSION: &str = "Base-Version";
/// Maximum number of bodies that are read at the same time, so that large ones fit into memory.
const MAX_CONCURRENT_BODIES: usize = 3;

/// The kind of a change of the configuration.
#[derive(Clone, Copy)]
enum ChangeKind {
    /// The body is a complete configuration.
    Replacement,
    /// The body adds, changes and removes named items of the current configuration.
    Update,
}

/// Handler of `POST /configuration/replace` and `POST /configuration/update`.
#[derive(Clone)]
pub(super) struct Change {
    node: NodeHandle,
    kind: ChangeKind,
    bodies: Arc<Semaphore>,
}

impl Change {
    /// Creates the handlers of replacements and of updates, which share the limit on concurrent bodies.
    pub(super) fn handlers(node: &NodeHandle) -> (Self, Self) {
        let bodies = Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES));
        let replacement = Self { node: node.clone(), kind: ChangeKind::Replacement, bodies };
        let update = Self { kind: ChangeKind::Update, ..replacement.clone() };
        (replacement, update)
    }
}

impl ChangeKind {
    /// Parses a body and returns the command for it.
    ///
    /// # Errors
    ///
    /// The body is invalid regardless of the configuration that it is applied to.
    fn command(self, base: u64, bytes: &[u8]) -> Result<Command, InvalidConfiguration> {
        let json = Arc::new(bytes.to_vec());
        match self {
            Self::Replacement => {
                let version = read_configuration(bytes)?.version;
                Ok(Command::ReplaceConfiguration { base, version, json })
            }
            Self::Update => {
                let version = read_update(bytes)?.version;
                Ok(Command::UpdateConfiguration { base, version, json })
            }
        }
    }
}

#[salvo::handler]
impl Change {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(_permit) = self.bodies.acquire().await else { return unavailable(response) };
        let base = request.header::<String>(BASE_VERSION).and_then(|value| value.trim().parse::<u64>().ok());
        let Some(bytes) = body::read(request, response, body::MAX_CONFIGURATION_BYTES).await else { return };
        let Some(base) = base else {
            let reason = format!("{BASE_VERSION}: missing, or no version");
            return reject(response, StatusCode::BAD_REQUEST, reason);
        };
        match self.kind.command(base, &bytes) {
            Ok(command) => respond(response, self.node.submit(command).await),
            Err(error) => reject(response, StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Handler of `GET /configuration/read`.
pub(super) struct Read {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Read {
    async fn handle(&self, response: &mut Response) {
        match self.node.request(|reply| node::Request::ReadConfiguration { reply }).await.flatten() {
            Some(Some(json)) => {
                response.render(Text::Json(""));
                response.body(salvo::http::ResBody::Once(json.to_vec().into()));
            }
            Some(None) => reject(response, StatusCode::NOT_FOUND, "there is no configuration yet".to_owned()),
            None => unavailable(response),
        }
    }
}
