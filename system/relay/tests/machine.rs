//! A single relay, message by message: admission of children, sent updates, ignored messages, and the search for a parent.

mod cluster;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cluster::{millis, store, store_key, tombstone};
use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_wire::{Entry, FreshnessTick, RelayMessage, Role};
use yare::parameterized;

const OWN_NUMBER: u16 = 1;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8), 7000))
}

fn tick(number: u64) -> FreshnessTick {
    FreshnessTick { epoch: 1, number }
}

/// A relay, its clock, and the messages that it has sent since they were last taken.
struct SingleRelay {
    relay: Relay,
    now: Duration,
    sent: Vec<(SocketAddr, RelayMessage)>,
}

impl SingleRelay {
    fn new(settings: RelaySettings, is_root: bool) -> Self {
        let relay = Relay::new(settings, address(OWN_NUMBER), is_root, 1);
        let mut single = Self { relay, now: Duration::from_secs(10), sent: Vec::new() };
        single.handle(RelayEvent::ControlNodesKnown(vec![address(2), address(3)]));
        single.handle(RelayEvent::Started);
        single
    }

    /// Creates a fresh root.
    fn root() -> Self {
        Self::root_with(RelaySettings::for_role(Role::Control, ""))
    }

    fn root_with(settings: RelaySettings) -> Self {
        let mut single = Self::new(settings, true);
        single.handle(RelayEvent::Tick(tick(1)));
        single
    }

    /// Creates an edge; returns it with the receiver and the identifier of its first subscription request.
    fn edge() -> (Self, SocketAddr, u64) {
        let mut single = Self::new(RelaySettings::for_role(Role::Edge, ""), false);
        let (parent, subscription) = single.take_last_subscription();
        (single, parent, subscription)
    }

    /// Creates a fresh edge; returns it with the address of its parent and the identifier of its subscription.
    fn fresh_edge() -> (Self, SocketAddr, u64) {
        let (mut single, parent, subscription) = Self::edge();
        single.message(parent, RelayMessage::SubscribeAccepted { subscription });
        single.update(parent, subscription, 1, Vec::new(), tick(1));
        assert!(single.relay.is_fresh(single.now));
        (single, parent, subscription)
    }

    fn handle(&mut self, event: RelayEvent) {
        let mut actions = Vec::new();
        self.relay.handle(self.now, event, &mut actions);
        for action in actions {
            if let RelayAction::Send { to, message } = action {
                self.sent.push((to, message));
            }
        }
    }

    fn message(&mut self, from: SocketAddr, message: RelayMessage) {
        self.handle(RelayEvent::Message { from, message });
    }

    fn update(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        sequence: u64,
        entries: Vec<Entry>,
        tick: FreshnessTick,
    ) {
        self.message(
            from,
            RelayMessage::Update {
                subscription,
                sequence,
                entries,
                tick,
                tombstone_ages_ms: Vec::new(),
                tick_age_ms: 5,
            },
        );
    }

