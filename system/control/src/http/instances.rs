//! Heartbeats of stores.

use std::net::SocketAddr;

use gingerledge_protocol::{Heartbeat, HeartbeatReply};
use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Request, Response};

use super::{body, unavailable, NodeHandle};
use crate::node;

/// `POST /instances/ID/heartbeat`
pub(super) struct Beat {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Beat {
    /// Later heartbeats are asked to come here too: a session that stays with its owner is not shared again and again, and stores
    /// choose at random before their first heartbeat, which spreads them. A node that the chain may have lost asks nobody to stay.
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        let here = own_address(request);
        let Some(heartbeat) = body::read_json::<Heartbeat>(request, response).await else { return };
        match self.node.ask(|reply| node::Request::Heartbeat { id, heartbeat, reply }).await {
            Some(accepted) => {
                let stay = here.filter(|_| accepted.is_chain_fresh);
                let reply = HeartbeatReply { heartbeat_address: stay.map(|address| address.to_string()) };
                response.render(Text::Json(serde_json::to_string(&reply).unwrap_or_default()));
            }
            None => unavailable(response),
        }
    }
}

fn own_address(request: &Request) -> Option<SocketAddr> {
    request.local_addr().clone().into_std()
}

/// `POST /instances/ID/deregister`
pub(super) struct Deregister {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Deregister {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        match self.node.ask(|reply| node::Request::Deregister { id, reply }).await {
            Some(_) => {
                response.status_code(StatusCode::OK);
            }
            None => unavailable(response),
        }
    }
}
