//! A stand-in control node: a root of the relay tree that takes heartbeats.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_transport::{Inbox, Incoming, Network, NetworkSettings};
use gingerledge_wire::{ControlMessage, Entry, Envelope, FreshnessTick, NodeRecord, Role};

/// How often the control chain confirms that it knows all.
const TICK: Duration = Duration::from_millis(100);

/// A stand-in control node.
pub struct Control {
    network: Network<Envelope>,
    relay: RefCell<Relay>,
    started: Instant,
    ticks: Cell<u64>,
    pub heartbeats: RefCell<Vec<NodeRecord>>,
    pub farewells: RefCell<Vec<u64>>,
}

impl Control {
    pub async fn start(address: SocketAddr) -> Rc<Control> {
        let (network, inbox) = Network::bind(NetworkSettings::new(address)).await.expect("network");
        let relay = Relay::new(RelaySettings::for_role(Role::Control, super::ZONE), address, true, 5);
        let control = Rc::new(Control {
            network,
            relay: RefCell::new(relay),
            started: Instant::now(),
            ticks: Cell::new(0),
            heartbeats: RefCell::default(),
            farewells: RefCell::default(),
        });
        control.relay(RelayEvent::Started);
        tokio::task::spawn_local(Rc::clone(&control).run(inbox));
        control
    }

    /// Learns entries from the control chain or sessions.
    pub fn learn(&self, entries: Vec<Entry>) {
        self.relay(RelayEvent::EntriesReceived(entries));
    }

    async fn run(self: Rc<Self>, mut inbox: Inbox<Envelope>) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                incoming = inbox.next() => match incoming {
                    Some(Incoming::Message { from, message }) => self.take(from, message),
                    Some(Incoming::Lost { peer, .. }) => self.relay(RelayEvent::PeerDisconnected { peer }),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            let now = self.started.elapsed();
            if self.relay.borrow().next_timer().is_some_and(|due| due <= now) {
                self.relay(RelayEvent::TimerExpired);
            }
        }
    }

    fn tick(&self) {
        self.ticks.set(self.ticks.get() + 1);
        self.relay(RelayEvent::Tick(FreshnessTick { epoch: 1, number: self.ticks.get() }));
        self.relay(RelayEvent::TimerExpired);
    }

    fn take(&self, from: SocketAddr, message: Envelope) {
        match message {
            Envelope::Relay(message) => self.relay(RelayEvent::Message { from, message }),
            Envelope::Control(ControlMessage::Heartbeat { node, sequence, .. }) => {
                self.heartbeats.borrow_mut().push(node);
                let control = vec![self.network.local_address()];
                self.send(
                    from,
                    &Envelope::Control(ControlMessage::HeartbeatAck { sequence, control_nodes: control }),
                );
            }
            Envelope::Control(ControlMessage::Goodbye { incarnation }) => {
                self.farewells.borrow_mut().push(incarnation);
            }
            _ => {}
        }
    }

    fn relay(&self, event: RelayEvent) {
        let mut actions = Vec::new();
        self.relay.borrow_mut().handle(self.started.elapsed(), event, &mut actions);
        for action in actions {
            if let RelayAction::Send { to, message } = action {
                self.send(to, &Envelope::Relay(message));
            }
        }
    }

    fn send(&self, to: SocketAddr, message: &Envelope) {
        let _ = self.network.send(to, message);
    }
}
