//! Sessions: who owns them, when they end, and what is shared.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_control::sessions::{
    HeartbeatOutcome, ReplicationSettings, SessionReplication, SessionSettings, Sessions,
};
use gingerledge_protocol::StoreState;
use gingerledge_wire::{Entry, Key, Registry, StoreRecord, Value, FINAL_VERSION};
use yare::parameterized;

const INTERVAL: Duration = Duration::from_millis(1_200);
const SETTINGS: SessionSettings = SessionSettings {
    store_interval: INTERVAL,
    node_interval: Duration::from_millis(500),
    missed_heartbeats: 3,
};

fn control(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7380))
}

fn key() -> Key {
    Key::Store("i-1".to_owned())
}

fn store(state: StoreState) -> Value {
    Value::Store(StoreRecord {
        service: "s".to_owned(),
        address: SocketAddr::from(([10, 1, 0, 1], 8080)),
        zone: "z".to_owned(),
        software: "v1".to_owned(),
        slots: 12,
        state,
        models: Vec::new(),
    })
}

fn ready() -> Value {
    store(StoreState::Ready)
}

/// One control node: its sessions and its copy of the registry.
struct Node {
    sessions: Sessions,
    registry: Registry,
}

impl Node {
    fn new(last: u8) -> Self {
        Self { sessions: Sessions::new(SETTINGS, control(last)), registry: Registry::default() }
    }

    /// A heartbeat; the entry that is to be shared, if any.
    fn hear(&mut self, now: Duration, sequence: u64, value: Value) -> Option<Entry> {
        match self.sessions.on_heartbeat(now, key(), sequence, value, self.registry.entry(&key())) {
            HeartbeatOutcome::Changed(entry) => {
                assert!(self.registry.merge(entry.clone()), "what changed must be new here");
                Some(entry)
            }
            HeartbeatOutcome::Stale | HeartbeatOutcome::Unchanged => None,
        }
    }

    fn take(&mut self, now: Duration, from: u8, entry: &Entry) {
        if self.registry.merge(entry.clone()) {
            self.sessions.on_replicated(now, control(from), entry);
        }
    }

    fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let gone = self.sessions.expire(now);
        for entry in &gone {
            assert!(self.registry.merge(entry.clone()), "an end must be new here");
        }
        gone
    }

    fn is_there(&self) -> bool {
        self.registry.stores().count() == 1
    }
}

#[test]
fn heartbeats_that_change_nothing_are_not_shared() {
    let mut node = Node::new(1);
    assert!(node.hear(INTERVAL, 4, ready()).is_some());
    assert_eq!(node.hear(INTERVAL * 2, 5, ready()), None);
    assert_eq!(node.hear(INTERVAL * 3, 6, ready()), None);
}

#[test]
fn a_change_of_state_is_shared_with_its_own_sequence() {
    let mut node = Node::new(1);
    node.hear(INTERVAL, 4, ready());
    let entry = node.hear(INTERVAL * 2, 9, store(StoreState::Draining)).expect("a change");
    assert_eq!(entry.version, 9);
}

#[test]
fn a_heartbeat_that_is_late_behind_one_that_changed_nothing_changes_nothing_either() {
    let mut node = Node::new(1);
    node.hear(INTERVAL, 4, ready());
    node.hear(INTERVAL * 2, 9, ready());
    assert_eq!(node.hear(INTERVAL * 3, 8, store(StoreState::Draining)), None);
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut node = Node::new(1);
    node.hear(INTERVAL, 9, store(StoreState::Draining));
    assert_eq!(node.hear(INTERVAL * 2, 8, ready()), None);
    assert!(node.registry.stores().all(|(_, store)| store.state == StoreState::Draining));
    node.expire(INTERVAL * 9);
    assert!(!node.is_there(), "the end goes behind the newest heartbeat, not behind the late one");
}

#[parameterized(within = { 3, true }, beyond = { 4, false })]
fn a_source_is_gone_after_three_silent_intervals(intervals: u32, there: bool) {
    let mut node = Node::new(1);
    node.hear(Duration::ZERO, 4, ready());
    node.expire(INTERVAL * intervals);
    assert_eq!(node.is_there(), there);
}