    /// Advances the clock and handles the timers that expire.
    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(at) = self.relay.next_timer().filter(|at| *at <= until) {
            assert!(at > self.now, "a timer is due immediately, which makes a busy loop");
            self.now = at;
            self.handle(RelayEvent::TimerExpired);
        }
        self.now = until;
    }

    fn subscribe(&mut self, number: u16, capacity: u16) -> Vec<(SocketAddr, RelayMessage)> {
        self.subscribe_with(number, capacity, capacity)
    }

    fn subscribe_with(
        &mut self,
        number: u16,
        free_child_slots: u16,
        capacity: u16,
    ) -> Vec<(SocketAddr, RelayMessage)> {
        self.sent.clear();
        let digest = Vec::new();
        self.message(
            address(number),
            RelayMessage::Subscribe {
                subscription: u64::from(number),
                digest,
                configuration: 0,
                free_child_slots,
                capacity,
            },
        );
        std::mem::take(&mut self.sent)
    }

    fn accepts(&mut self, number: u16, free_child_slots: u16) -> bool {
        self.subscribe(number, free_child_slots)
            .iter()
            .any(|(_, message)| matches!(message, RelayMessage::SubscribeAccepted { .. }))
    }

    /// The alternatives in the refusal of a subscription of the node with this number.
    fn alternatives_for(&mut self, number: u16) -> Vec<SocketAddr> {
        let sent = self.subscribe(number, 8);
        let alternatives = sent.into_iter().find_map(|(_, message)| match message {
            RelayMessage::SubscribeDeclined { alternatives, .. } => Some(alternatives),
            _ => None,
        });
        alternatives.expect("declined")
    }

    /// The receiver and the identifier of the last subscription request; discards all sent messages.
    fn take_last_subscription(&mut self) -> (SocketAddr, u64) {
        let last = self.sent.drain(..).rev().find_map(|(to, message)| match message {
            RelayMessage::Subscribe { subscription, .. } => Some((to, subscription)),
            _ => None,
        });
        last.expect("a subscription")
    }

    fn has_unsubscribed(&self, peer: SocketAddr) -> bool {
        self.sent
            .iter()
            .any(|(to, message)| *to == peer && matches!(message, RelayMessage::Unsubscribe { .. }))
    }

    /// The entries and the tick of each sent update; discards all sent messages.
    fn take_updates(&mut self) -> Vec<(Vec<Entry>, FreshnessTick)> {
        let sent = std::mem::take(&mut self.sent);
        let updates = sent.into_iter().filter_map(|(_, message)| match message {
            RelayMessage::Update { entries, tick, .. } => Some((entries, tick)),
            _ => None,
        });
        updates.collect()
    }
}

#[test]
fn children_are_bounded_and_further_nodes_are_redirected_to_the_least_loaded() {
    let mut root = SingleRelay::root();
    for number in 10..34 {
        assert!(root.accepts(number, 8));
    }
    let first = root.alternatives_for(100);
    assert_eq!(first.len(), 4);
    let second = root.alternatives_for(101);
    assert!(first.iter().all(|alternative| !second.contains(alternative)), "each redirection counts");
    for number in 10..34 {
        let free_child_slots = if number == 20 { 3 } else { 0 };
        let ack = RelayMessage::Ack { subscription: number.into(), sequence: 1, free_child_slots };
        root.message(address(number), ack);
    }
    assert_eq!(root.alternatives_for(102), vec![address(20)], "only this child has a free slot");
    assert!(root.accepts(15, 8), "a child that subscribes again keeps its slot");
    assert_eq!(root.relay.child_count(), 24);
}

#[test]
fn some_slots_are_reserved_for_nodes_that_accept_children() {
    let mut root = SingleRelay::root();
    let accepted_count = (10..60).filter(|number| root.accepts(*number, 0)).count();
    assert_eq!(accepted_count, 18);
    let accepted_count = (100..150).filter(|number| root.accepts(*number, 8)).count();
    assert_eq!(accepted_count, 6);
}

#[test]
fn an_edge_without_free_slots_still_counts_as_one_that_accepts_children() {
    let mut root = SingleRelay::root();
    for number in 10..34 {
        let sent = root.subscribe_with(number, 0, 8);
        assert!(sent.iter().any(|(_, message)| matches!(message, RelayMessage::SubscribeAccepted { .. })));
    }
    assert!(root.alternatives_for(50).is_empty(), "no child has a free slot");
}

#[test]
fn a_backend_accepts_no_children() {
    let mut backend = SingleRelay::root_with(RelaySettings::for_role(Role::Backend, ""));
    assert!(!backend.accepts(10, 8));
}

#[test]
fn a_node_that_is_not_fresh_accepts_no_children() {
    let mut root = SingleRelay::root();
    assert!(root.accepts(10, 8));
    root.run(millis(801));
    assert!(!root.accepts(11, 8));
    root.handle(RelayEvent::Tick(tick(2)));
    assert!(root.accepts(11, 8));
}

