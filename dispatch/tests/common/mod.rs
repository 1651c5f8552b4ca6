//! A test harness: passes events to one aggregator and records its actions.
#![allow(dead_code, clippy::unnecessary_to_owned)]

pub mod fleet;

use gingerledge_dispatch::{
    Action, Aggregator, Class, Event, ListKind, Millis, Outcome, Repeat, RequestId, ServerEntry, ServerId,
    ServerStatus, Settings,
};

/// An attempt that the aggregator sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    pub part: RequestId,
    pub server: ServerId,
    pub attempt: u32,
    pub at: Millis,
    pub timeout: Millis,
}

pub struct Harness {
    pub now: Millis,
    pub aggregator: Aggregator,
    pub actions: Vec<Action>,
    /// The attempts sent so far, in order.
    pub sent: Vec<SentAttempt>,
    /// Number of actions that have been searched for sends.
    processed_actions: usize,
    /// The id of the latest part.
    last_part_id: RequestId,
}

/// Settings with a ring of cells and one class: a latency target of 1 s, a deadline of 4 s, all parts
/// required.
pub fn ring_settings(cells: u32, reach: u32, shards: u32) -> Settings {
    Settings {
        aggregators: 3,
        turn_ms: 5.0,
        classes: vec![class()],
        cells,
        reach,
        shards,
        max_parts_per_call: 1,
        max_attempts: 4,
        allows_parallel_attempts: true,
        list_refresh_ms: 10_000.0,
        answer_slack_ms: 20.0,
        drain_grace_ms: 500.0,
        warm_up_start_capacity: 0.2,
        warm_up_ms: 10_000.0,
        overload_factor: 2.0,
        overload_window_ms: 2000.0,
        max_retry_after_ms: 500.0,
        ..Settings::default()
    }
}

pub fn class() -> Class {
    Class {
        latency_target_ms: 1000.0,
        deadline_ms: 4000.0,
        late_value_share: 0.3,
        value: 1.0,
        required_share: 1.0,
        minimum_share: 1.0,
        partial_value: 0.9,
        ..Class::default()
    }
}

pub fn ready(server: ServerId) -> ServerEntry {
    ServerEntry { server, cell: server, status: ServerStatus::Ready, ..ServerEntry::default() }
}

impl Harness {
    /// Creates an aggregator whose list has `servers` servers, one in each cell.
    pub fn new(settings: Settings, servers: u32) -> Self {
        Self::with_seed(11, settings, servers)
    }

    pub fn with_seed(seed: u64, settings: Settings, servers: u32) -> Self {
        let mut harness = Self {
            now: 1000.0,
            aggregator: Aggregator::new(seed, settings, 1000.0),
            actions: Vec::new(),
            sent: Vec::new(),
            processed_actions: 0,
            last_part_id: 1000,
        };
        harness.update_list(ListKind::Complete, (0..servers).map(ready).collect());
        harness
    }

    pub fn handle(&mut self, event: Event) {
        self.aggregator.handle(self.now, event, &mut self.actions);
    }