#[test]
fn a_source_that_was_only_silent_is_back_with_its_next_heartbeat() {
    let mut node = Node::new(1);
    node.hear(Duration::ZERO, 4, ready());
    node.hear(INTERVAL, 5, ready());
    node.expire(INTERVAL * 6);
    assert!(!node.is_there());
    let entry = node.hear(INTERVAL * 7, 6, ready()).expect("news");
    assert_eq!(entry.version, 6);
    assert!(node.is_there());
}

#[test]
fn a_source_that_ended_itself_stays_gone() {
    let mut node = Node::new(1);
    node.hear(Duration::ZERO, 4, ready());
    let entry = node.sessions.end(key());
    assert_eq!((entry.version, entry.value.clone()), (FINAL_VERSION, Value::Tombstone));
    node.registry.merge(entry);
    assert_eq!(node.hear(INTERVAL, 7, ready()), None);
    assert!(!node.is_there());
    assert!(node.expire(INTERVAL * 9).is_empty(), "a late heartbeat opens no session");
}

#[test]
fn one_that_was_superseded_by_mistake_is_back_with_its_next_heartbeat() {
    let mut node = Node::new(1);
    node.hear(Duration::ZERO, 4, ready());
    let gone = node.sessions.supersede(key()).expect("a session");
    assert!(node.registry.merge(gone));
    assert_eq!(node.hear(INTERVAL, 4, ready()), None, "a late heartbeat is no sign of life");
    assert!(!node.is_there());
    assert!(node.hear(INTERVAL, 5, ready()).is_some());
    assert!(node.is_there());
}

#[test]
fn only_the_owner_ends_a_session() {
    let (mut owner, mut other) = (Node::new(1), Node::new(2));
    let entry = owner.hear(Duration::ZERO, 4, ready()).expect("news");
    other.take(Duration::ZERO, 1, &entry);
    assert!(other.expire(INTERVAL * 100).is_empty());
    assert_eq!(owner.expire(INTERVAL * 100).len(), 1);
}

#[test]
fn a_source_that_moves_takes_its_session_along() {
    let (mut first, mut second) = (Node::new(1), Node::new(2));
    let entry = first.hear(Duration::ZERO, 4, ready()).expect("news");
    second.take(Duration::ZERO, 1, &entry);
    let moved = second.hear(INTERVAL, 5, ready()).expect("a new owner is news");
    first.take(INTERVAL, 2, &moved);
    assert_eq!(first.sessions.owner(&key()), Some(control(2)));
    assert!(first.expire(INTERVAL * 100).is_empty());
}

#[test]
fn the_end_declared_by_a_former_owner_does_not_beat_a_later_heartbeat_elsewhere() {
    let (mut first, mut second) = (Node::new(1), Node::new(2));
    let entry = first.hear(Duration::ZERO, 4, ready()).expect("news");
    second.take(Duration::ZERO, 1, &entry);
    second.hear(INTERVAL, 5, ready());
    // The two are cut off from each other: the first has heard nothing of the move.
    let gone = first.expire(INTERVAL * 6);
    second.take(INTERVAL * 6, 1, &gone[0]);
    assert!(second.is_there());
}

#[test]
fn sessions_of_a_lost_owner_get_a_new_grace_and_end_after_it() {
    let (mut owner, mut heir) = (Node::new(1), Node::new(2));
    let entry = owner.hear(Duration::ZERO, 4, ready()).expect("news");
    heir.take(Duration::ZERO, 1, &entry);
    let lost_at = INTERVAL * 10;
    heir.sessions.take_over(lost_at, control(1));
    assert!(heir.expire(lost_at + INTERVAL * 3).is_empty());
    assert_eq!(heir.expire(lost_at + INTERVAL * 4).len(), 1);
}

