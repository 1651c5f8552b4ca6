//! Whom a control node keeps: the sessions of nodes that call one which the chain may have lost must move on.

use std::time::Duration;

use gingerledge_transport::{Inbox, Incoming, Network, NetworkSettings};
use gingerledge_wire::{ControlMessage, Envelope, NodeRecord, Role};

use crate::common::{run, World, PATIENCE};

/// A control node that has not answered for so long will not.
const ANSWER_TIME: Duration = Duration::from_millis(200);
const EDGE: u8 = 120;

/// An edge that only says that it lives.
struct Edge {
    network: Network<Envelope>,
    inbox: Inbox<Envelope>,
    node: NodeRecord,
    sequence: u64,
}

impl Edge {
    async fn start(world: &World) -> Self {
        let address = world.other_internal_address(EDGE);
        let (network, inbox) = Network::bind(NetworkSettings::new(address)).await.expect("network");
        let node = NodeRecord {
            role: Role::Edge,
            name: "edge-1".to_owned(),
            incarnation: 77,
            member: 0,
            address,
            zone: "zone-0".to_owned(),
        };
        Self { network, inbox, node, sequence: 0 }
    }

    /// Sends a heartbeat to a control node; whether it is answered.
    async fn is_answered(&mut self, world: &World, node: usize) -> bool {
        self.sequence += 1;
        let heartbeat =
            ControlMessage::Heartbeat { node: self.node.clone(), sequence: self.sequence, report: None };
        let _ = self.network.send(world.internal_addresses()[node], &Envelope::Control(heartbeat));
        let sequence = self.sequence;
        let answered = async {
            while let Some(incoming) = self.inbox.next().await {
                let Incoming::Message { message: Envelope::Control(message), .. } = incoming else {
                    continue;
                };
                if matches!(message, ControlMessage::HeartbeatTaken { sequence: taken, .. } if taken == sequence)
                {
                    return true;
                }
            }
            false
        };
        tokio::time::timeout(ANSWER_TIME, answered).await.unwrap_or(false)
    }

    async fn until_answered(&mut self, world: &World, node: usize, wanted: bool) {
        let begun = std::time::Instant::now();
        while self.is_answered(world, node).await != wanted {
            assert!(begun.elapsed() < PATIENCE, "answered: never {wanted}");
        }
    }
}

#[test]
fn a_member_that_the_chain_may_have_lost_answers_no_node() {
    run(async {
        let mut world = World::start(50);
        let mut edge = Edge::start(&world).await;
        edge.until_answered(&world, 0, true).await;
        world.kill(1).await;
        world.kill(2).await;
        edge.until_answered(&world, 0, false).await;
        for _ in 0..5 {
            assert!(!edge.is_answered(&world, 0).await, "it is alone, and stays so");
        }
        world.start_node(1, false);
        edge.until_answered(&world, 0, true).await;
    });
}