#[test]
fn a_node_accepts_neither_its_parent_nor_a_pending_one_nor_itself() {
    let (mut edge, parent, _) = SingleRelay::fresh_edge();
    let number = if parent == address(2) { 2 } else { 3 };
    assert!(!edge.accepts(number, 8));
    assert!(!edge.accepts(OWN_NUMBER, 8));
    edge.handle(RelayEvent::PeerDisconnected { peer: parent });
    let (attempted_parent, _) = edge.take_last_subscription();
    let number = if attempted_parent == address(2) { 2 } else { 3 };
    assert!(!edge.accepts(number, 8));
    assert!(edge.accepts(50, 8));
}

#[test]
fn a_missing_update_ends_the_subscription() {
    let (mut edge, parent, subscription) = SingleRelay::fresh_edge();
    edge.update(parent, subscription, 3, vec![store(1, 1)], tick(2));
    assert!(edge.has_unsubscribed(parent));
    assert_eq!(edge.relay.parent(), None);
    assert_eq!(edge.relay.registry().len(), 0);
    edge.take_last_subscription();
}

#[test]
fn older_entries_change_nothing() {
    let (mut edge, parent, subscription) = SingleRelay::fresh_edge();
    edge.update(parent, subscription, 2, vec![store(1, 5), tombstone(2, 5)], tick(2));
    edge.update(
        parent,
        subscription,
        3,
        vec![store(1, 4), tombstone(1, 4), store(2, 5), store(2, 4)],
        tick(3),
    );
    let known: Vec<Entry> = edge.relay.registry().entries().cloned().collect();
    assert_eq!(known, vec![store(1, 5), tombstone(2, 5)]);
    edge.update(parent, subscription, 4, vec![tombstone(1, 5), store(2, 6)], tick(4));
    let known: Vec<Entry> = edge.relay.registry().entries().cloned().collect();
    assert_eq!(known, vec![tombstone(1, 5), store(2, 6)]);
}

#[test]
fn a_tombstone_expires_by_its_age_wherever_it_came_from() {
    let (mut edge, parent, subscription) = SingleRelay::fresh_edge();
    let update = |sequence, entries, tombstone_ages_ms| {
        let (tick, tick_age_ms) = (tick(sequence), 0);
        RelayMessage::Update { subscription, sequence, entries, tombstone_ages_ms, tick, tick_age_ms }
    };
    edge.message(parent, update(2, vec![store(3, 1)], Vec::new()));
    edge.message(
        parent,
        update(3, vec![tombstone(1, 1), tombstone(2, 1), tombstone(3, 2)], vec![0, 100_000, 100_000]),
    );
    let present = |edge: &SingleRelay| {
        [1, 2, 3].map(|number| edge.relay.registry().entry(&store_key(number)).is_some())
    };
    for (seconds, expected) in
        [(19, [true, true, true]), (2, [true, false, true]), (40, [true, false, false]), (60, [false; 3])]
    {
        edge.run(Duration::from_secs(seconds));
        assert_eq!(present(&edge), expected);
    }
}

#[test]
fn a_parent_that_times_out_is_left_and_another_is_tried() {
    let (mut edge, parent, _) = SingleRelay::fresh_edge();
    edge.run(millis(599));
    assert_eq!(edge.relay.parent(), Some(parent));
    edge.run(millis(2));
    assert_eq!(edge.relay.parent(), None);
    assert_ne!(edge.take_last_subscription().0, parent);
}

#[test]
fn a_parent_without_ticks_is_kept_until_another_accepts() {
    let (mut edge, parent, subscription) = SingleRelay::fresh_edge();
    for sequence in 2..7 {
        edge.run(millis(200));
        edge.update(parent, subscription, sequence, Vec::new(), tick(1));
    }
    assert!(!edge.relay.is_fresh(edge.now));
    assert_eq!(edge.relay.parent(), Some(parent));
    let (other, subscription) = edge.take_last_subscription();
    assert_ne!(other, parent);
    edge.message(other, RelayMessage::SubscribeAccepted { subscription });
    assert!(edge.has_unsubscribed(parent));
    assert_eq!(edge.relay.parent(), Some(other));
}