#[test]
fn whoever_hears_an_adopted_source_tells_the_other_heirs() {
    let (mut owner, mut heir, mut other) = (Node::new(1), Node::new(2), Node::new(3));
    let entry = owner.hear(Duration::ZERO, 4, ready()).expect("news");
    for node in [&mut heir, &mut other] {
        node.take(Duration::ZERO, 1, &entry);
        node.sessions.take_over(INTERVAL, control(1));
    }
    let heard = heir.hear(INTERVAL * 2, 6, ready()).expect("the others must learn who owns it now");
    other.take(INTERVAL * 2, 2, &heard);
    assert!(other.expire(INTERVAL * 100).is_empty());
}

#[test]
fn a_process_that_stood_still_ends_nothing_at_once() {
    let mut node = Node::new(1);
    node.hear(Duration::ZERO, 4, ready());
    node.sessions.restart_timeouts(INTERVAL * 20);
    assert!(node.expire(INTERVAL * 21).is_empty());
    assert_eq!(node.expire(INTERVAL * 24).len(), 1);
}

fn registry_with(count: usize) -> (Registry, Vec<Key>) {
    let mut registry = Registry::default();
    let keys: Vec<Key> = (0..count).map(|at| Key::Store(format!("i-{at}"))).collect();
    for key in &keys {
        registry.merge(Entry { key: key.clone(), version: 1, value: ready() });
    }
    (registry, keys)
}

const BATCH: usize = 2;

fn sharing() -> SessionReplication {
    let settings =
        ReplicationSettings { resend: Duration::from_millis(250), batch_entries: BATCH, max_peers: 2 };
    let mut sharing = SessionReplication::new(settings);
    sharing.on_peer_connected(control(2), std::iter::empty());
    sharing
}

#[test]
fn a_change_is_held_once_the_peer_has_answered() {
    let (registry, keys) = registry_with(1);
    let mut sharing = sharing();
    sharing.mark_dirty(&keys[0]);
    assert!(!sharing.is_replicated_to(control(2), &keys[0]));
    let shares = sharing.poll(Duration::ZERO, &registry);
    assert_eq!((shares.len(), shares[0].to, shares[0].entries.len()), (1, control(2), 1));
    assert!(!sharing.is_replicated_to(control(2), &keys[0]));
    sharing.on_acknowledged(control(2), shares[0].sequence);
    assert!(sharing.is_replicated_to(control(2), &keys[0]));
}

#[test]
fn what_changes_again_under_way_is_sent_again() {
    let (registry, keys) = registry_with(1);
    let mut sharing = sharing();
    sharing.mark_dirty(&keys[0]);
    let first = sharing.poll(Duration::ZERO, &registry);
    sharing.mark_dirty(&keys[0]);
    sharing.on_acknowledged(control(2), first[0].sequence);
    assert!(!sharing.is_replicated_to(control(2), &keys[0]));
    assert_eq!(sharing.poll(Duration::ZERO, &registry).len(), 1);
}

#[test]
fn a_message_without_answer_is_repeated_under_a_new_number() {
    let (registry, keys) = registry_with(1);
    let mut sharing = sharing();
    sharing.mark_dirty(&keys[0]);
    let first = sharing.poll(Duration::ZERO, &registry);
    assert!(sharing.poll(Duration::from_millis(200), &registry).is_empty());
    let second = sharing.poll(Duration::from_millis(250), &registry);
    assert_eq!(second[0].entries, first[0].entries);
    sharing.on_acknowledged(control(2), first[0].sequence);
    assert!(
        !sharing.is_replicated_to(control(2), &keys[0]),
        "an answer to the lost copy says nothing of the newest"
    );
}

#[test]
fn a_peer_that_is_lost_is_told_all_when_it_is_back() {
    let (registry, keys) = registry_with(3);
    let mut sharing = sharing();
    sharing.mark_dirty(&keys[0]);
    sharing.on_peer_lost(control(2));
    assert!(!sharing.is_replicated_to(control(2), &keys[0]), "nothing is known of a peer that is lost");
    sharing.on_peer_connected(control(2), keys.iter().cloned());
    let mut told = 0;
    while let Some(share) = sharing.poll(Duration::ZERO, &registry).pop() {
        assert!(share.entries.len() <= BATCH);
        told += share.entries.len();
        sharing.on_acknowledged(control(2), share.sequence);
    }
    assert_eq!(told, 3);
}
