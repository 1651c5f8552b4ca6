//! The sending side of the internal network, and the record of this node.

use std::net::SocketAddr;
use std::sync::Arc;

use gingerledge_transport::Network;
use gingerledge_wire::{Envelope, NodeRecord};

/// Sends internal messages from this node. Clones are cheap; the connections are closed when the last clone is dropped.
#[derive(Clone, Debug)]
pub(super) struct Messenger {
    network: Network<Envelope>,
    own_record: Arc<NodeRecord>,
}

impl Messenger {
    /// Creates a messenger for the node with the record `own_record`.
    pub(super) fn new(network: Network<Envelope>, own_record: NodeRecord) -> Self {
        Self { network, own_record: Arc::new(own_record) }
    }

    /// The record of this node.
    pub(super) fn own_record(&self) -> &NodeRecord {
        &self.own_record
    }

    /// Sends a message unless it is addressed to this node itself. A dropped message counts as lost, since every protocol sends
    /// messages again.
    pub(super) fn send(&self, to: SocketAddr, message: Envelope) {
        if to != self.own_record.address {
            let _ = self.network.send(to, &message);
        }
    }

    /// Sends a message; returns whether it was queued.
    pub(super) fn try_send(&self, to: SocketAddr, message: &Envelope) -> bool {
        self.network.send(to, message).is_queued()
    }
}
