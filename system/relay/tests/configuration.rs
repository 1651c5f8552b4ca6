//! Relaying of the configuration: in full to a node without a configuration, and as updates to a node with an earlier version.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::{AppliedUpdate, ConfigurationDocument};
use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_wire::{Entry, FreshnessTick, Key, RelayMessage, Role, Value};
use yare::parameterized;

const STEP: Duration = Duration::from_millis(10);
/// Steps per run: enough for a subscription and all updates that follow it.
const STEPS: usize = 200;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7000))
}

/// A configuration with this number of services.
fn document(services: usize) -> ConfigurationDocument {
    let services: Vec<String> =
        (0..services).map(|number| format!(r#"{{"name":"s{number}","healthPath":"/healthz"}}"#)).collect();
    let text = format!(r#"{{"version":1,"routes":[],"services":[{}]}}"#, services.join(","));
    ConfigurationDocument::from_text(Arc::new(text.into_bytes()))
}

fn update(base: u64) -> AppliedUpdate {
    let json =
        format!(r#"{{"version":{},"upsert":{{"services":[{{"name":"s0","slots":{base}}}]}}}}"#, base + 1);
    AppliedUpdate { base, sequence: base + 1, json: Arc::new(json.into_bytes()) }
}

fn entry(version: u64, document: &ConfigurationDocument) -> Entry {
    Entry { key: Key::Configuration, version, value: Value::Configuration(document.clone()) }
}

/// How a configuration was sent.
#[derive(Clone, Debug, PartialEq)]
enum Sent {
    Full(u64),
    Updates(Vec<u64>),
}

/// A chain of three relays: a root (0), its child (1) and the child's child (2). Records how configurations are sent to relays 1 and 2.
struct RelayChain {
    relays: Vec<Relay>,
    now: Duration,
    ticks: u64,
    is_link_blocked: bool,
    sent: Vec<(usize, Sent)>,
}

impl RelayChain {
    fn new(first: &Entry) -> Self {
        let relay = |number: u8| {
            let role = if number == 0 { Role::Control } else { Role::Edge };
            Relay::new(RelaySettings::for_role(role, ""), address(number), number == 0, u64::from(number) + 1)
        };
        let relays = (0..3).map(relay).collect();
        let mut chain =
            Self { relays, now: Duration::from_secs(10), ticks: 0, is_link_blocked: false, sent: Vec::new() };
        chain.handle(0, RelayEvent::EntriesReceived(vec![first.clone()]));
        chain.handle(0, RelayEvent::Tick(FreshnessTick { epoch: 1, number: 1 }));
        for number in 1..3 {
            chain.handle(number, RelayEvent::ControlNodesKnown(vec![address(number as u8 - 1)]));
            chain.handle(number, RelayEvent::Started);
        }
        chain.run();
        chain
    }

    fn handle(&mut self, number: usize, event: RelayEvent) {
        let mut actions = Vec::new();
        self.relays[number].handle(self.now, event, &mut actions);
        for action in actions {
            let RelayAction::Send { to, message } = action else { continue };
            let Some(receiver) = (0..3).find(|receiver| address(*receiver as u8) == to) else { continue };
            if self.is_link_blocked && number + receiver == 1 {
                continue;
            }
            self.record_sent(receiver, &message);
            self.handle(receiver, RelayEvent::Message { from: address(number as u8), message });
        }
    }

    fn record_sent(&mut self, receiver: usize, message: &RelayMessage) {
        let RelayMessage::Update { entries, .. } = message else { return };
        self.sent.extend(entries.iter().filter_map(|entry| match &entry.value {
            Value::Configuration(_) => Some((receiver, Sent::Full(entry.version))),
            Value::ConfigurationUpdates(updates) => {
                Some((receiver, Sent::Updates(updates.iter().map(|update| update.sequence).collect())))
            }
            _ => None,
        }));
    }

    /// Runs the relays long enough for all entries to reach all of them.
    fn run(&mut self) {
        for _ in 0..STEPS {
            self.now += STEP;
            self.ticks += 1;
            self.handle(0, RelayEvent::Tick(FreshnessTick { epoch: 1, number: self.ticks + 1 }));
            for number in 0..3 {
                if self.relays[number].next_timer().is_some_and(|at| at <= self.now) {
                    self.handle(number, RelayEvent::TimerExpired);
                }
            }
        }
    }

    /// Removes and returns the records of what was sent, each with its receiver.
    fn take_sent(&mut self) -> Vec<(usize, Sent)> {
        std::mem::take(&mut self.sent)
    }

    fn assert_configuration_everywhere(&self, expected: &Entry) {
        for (number, relay) in self.relays.iter().enumerate() {
            assert_eq!(relay.registry().entry(&Key::Configuration), Some(expected), "relay {number}");
        }
    }
}

#[test]
fn configuration_updates_are_relayed_as_updates() {
    let mut known = document(500);
    let mut chain = RelayChain::new(&entry(1, &known));
    assert_eq!(chain.take_sent(), [(1, Sent::Full(1)), (2, Sent::Full(1))]);
    for base in 1..5 {
        known.apply(update(base)).expect("valid");
        chain.handle(0, RelayEvent::EntriesReceived(vec![entry(base + 1, &known)]));
        chain.run();
        chain.assert_configuration_everywhere(&entry(base + 1, &known));
        assert_eq!(
            chain.take_sent(),
            [(1, Sent::Updates(vec![base + 1])), (2, Sent::Updates(vec![base + 1]))]
        );
    }
}

#[test]
fn a_replaced_configuration_is_sent_in_full() {
    let mut chain = RelayChain::new(&entry(1, &document(3)));
    chain.take_sent();
    chain.handle(0, RelayEvent::EntriesReceived(vec![entry(7, &document(4))]));
    chain.run();
    chain.assert_configuration_everywhere(&entry(7, &document(4)));
    assert_eq!(chain.take_sent(), [(1, Sent::Full(7)), (2, Sent::Full(7))]);
}

/// After a partition, a child is sent the updates that it missed, or the full configuration if those updates are no longer kept.
#[parameterized(few_updates = { 3, false }, more_updates_than_are_kept = { 100, true })]
fn a_reconnected_node_gets_updates_while_they_are_kept_and_otherwise_the_full_configuration(
    updates: u64,
    expects_full: bool,
) {
    let mut known = document(50);
    let mut chain = RelayChain::new(&entry(1, &known));
    chain.take_sent();
    chain.is_link_blocked = true;
    chain.run();
    for base in 1..=updates {
        known.apply(update(base)).expect("valid");
        chain.handle(0, RelayEvent::EntriesReceived(vec![entry(base + 1, &known)]));
    }
    chain.run();
    chain.is_link_blocked = false;
    chain.run();
    chain.assert_configuration_everywhere(&entry(updates + 1, &known));
    let first = chain.take_sent().into_iter().find(|(receiver, _)| *receiver == 1);
    let expected =
        if expects_full { Sent::Full(updates + 1) } else { Sent::Updates((2..=updates + 1).collect()) };
    assert_eq!(first, Some((1, expected)));
}

/// A node ignores updates whose base is not its own version, and requests the full configuration.
#[test]
fn updates_on_another_base_are_not_applied() {
    let known = document(3);
    let mut chain = RelayChain::new(&entry(5, &known));
    let mut other_base = document(4);
    other_base.apply(update(6)).expect("valid");
    chain.take_sent();
    // The root has received a change that the other relays lack.
    chain.handle(0, RelayEvent::EntriesReceived(vec![entry(7, &other_base)]));
    chain.run();
    chain.assert_configuration_everywhere(&entry(7, &other_base));
    let expected = [(1, Sent::Full(7)), (2, Sent::Full(7))];
    assert_eq!(chain.take_sent(), expected);
}

#[test]
fn a_node_that_cannot_apply_updates_requests_the_full_configuration() {
    let relay_settings = RelaySettings::for_role(Role::Edge, "");
    let mut relay = Relay::new(relay_settings, address(9), false, 3);
    let now = Duration::from_secs(10);
    let mut actions = Vec::new();
    relay.handle(now, RelayEvent::ControlNodesKnown(vec![address(0)]), &mut actions);
    relay.handle(now, RelayEvent::EntriesReceived(vec![entry(5, &document(3))]), &mut actions);
    relay.handle(now, RelayEvent::Started, &mut actions);
    let subscription = last_subscription(&actions).expect("a subscription").0;
    assert_eq!(last_subscription(&actions), Some((subscription, 5)));
    let value = Value::ConfigurationUpdates(vec![update(6)]);
    let update = RelayMessage::Update {
        subscription,
        sequence: 1,
        entries: vec![Entry { key: Key::Configuration, version: 7, value }],
        tombstone_ages_ms: Vec::new(),
        tick: FreshnessTick { epoch: 1, number: 1 },
        tick_age_ms: 1,
    };
    actions.clear();
    relay.handle(now, RelayEvent::Message { from: address(0), message: update }, &mut actions);
    assert_eq!(relay.registry().entry(&Key::Configuration), Some(&entry(5, &document(3))));
    assert_eq!(relay.parent(), None);
    assert!(!relay.is_fresh(now), "the tick covers an update that was not applied");
    let mut later = now;
    while last_subscription(&actions).is_none() {
        later = relay.next_timer().expect("the relay searches for a parent").max(later);
        relay.handle(later, RelayEvent::TimerExpired, &mut actions);
    }
    assert_eq!(last_subscription(&actions).map(|(_, configuration)| configuration), Some(0));
    // A parent without a newer configuration is kept.
    let subscription = last_subscription(&actions).expect("a subscription").0;
    let tick = FreshnessTick { epoch: 1, number: 2 };
    let update = RelayMessage::Update {
        subscription,
        sequence: 1,
        entries: Vec::new(),
        tombstone_ages_ms: Vec::new(),
        tick,
        tick_age_ms: 1,
    };
    relay.handle(later, RelayEvent::Message { from: address(0), message: update }, &mut actions);
    assert_eq!(relay.parent(), Some(address(0)));
}

/// The last subscription request among the actions: its identifier and the configuration version that it reports.
fn last_subscription(actions: &[RelayAction]) -> Option<(u64, u64)> {
    actions.iter().rev().find_map(|action| match action {
        RelayAction::Send {
            message: RelayMessage::Subscribe { subscription, configuration, .. }, ..
        } => Some((*subscription, *configuration)),
        _ => None,
    })
}