    pub fn update_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.handle(Event::ServerList { kind, entries });
    }

    /// Ends the turn and records the attempts that were sent.
    pub fn end_turn(&mut self) {
        self.aggregator.end_turn(self.now, &mut self.actions);
        for action in &self.actions[self.processed_actions..] {
            if let Action::Send { part, server, timeout_ms } = *action {
                let attempt = self.sent.iter().filter(|sent| sent.part == part).count() as u32;
                self.sent.push(SentAttempt { part, server, attempt, at: self.now, timeout: timeout_ms });
            }
        }
        self.processed_actions = self.actions.len();
    }

    /// Submits a query with equal parts at these shards, without ending the turn. Returns the ids of the
    /// parts.
    pub fn begin_query(&mut self, id: RequestId, class: usize, shards: &[u32]) -> Vec<RequestId> {
        let deadline = self.now + 3000.0;
        let parts = shards.len() as u32;
        self.handle(Event::Query { id, number: id, class, tenant: None, deadline, parts, repeated: false });
        self.add_parts(id, shards)
    }

    /// Adds equal parts at these shards to a query. Returns the ids of the parts.
    pub fn add_parts(&mut self, number: u64, shards: &[u32]) -> Vec<RequestId> {
        let weight = 1.0 / shards.len() as f64;
        let mut ids = Vec::new();
        for &shard in shards {
            self.last_part_id += 1;
            self.handle(Event::Part { id: self.last_part_id, number, shard, weight, cost_ms: None });
            ids.push(self.last_part_id);
        }
        ids
    }

    /// Submits a query like [`Harness::begin_query`], and ends the turn.
    pub fn query(&mut self, id: RequestId, class: usize, shards: &[u32]) -> Vec<RequestId> {
        let ids = self.begin_query(id, class, shards);
        self.end_turn();
        ids
    }

    /// Reports the outcome of an attempt, without ending the turn.
    pub fn end_attempt(&mut self, sent: SentAttempt, outcome: Outcome) {
        let SentAttempt { part, server, attempt, at, .. } = sent;
        let elapsed_ms = self.now - at;
        self.handle(Event::AttemptEnded { part, attempt, server, elapsed_ms, outcome, report: Vec::new() });
    }

    /// Advances the time in steps of 5 ms. The timer expires and a turn ends in each of them.
    pub fn advance(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 5.0).min(end);
            self.handle(Event::Timer { token: 0 });
            self.end_turn();
        }
    }

    /// Reports the same outcome for all attempts sent since the one with index `from`, and ends the turn.
    pub fn end_attempts_from(&mut self, from: usize, outcome: Outcome) {
        for sent in self.sent[from..].to_vec() {
            self.end_attempt(sent, outcome);
        }
        self.end_turn();
    }

    /// The answers to a query, in order: the final one and that of a first step.
    pub fn answers_to(&self, id: RequestId) -> Vec<Action> {
        let is_answer = |action: &&Action| match action {
            Action::Answer { query, .. } | Action::Reject { query, .. } | Action::Fail { query } => {
                *query == id
            }
            _ => false,
        };
        self.actions.iter().filter(is_answer).cloned().collect()
    }
}

/// Creates a harness with two servers that hold every shard, and a usual latency of 100 ms learned from both.
pub fn harness_with_latency_samples() -> Harness {
    harness_with_latency_target(1000.0)
}

/// Creates a harness like [`harness_with_latency_samples`], with the given latency target.
pub fn harness_with_latency_target(latency_target_ms: f64) -> Harness {
    let mut settings = ring_settings(2, 2, 2);
    settings.classes = vec![Class { latency_target_ms, ..class() }; 2];
    let mut harness = Harness::new(settings, 2);
    for id in 100..110 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 1]);
        harness.query(id + 100, 1, &[0, 1]);
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    harness
}

/// The server to which the latest attempt was sent.
pub fn last_server(harness: &Harness) -> ServerId {
    harness.sent.last().unwrap().server
}

/// The attempts withdrawn so far, as pairs of part and attempt number.
pub fn withdrawals(harness: &Harness) -> Vec<(u64, u32)> {
    let withdrawal = |action: &Action| match *action {
        Action::Withdraw { part, attempt } => Some((part, attempt)),
        _ => None,
    };
    harness.actions.iter().filter_map(withdrawal).collect()
}

/// Creates a harness with two servers that hold every shard and have a latency sample each. Parallel attempts
/// are not allowed, so that a late part moves to the other server.
pub fn harness_without_parallel_attempts(repeat: Repeat) -> Harness {
    let mut settings = ring_settings(2, 2, 2);
    (settings.allows_parallel_attempts, settings.allows_withdrawals) = (false, true);
    settings.classes = vec![Class { repeat, deduplication_ms: 2000.0, ..class() }];
    let mut harness = Harness::new(settings, 2);
    harness.query(100, 0, &[0, 0]);
    harness.now += 100.0;
    harness.end_attempts_from(0, Outcome::Success);
    harness.sent.clear();
    harness
}

/// Creates a harness with three servers that hold one shard each. In class 1, any two of three parts make an
/// answer complete.
pub fn harness_with_spare_parts() -> Harness {
    let mut settings = ring_settings(3, 1, 3);
    settings.classes = vec![class(), Class { required_share: 0.6, minimum_share: 0.6, ..class() }];
    (settings.allows_parallel_attempts, settings.allows_withdrawals) = (false, true);
    Harness::new(settings, 3)
}
