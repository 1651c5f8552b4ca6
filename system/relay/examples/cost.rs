//! Prints the time that an edge with its maximum number of children takes to handle a tick, a change and a subscription.

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

/// An edge, and the state that its parent keeps for the subscription.
struct Edge {
    relay: Relay,
    now: Duration,
    sequence: u64,
    sent_messages: usize,
}

const SUBSCRIPTION: u64 = 7;
const PARENT: u16 = 2;

impl Edge {
    fn handle(&mut self, event: RelayEvent) -> Vec<RelayAction> {
        let mut actions = Vec::new();
        self.relay.handle(self.now, event, &mut actions);
        let _ = self.relay.next_timer();
        self.sent_messages += actions.len();
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
    let mut edge = Edge { relay, now: Duration::from_secs(1), sequence: 0, sent_messages: 0 };
    edge.handle(RelayEvent::ControlNodesKnown(vec![address(PARENT)]));
    let subscription = edge.handle(RelayEvent::Started).into_iter().find_map(|action| match action {
        RelayAction::Send { message: RelayMessage::Subscribe { subscription, .. }, .. } => Some(subscription),
        _ => None,
    });
    let subscription = subscription.unwrap_or(SUBSCRIPTION);

    let start = Instant::now();
    edge.update(subscription, (0..STORES).map(|number| store(number, 1)).collect());
    println!("{STORES} entries merged: {:?} per entry", start.elapsed() / STORES as u32);

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
    println!("subscription of a child with an empty copy: {:?}", start.elapsed() / u32::from(CHILDREN));
    for number in 0..CHILDREN {
        let ack = RelayMessage::Ack { subscription: 1, sequence: 100, free_child_slots: 8 };
        edge.handle(RelayEvent::Message { from: address(100 + number), message: ack });
    }

    edge.sent_messages = 0;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        edge.update(subscription, Vec::new());
    }
    println!(
        "tick for {} children: {:?}, {} messages",
        edge.relay.child_count(),
        start.elapsed() / ROUNDS,
        edge.sent_messages / ROUNDS as usize
    );

    let start = Instant::now();
    for round in 0..ROUNDS {
        edge.update(subscription, vec![store(round as usize % STORES, 2 + u64::from(round))]);
        if round % 100 == 0 {
            for number in 0..CHILDREN {
                let ack = RelayMessage::Ack { subscription: 1, sequence: u64::MAX, free_child_slots: 8 };
                edge.handle(RelayEvent::Message { from: address(100 + number), message: ack });
            }
        }
    }
    println!("change for {} children: {:?}", edge.relay.child_count(), start.elapsed() / ROUNDS);
}
