//! Calls with which stores send heartbeats and deregister.

use std::net::SocketAddr;

use gingerledge_protocol::{Heartbeat, HeartbeatReply};
use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Request, Response};

use super::{body, unavailable, NodeHandle};
use crate::node;

/// Handler of `POST /instances/ID/heartbeat`.
pub(super) struct SendHeartbeat {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl SendHeartbeat {
    /// The response contains this node's address as the destination of the next heartbeats: a session that stays with its owner
    /// is not replicated repeatedly, and the stores are spread, since they choose a node at random before their first heartbeat.
    /// A node that may be partitioned from the chain omits its address.
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        let own_address = own_address(request);
        let Some(heartbeat) = body::read_json::<Heartbeat>(request, response).await else { return };
        match self.node.request(|reply| node::Request::Heartbeat { id, heartbeat, reply }).await {
            Some(acknowledgement) => {
                let next_address = own_address.filter(|_| acknowledgement.is_chain_fresh);
                let reply =
                    HeartbeatReply { heartbeat_address: next_address.map(|address| address.to_string()) };
                response.render(Text::Json(serde_json::to_string(&reply).unwrap_or_default()));
            }
            None => unavailable(response),
        }
    }
}

fn own_address(request: &Request) -> Option<SocketAddr> {
    request.local_addr().clone().into_std()
}

/// Handler of `POST /instances/ID/deregister`.
pub(super) struct Deregister {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl Deregister {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        match self.node.request(|reply| node::Request::Deregister { id, reply }).await {
            Some(_) => {
                response.status_code(StatusCode::OK);
            }
            None => unavailable(response),
        }
    }
}
