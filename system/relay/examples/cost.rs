//! Prints the processor time that an edge with all its children spends on a tick, on a change and on a subscription.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_wire::{Entry, FreshnessTick, Key, RelayMessage, Role, StoreRecord, Value};

const STORES: usize = 10_000;
const ROUNDS: u32 = 10_000;
const CHILDREN: u16 = 8;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, number))
}

fn store(number: usize, version: u64) -> Entry {
    let record = StoreRecord {
        service: "reader".to_owned(),
        address: address(9000),
        zone: "zone-1".to_owned(),
        software: "1.0".to_owned(),
        slots: 8,
        state: Default::default(),
        models: Vec::new(),
    };
    Entry { key: Key::Store(format!("store-{number:05}")), version, value: Value::Store(record) }
}

/// An edge and the parent's side of its subscription.
struct Edge {
    relay: Relay,
    now: Duration,
    sequence: u64,
    sent: usize,
}

const SUBSCRIPTION: u64 = 7;
const PARENT: u16 = 2;

impl Edge {
    fn handle(&mut self, event: RelayEvent) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        self.relay.handle(self.now, event, &mut actions);
        let _ = self.relay.next_timer();
        self.sent += actions.len();
        actions
    }

    fn update(&mut self, subscription: u64, entries: Vec<Entry>) {
        self.sequence += 1;
        self.now += Duration::from_millis(25);
        let tick = FreshnessTick { epoch: 1, number: self.sequence };
        let message = RelayMessage::Update {
            subscription,
            sequence: self.sequence,
            entries,
            tick,
            tombstone_ages_ms: Vec::new(),
            tick_age_ms: 1,
        };
        self.handle(RelayEvent::Message { from: address(PARENT), message });
    }
}

fn main() {
    let settings =
        RelaySettings { child_timeout: Duration::MAX / 4, ..RelaySettings::for_role(Role::Edge, "") };
    let relay = Relay::new(settings, address(1), false, 1);
    let mut edge = Edge { relay, now: Duration::from_secs(1), sequence: 0, sent: 0 };
    edge.handle(RelayEvent::ControlNodesKnown(vec![address(PARENT)]));
    let subscription = edge.handle(RelayEvent::Started).into_iter().find_map(|action| match action {
        RelayAction::Send { message: RelayMessage::Subscribe { subscription, .. }, .. } => Some(subscription),
        _ => None,
    });
    let subscription = subscription.unwrap_or(SUBSCRIPTION);

    let start = Instant::now();
    edge.update(subscription, (0..STORES).map(|number| store(number, 1)).collect());
    println!("{STORES} entries taken: {:?} each", start.elapsed() / STORES as u32);

    let start = Instant::now();
    for number in 0..CHILDREN {
        let digest = Vec::new();
        let message = RelayMessage::Subscribe {
            subscription: 1,
            digest,
            configuration: 0,
            free_child_slots: 8,
            capacity: 8,
        };
        edge.handle(RelayEvent::Message { from: address(100 + number), message });
    }
    println!("a child that gets all of it: {:?}", start.elapsed() / u32::from(CHILDREN));
    for number in 0..CHILDREN {
        let received = RelayMessage::Ack { subscription: 1, sequence: 100, free_child_slots: 8 };
        edge.handle(RelayEvent::Message { from: address(100 + number), message: received });
    }

    edge.sent = 0;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        edge.update(subscription, Vec::new());
    }
    println!(
        "a tick for {} children: {:?}, {} messages",
        edge.relay.child_count(),
        start.elapsed() / ROUNDS,
        edge.sent / ROUNDS as usize
    );

    let start = Instant::now();
    for round in 0..ROUNDS {
        edge.update(subscription, vec![store(round as usize % STORES, 2 + u64::from(round))]);
        if round % 100 == 0 {
            for number in 0..CHILDREN {
                let received = RelayMessage::Ack { subscription: 1, sequence: u64::MAX, free_child_slots: 8 };
                edge.handle(RelayEvent::Message { from: address(100 + number), message: received });
            }
        }
    }
    println!("a change for {} children: {:?}", edge.relay.child_count(), start.elapsed() / ROUNDS);
}
