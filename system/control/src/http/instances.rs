//! Heartbeats and deregistrations of stores.

use std::net::SocketAddr;

use gingerledge_protocol::{Heartbeat, HeartbeatReply};
use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Request, Response};

use super::{body, unavailable, NodeHandle};
use crate::node;

/// `POST /instances/ID/heartbeat`
pub(super) struct SendHeartbeat {
    pub(super) node: NodeHandle,
}

#[salvo::handler]
impl SendHeartbeat {
    /// The response asks for the next heartbeats to come here too: a session that stays with its owner is not replicated again and again,
    /// and stores choose a node at random before their first heartbeat, which spreads them. A node that may be partitioned from the
    /// chain does not ask for them.
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        let own_address = own_address(request);
        let Some(heartbeat) = body::read_json::<Heartbeat>(request, response).await else { return };
        match self.node.request(|reply| node::Request::Heartbeat { id, heartbeat, reply }).await {
            Some(acknowledged) => {
                let next = own_address.filter(|_| acknowledged.is_chain_fresh);
                let reply = HeartbeatReply { heartbeat_address: next.map(|address| address.to_string()) };
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
        match self.node.request(|reply| node::Request::Deregister { id, reply }).await {
            Some(_) => {
                response.status_code(StatusCode::OK);
            }
            None => unavailable(response),
        }
    }
}