#[test]
fn an_update_that_waited_during_a_pause_does_not_make_a_node_fresh() {
    let (mut edge, parent, subscription) = SingleRelay::fresh_edge();
    // A pause of the process: the clock advances without timers.
    edge.now += millis(5000);
    edge.update(parent, subscription, 2, Vec::new(), tick(2));
    assert!(!edge.relay.is_fresh(edge.now));
}

#[test]
fn a_tick_older_than_the_freshness_limit_does_not_make_a_node_fresh() {
    let (mut edge, parent, subscription) = SingleRelay::edge();
    let update = |sequence, number, tick_age_ms| {
        let (entries, tick) = (Vec::new(), tick(number));
        RelayMessage::Update {
            subscription,
            sequence,
            entries,
            tick,
            tombstone_ages_ms: Vec::new(),
            tick_age_ms,
        }
    };
    edge.message(parent, update(1, 1, 800));
    assert!(!edge.relay.is_fresh(edge.now));
    edge.message(parent, update(2, 2, 700));
    assert!(edge.relay.is_fresh(edge.now));
    edge.message(parent, update(3, 2, 5));
    edge.run(millis(101));
    assert!(!edge.relay.is_fresh(edge.now), "the age of a tick that was already received does not decrease");
}

#[test]
fn lower_ticks_count_only_for_a_node_that_is_no_longer_fresh() {
    let (mut edge, parent, subscription) = SingleRelay::edge();
    edge.update(parent, subscription, 1, Vec::new(), tick(100));
    // The ticks start from the beginning, as after a restart of the control chain.
    for (sequence, number) in (2..).zip(1..4) {
        edge.run(millis(190));
        edge.update(parent, subscription, sequence, Vec::new(), tick(number));
    }
    edge.run(millis(224));
    assert!(edge.relay.is_fresh(edge.now), "the first tick has not expired");
    edge.run(millis(2));
    assert!(!edge.relay.is_fresh(edge.now), "lower ticks did not extend the freshness");
    edge.update(parent, subscription, 5, Vec::new(), tick(3));
    assert!(!edge.relay.is_fresh(edge.now), "the tick is not higher than the previous one");
    edge.update(parent, subscription, 6, Vec::new(), tick(4));
    assert!(edge.relay.is_fresh(edge.now));
}

#[test]
fn a_subscription_that_begins_without_freshness_may_begin_with_any_tick() {
    let (mut edge, _, _) = SingleRelay::fresh_edge();
    edge.run(millis(900));
    edge.sent.clear();
    for _ in 0..100 {
        if edge.sent.is_empty() {
            edge.run(millis(10));
        }
    }
    let (parent, subscription) = edge.take_last_subscription();
    edge.update(parent, subscription, 1, Vec::new(), FreshnessTick { epoch: 0, number: 1 });
    assert!(edge.relay.is_fresh(edge.now));
}

#[test]
fn messages_of_unknown_subscriptions_are_answered_by_unsubscribe() {
    let (mut edge, _, _) = SingleRelay::fresh_edge();
    let unknown_peer = address(99);
    for message in [
        RelayMessage::SubscribeAccepted { subscription: 7 },
        RelayMessage::Update {
            subscription: 7,
            sequence: 1,
            entries: vec![store(1, 1)],
            tick: tick(9),
            tombstone_ages_ms: Vec::new(),
            tick_age_ms: 0,
        },
        RelayMessage::Ack { subscription: 7, sequence: 1, free_child_slots: 0 },
    ] {
        edge.sent.clear();
        edge.message(unknown_peer, message);
        assert!(edge.has_unsubscribed(unknown_peer));
    }
    assert_eq!(edge.relay.registry().len(), 0);
    edge.sent.clear();
    edge.message(unknown_peer, RelayMessage::Unsubscribe { subscription: 7 });
    edge.message(
        unknown_peer,
        RelayMessage::SubscribeDeclined { subscription: 7, alternatives: vec![address(98)] },
    );
    assert!(edge.sent.is_empty(), "these messages are not answered");
}

