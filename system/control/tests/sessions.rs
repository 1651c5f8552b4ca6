//! Sessions: who owns them, when they expire, and what is replicated.

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
    store_heartbeat_interval: INTERVAL,
    node_heartbeat_interval: Duration::from_millis(500),
    max_missed_heartbeats: 3,
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

    /// A heartbeat; the entry that is to be replicated, if any.
    fn on_heartbeat(&mut self, now: Duration, sequence: u64, value: Value) -> Option<Entry> {
        match self.sessions.on_heartbeat(now, key(), sequence, value, self.registry.entry(&key())) {
            HeartbeatOutcome::Changed(entry) => {
                assert!(self.registry.merge(entry.clone()), "what changed must be new here");
                Some(entry)
            }
            HeartbeatOutcome::Stale | HeartbeatOutcome::Unchanged => None,
        }
    }

    fn on_replicated(&mut self, now: Duration, from: u8, entry: &Entry) {
        if self.registry.merge(entry.clone()) {
            self.sessions.on_replicated(now, control(from), entry);
        }
    }

    fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let expired = self.sessions.expire(now);
        for entry in &expired {
            assert!(self.registry.merge(entry.clone()), "an end must be new here");
        }
        expired
    }

    fn is_present(&self) -> bool {
        self.registry.stores().count() == 1
    }
}

#[test]
fn heartbeats_that_change_nothing_are_not_replicated() {
    let mut node = Node::new(1);
    assert!(node.on_heartbeat(INTERVAL, 4, ready()).is_some());
    assert_eq!(node.on_heartbeat(INTERVAL * 2, 5, ready()), None);
    assert_eq!(node.on_heartbeat(INTERVAL * 3, 6, ready()), None);
}

#[test]
fn a_change_of_state_is_replicated_with_its_own_sequence() {
    let mut node = Node::new(1);
    node.on_heartbeat(INTERVAL, 4, ready());
    let entry = node.on_heartbeat(INTERVAL * 2, 9, store(StoreState::Draining)).expect("a change");
    assert_eq!(entry.version, 9);
}

#[test]
fn a_heartbeat_that_is_late_behind_one_that_changed_nothing_changes_nothing_either() {
    let mut node = Node::new(1);
    node.on_heartbeat(INTERVAL, 4, ready());
    node.on_heartbeat(INTERVAL * 2, 9, ready());
    assert_eq!(node.on_heartbeat(INTERVAL * 3, 8, store(StoreState::Draining)), None);
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut node = Node::new(1);
    node.on_heartbeat(INTERVAL, 9, store(StoreState::Draining));
    assert_eq!(node.on_heartbeat(INTERVAL * 2, 8, ready()), None);
    assert!(node.registry.stores().all(|(_, store)| store.state == StoreState::Draining));
    node.expire(INTERVAL * 9);
    assert!(!node.is_present(), "the end goes behind the newest heartbeat, not behind the late one");
}

#[parameterized(within = { 3, true }, beyond = { 4, false })]
fn a_session_expires_after_three_missed_heartbeats(intervals: u32, there: bool) {
    let mut node = Node::new(1);
    node.on_heartbeat(Duration::ZERO, 4, ready());
    node.expire(INTERVAL * intervals);
    assert_eq!(node.is_present(), there);
}

#[test]
fn a_source_whose_session_expired_is_back_with_its_next_heartbeat() {
    let mut node = Node::new(1);
    node.on_heartbeat(Duration::ZERO, 4, ready());
    node.on_heartbeat(INTERVAL, 5, ready());
    node.expire(INTERVAL * 6);
    assert!(!node.is_present());
    let entry = node.on_heartbeat(INTERVAL * 7, 6, ready()).expect("a change");
    assert_eq!(entry.version, 6);
    assert!(node.is_present());
}

#[test]
fn a_source_that_deregistered_stays_removed() {
    let mut node = Node::new(1);
    node.on_heartbeat(Duration::ZERO, 4, ready());
    let entry = node.sessions.end(key());
    assert_eq!((entry.version, entry.value.clone()), (FINAL_VERSION, Value::Tombstone));
    node.registry.merge(entry);
    assert_eq!(node.on_heartbeat(INTERVAL, 7, ready()), None);
    assert!(!node.is_present());
    assert!(node.expire(INTERVAL * 9).is_empty(), "a late heartbeat opens no session");
}

#[test]
fn one_that_was_superseded_by_mistake_is_back_with_its_next_heartbeat() {
    let mut node = Node::new(1);
    node.on_heartbeat(Duration::ZERO, 4, ready());
    let expired = node.sessions.supersede(key()).expect("a session");
    assert!(node.registry.merge(expired));
    assert_eq!(node.on_heartbeat(INTERVAL, 4, ready()), None, "a late heartbeat is no sign of life");
    assert!(!node.is_present());
    assert!(node.on_heartbeat(INTERVAL, 5, ready()).is_some());
    assert!(node.is_present());
}

#[test]
fn only_the_owner_ends_a_session() {
    let (mut owner, mut other) = (Node::new(1), Node::new(2));
    let entry = owner.on_heartbeat(Duration::ZERO, 4, ready()).expect("a change");
    other.on_replicated(Duration::ZERO, 1, &entry);
    assert!(other.expire(INTERVAL * 100).is_empty());
    assert_eq!(owner.expire(INTERVAL * 100).len(), 1);
}

