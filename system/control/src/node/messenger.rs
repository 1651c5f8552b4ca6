//! The sending side of the internal network, and the record under which this node sends.

use std::net::SocketAddr;
use std::sync::Arc;

use gingerledge_transport::Network;
use gingerledge_wire::{Envelope, NodeRecord};

/// Sends internal messages in the name of this node. Cheap to clone; the connections close with the last clone.
#[derive(Clone, Debug)]
pub(super) struct Messenger {
    network: Network<Envelope>,
    own: Arc<NodeRecord>,
}

impl Messenger {
    /// A messenger of the node with the record `own`.
    pub(super) fn new(network: Network<Envelope>, own: NodeRecord) -> Self {
        Self { network, own: Arc::new(own) }
    }

    /// The record of this node.
    pub(super) fn own(&self) -> &NodeRecord {
        &self.own
    }

    /// Sends a message unless it is for this node itself. A dropped message counts as lost: every protocol resends.
    pub(super) fn send(&self, to: SocketAddr, message: Envelope) {
        if to != self.own.address {
            let _ = self.network.send(to, &message);
        }
    }

    /// Sends a message; returns whether it was queued.
    pub(super) fn try_send(&self, to: SocketAddr, message: &Envelope) -> bool {
        self.network.send(to, message).is_queued()
    }
}