#[test]
fn a_full_copy_is_sent_in_bounded_updates_and_the_tick_with_the_last() {
    let mut settings = RelaySettings::for_role(Role::Control, "");
    settings.max_update_bytes = 8 * 1024;
    settings.max_inflight_bytes = 32 * 1024;
    let mut root = SingleRelay::root_with(settings);
    root.handle(RelayEvent::EntriesReceived((0..2000).map(|number| store(number, 1)).collect()));
    let mut entry_count = 0;
    let mut sequence = 0;
    root.sent = root.subscribe(10, 8);
    for _ in 0..100 {
        let updates = root.take_updates();
        assert!(updates.len() <= 5, "more updates than the window allows: {}", updates.len());
        for (received, newest) in updates {
            sequence += 1;
            entry_count += received.len();
            let bytes =
                bincode::serde::encode_to_vec(&received, bincode::config::standard()).expect("encodes").len();
            assert!(bytes <= 8 * 1024 + 256, "{bytes} bytes in one update");
            assert_eq!(newest == tick(1), entry_count == 2000, "the tick comes with the last entries");
        }
        if entry_count == 2000 {
            return;
        }
        root.run(millis(5));
        root.message(address(10), RelayMessage::Ack { subscription: 10, sequence, free_child_slots: 8 });
    }
    panic!("the copy is incomplete after 100 steps");
}

#[test]
fn only_buckets_that_differ_are_sent() {
    let entries: Vec<Entry> = (0..5000).map(|number| store(number, 1)).collect();
    let mut root = SingleRelay::root();
    root.handle(RelayEvent::EntriesReceived(entries.clone()));
    let (mut edge, parent, subscription) = SingleRelay::edge();
    edge.update(parent, subscription, 1, entries, tick(1));
    edge.handle(RelayEvent::PeerDisconnected { peer: parent });
    let subscribe = |edge: &mut SingleRelay| {
        let sent = std::mem::take(&mut edge.sent);
        let last =
            sent.into_iter().rev().find(|(_, message)| matches!(message, RelayMessage::Subscribe { .. }));
        last.expect("a subscription").1
    };
    let message = subscribe(&mut edge);
    root.message(address(50), message.clone());
    assert!(
        root.take_updates().iter().all(|(entries, _)| entries.is_empty()),
        "equal copies need no entries"
    );
    root.handle(RelayEvent::EntriesReceived(vec![store(1, 2), store(2, 2)]));
    root.message(address(50), message);
    let sent: Vec<Entry> = root.take_updates().into_iter().flat_map(|(entries, _)| entries).collect();
    assert!(sent.contains(&store(1, 2)) && sent.contains(&store(2, 2)));
    assert!(sent.len() < 60, "{} entries are sent for two that differ", sent.len());
}

#[test]
fn the_first_change_is_sent_without_delay_and_later_ones_are_batched() {
    let mut root = SingleRelay::root();
    root.accepts(10, 8);
    root.run(millis(25));
    root.sent.clear();
    root.handle(RelayEvent::EntriesReceived(vec![store(1, 1)]));
    assert_eq!(root.take_updates().len(), 1, "the first change is sent without delay");
    for version in 2..20 {
        root.now += millis(1);
        root.handle(RelayEvent::EntriesReceived(vec![store(1, version), store(2, version)]));
    }
    assert_eq!(root.take_updates().len(), 0);
    root.run(millis(20));
    let updates = root.take_updates();
    assert_eq!(updates.len(), 1);
    assert_eq!(
        updates[0].0,
        vec![store(1, 19), store(2, 19)],
        "the newest version of each entry is sent once"
    );
}