#[test]
fn a_source_that_moves_takes_its_session_along() {
    let (mut first, mut second) = (Node::new(1), Node::new(2));
    let entry = first.on_heartbeat(Duration::ZERO, 4, ready()).expect("a change");
    second.on_replicated(Duration::ZERO, 1, &entry);
    let moved = second.on_heartbeat(INTERVAL, 5, ready()).expect("a new owner is a change");
    first.on_replicated(INTERVAL, 2, &moved);
    assert_eq!(first.sessions.owner(&key()), Some(control(2)));
    assert!(first.expire(INTERVAL * 100).is_empty());
}

#[test]
fn the_end_declared_by_a_former_owner_does_not_beat_a_later_heartbeat_elsewhere() {
    let (mut first, mut second) = (Node::new(1), Node::new(2));
    let entry = first.on_heartbeat(Duration::ZERO, 4, ready()).expect("a change");
    second.on_replicated(Duration::ZERO, 1, &entry);
    second.on_heartbeat(INTERVAL, 5, ready());
    // The two are cut off from each other: the first has received nothing of the move.
    let expired = first.expire(INTERVAL * 6);
    second.on_replicated(INTERVAL * 6, 1, &expired[0]);
    assert!(second.is_present());
}

#[test]
fn sessions_of_a_lost_owner_get_a_new_timeout_and_expire_after_it() {
    let (mut owner, mut successor) = (Node::new(1), Node::new(2));
    let entry = owner.on_heartbeat(Duration::ZERO, 4, ready()).expect("a change");
    successor.on_replicated(Duration::ZERO, 1, &entry);
    let lost_at = INTERVAL * 10;
    successor.sessions.take_over(lost_at, control(1));
    assert!(successor.expire(lost_at + INTERVAL * 3).is_empty());
    assert_eq!(successor.expire(lost_at + INTERVAL * 4).len(), 1);
}

#[test]
fn the_node_that_receives_a_heartbeat_of_a_taken_over_session_replicates_it() {
    let (mut owner, mut successor, mut other) = (Node::new(1), Node::new(2), Node::new(3));
    let entry = owner.on_heartbeat(Duration::ZERO, 4, ready()).expect("a change");
    for node in [&mut successor, &mut other] {
        node.on_replicated(Duration::ZERO, 1, &entry);
        node.sessions.take_over(INTERVAL, control(1));
    }
    let received =
        successor.on_heartbeat(INTERVAL * 2, 6, ready()).expect("the others must learn who owns it now");
    other.on_replicated(INTERVAL * 2, 2, &received);
    assert!(other.expire(INTERVAL * 100).is_empty());
}

#[test]
fn a_process_that_stood_still_expires_no_session_before_a_new_timeout() {
    let mut node = Node::new(1);
    node.on_heartbeat(Duration::ZERO, 4, ready());
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

fn replication() -> SessionReplication {
    let settings = ReplicationSettings {
        resend_interval: Duration::from_millis(250),
        max_batch_entries: BATCH,
        max_peers: 2,
    };
    let mut replication = SessionReplication::new(settings);
    replication.on_peer_connected(control(2), std::iter::empty());
    replication
}

#[test]
fn a_change_is_replicated_once_the_peer_has_acknowledged_it() {
    let (registry, keys) = registry_with(1);
    let mut replication = replication();
    replication.mark_dirty(&keys[0]);
    assert!(!replication.is_replicated_to(control(2), &keys[0]));
    let batches = replication.poll(Duration::ZERO, &registry);
    assert_eq!((batches.len(), batches[0].to, batches[0].entries.len()), (1, control(2), 1));
    assert!(!replication.is_replicated_to(control(2), &keys[0]));
    replication.on_acknowledged(control(2), batches[0].sequence);
    assert!(replication.is_replicated_to(control(2), &keys[0]));
}

#[test]
fn an_entry_that_changes_while_in_flight_is_sent_again() {
    let (registry, keys) = registry_with(1);
    let mut replication = replication();
    replication.mark_dirty(&keys[0]);
    let first = replication.poll(Duration::ZERO, &registry);
    replication.mark_dirty(&keys[0]);
    replication.on_acknowledged(control(2), first[0].sequence);
    assert!(!replication.is_replicated_to(control(2), &keys[0]));
    assert_eq!(replication.poll(Duration::ZERO, &registry).len(), 1);
}

#[test]
fn a_batch_without_an_acknowledgement_is_resent_under_a_new_sequence() {
    let (registry, keys) = registry_with(1);
    let mut replication = replication();
    replication.mark_dirty(&keys[0]);
    let first = replication.poll(Duration::ZERO, &registry);
    assert!(replication.poll(Duration::from_millis(200), &registry).is_empty());
    let second = replication.poll(Duration::from_millis(250), &registry);
    assert_eq!(second[0].entries, first[0].entries);
    replication.on_acknowledged(control(2), first[0].sequence);
    assert!(
        !replication.is_replicated_to(control(2), &keys[0]),
        "an answer to the lost copy says nothing of the newest"
    );
}

#[test]
fn a_lost_peer_gets_all_entries_when_it_is_back() {
    let (registry, keys) = registry_with(3);
    let mut replication = replication();
    replication.mark_dirty(&keys[0]);
    replication.on_peer_lost(control(2));
    assert!(!replication.is_replicated_to(control(2), &keys[0]), "nothing is known of a peer that is lost");
    replication.on_peer_connected(control(2), keys.iter().cloned());
    let mut sent = 0;
    while let Some(batch) = replication.poll(Duration::ZERO, &registry).pop() {
        assert!(batch.entries.len() <= BATCH);
        sent += batch.entries.len();
        replication.on_acknowledged(control(2), batch.sequence);
    }
    assert_eq!(sent, 3);
}