#[test]
fn a_child_behind_the_change_log_is_dropped() {
    let mut settings = RelaySettings::for_role(Role::Control, "");
    settings.max_inflight_bytes = 1024;
    settings.max_logged_changes = 100;
    let mut root = SingleRelay::root_with(settings);
    root.accepts(10, 8);
    for number in 0..300 {
        root.run(millis(5));
        root.handle(RelayEvent::EntriesReceived(vec![store(number, 1)]));
        root.handle(RelayEvent::Tick(tick(number as u64 + 2)));
    }
    assert!(root.has_unsubscribed(address(10)));
    assert_eq!(root.relay.child_count(), 0);
}

#[parameterized(
    no_acknowledgements = { false, 0 },
    acknowledgements = { true, 1 },
)]
fn a_child_without_acknowledgements_is_dropped(acknowledges: bool, expected_children: usize) {
    let mut root = SingleRelay::root();
    root.accepts(10, 8);
    for sequence in 1..5 {
        root.run(millis(1000));
        if acknowledges {
            root.message(address(10), RelayMessage::Ack { subscription: 10, sequence, free_child_slots: 8 });
        }
    }
    assert_eq!(root.relay.child_count(), expected_children);
}

#[test]
fn attempts_without_response_back_off_and_alternatives_are_tried_without_delay() {
    let (mut edge, _, _) = SingleRelay::edge();
    edge.run(Duration::from_secs(10));
    let count = |edge: &SingleRelay| {
        edge.sent.iter().filter(|(_, m)| matches!(m, RelayMessage::Subscribe { .. })).count()
    };
    let attempts = count(&edge);
    assert!((10..50).contains(&attempts), "{attempts} attempts in 10 s");
    let (attempted_parent, subscription) = edge.take_last_subscription();
    edge.message(
        attempted_parent,
        RelayMessage::SubscribeDeclined { subscription, alternatives: vec![address(70)] },
    );
    assert_eq!(edge.take_last_subscription().0, address(70));
}

#[test]
fn a_node_that_is_declined_by_all_others_backs_off() {
    let (mut edge, mut attempted_parent, mut subscription) = SingleRelay::edge();
    let mut attempts = 1;
    let end = edge.now + Duration::from_secs(10);
    while edge.now < end {
        edge.message(
            attempted_parent,
            RelayMessage::SubscribeDeclined { subscription, alternatives: Vec::new() },
        );
        while edge.now < end && edge.sent.is_empty() {
            edge.run(millis(5));
        }
        if !edge.sent.is_empty() {
            attempts += 1;
            (attempted_parent, subscription) = edge.take_last_subscription();
        }
    }
    assert!((20..80).contains(&attempts), "{attempts} attempts in 10 s");
}

#[test]
fn a_copy_whose_tombstones_all_expired_has_an_empty_digest() {
    let (mut edge, parent, subscription) = SingleRelay::fresh_edge();
    edge.update(parent, subscription, 2, vec![store(1, 1), store(2, 1)], tick(2));
    edge.update(parent, subscription, 3, vec![tombstone(1, 2), tombstone(2, 2)], tick(3));
    edge.run(Duration::from_secs(121));
    assert!(edge.relay.registry().is_empty());
    let digest = |relay: &mut SingleRelay| {
        relay.sent.clear();
        relay.handle(RelayEvent::Tick(tick(9)));
        relay.run(millis(2000));
        relay.sent.iter().rev().find_map(|(_, message)| match message {
            RelayMessage::Subscribe { digest, .. } if !digest.is_empty() => Some(digest.clone()),
            _ => None,
        })
    };
    let (mut empty, _, _) = SingleRelay::edge();
    assert_eq!(
        digest(&mut edge).expect("a subscription with a digest"),
        digest(&mut empty).expect("a subscription with a digest")
    );
}
