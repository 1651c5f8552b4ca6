//! Open queries, their parts and attempts. [`Core`] hosts the decision module's [`Aggregator`]: in each turn it passes the
//! new [`CoreEvent`]s on and translates the resulting actions into [`Command`]s for the driver, which owns the sockets.
//! The core handles no wire format, and makes no decision of its own beyond the last check of attempts ([`Guard`]).

mod completion;
mod guard;
mod key;
mod messages;
mod successors;

pub use guard::{AttemptHistory, Guard};
pub use key::{BadKey, IdempotencyKey, KEY_MAX};
pub use messages::*;

use std::collections::BTreeMap;
use std::rc::Rc;

use gingerledge_blocks::{Epoch, Span};
use gingerledge_dispatch::{
    Action, Aggregator, Event, Millis, Outcome, Repeat, RequestId, ServerId, Settings,
};

use crate::routes::{Routes, Target};
use successors::ParkedAttempt;

/// A query without a final answer.
#[derive(Debug)]
struct OpenQuery {
    request: Query,
    /// Ids of the parts of its current step.
    parts: Vec<RequestId>,
    /// Result of the first step, once the second one has begun.
    first_step: Option<Rc<FirstStep>>,
}

/// A part of an open query's current step.
#[derive(Debug)]
struct Part {
    query: QueryId,
    /// The current block, or the shard where blocks never move.
    shard: u32,
    /// The weighers requested of the block, if not all of them.
    slice: Option<Span>,
    first_weigher: u64,
    /// The only weigher that the part concerns, if the client named one.
    weigher: Option<u64>,
    /// The block number that the client used.
    requested_block: u32,
    weight: f64,
    /// Number of attempts made so far, including those of the parts that this one replaces.
    attempts: u32,
    in_flight: bool,
    /// Time at which the first attempt was sent that may have been executed.
    possibly_executed_at: Option<Millis>,
    served: Option<Served>,
}

/// An attempt that was sent and has not ended.
#[derive(Debug)]
struct InFlightAttempt {
    server: ServerId,
    sent: Millis,
    /// The block's epoch when the store was chosen.
    epoch: Option<Epoch>,
    /// Whether the attempt was cancelled because the client disconnected.
    is_cancelled: bool,
}

/// Maximum number of rounds in which a turn handles the events that its own actions cause: second steps, and attempts that
/// must not be made.
const ROUNDS_MAX: usize = 4;

/// Hosts one [`Aggregator`]; a state machine without I/O.
#[derive(Debug)]
pub struct Core {
    aggregator: Aggregator,
    /// For each class, the number of parts of its second step; 0 if it has none.
    follow_up: Vec<u32>,
    /// For each class, whether a part must be executed at most once.
    at_most_once: Vec<bool>,
    guard: Guard,
    /// Whether the settings allow attempts to be withdrawn.
    allows_withdrawals: bool,
    /// Attempts to be cancelled at the end of the turn, since their clients disconnected.
    cancelled: Vec<AttemptId>,
    /// The block map, where blocks may move.
    routes: Option<Rc<Routes>>,
    parked: Vec<ParkedAttempt>,
    /// Queries that the core itself ended in this turn, since no current block can serve them, with their answers.
    completed: Vec<(QueryId, FinalAnswer)>,
    /// In-flight attempts of those queries, to be withdrawn at the end of the turn.
    withdrawn: Vec<AttemptId>,
    /// Whether a store reported an epoch newer than the block map's.
    refresh_block_map: bool,
    /// Number of aggregators in the settings, without a second process of this broker.
    aggregators: u32,
    queries: BTreeMap<QueryId, OpenQuery>,
    parts: BTreeMap<RequestId, Part>,
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    last_part_id: RequestId,
    /// The earliest timer that the aggregator has set: when it is due, in Unix milliseconds, and its token.
    timer: Option<(Millis, u64)>,
}

impl Core {
    /// A core without stores, at a site where blocks never move.
    pub fn new(seed: u64, settings: Settings, now: Millis) -> Self {
        Self::with_routes(seed, settings, now, None)
    }

    /// A core that resolves block numbers through `routes`, if blocks may move.
    pub fn with_routes(seed: u64, settings: Settings, now: Millis, routes: Option<Rc<Routes>>) -> Self {
        Self {
            at_most_once: settings.classes.iter().map(|class| class.repeat == Repeat::Unsafe).collect(),
            guard: Guard::new(&settings),
            allows_withdrawals: settings.allows_withdrawals,
            cancelled: Vec::new(),
            routes,
            parked: Vec::new(),
            completed: Vec::new(),
            withdrawn: Vec::new(),
            refresh_block_map: false,
            follow_up: settings.classes.iter().map(|class| class.follow_up_parts).collect(),
            aggregators: settings.aggregators.max(1),
            aggregator: Aggregator::new(seed, settings, now),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            // Keeps the ids of parts apart from those of queries, which count from 1.
            last_part_id: 1 << 32,
            timer: None,
        }
    }

    /// Replaces the attempt limits that were taken from the settings.
    pub fn with_guard(self, guard: Guard) -> Self {
        Self { guard, ..self }
    }

    /// Number of entries in each table of the core and of the decision module, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let own = [
            ("open queries", self.queries.len()),
            ("open parts", self.parts.len()),
            ("flights", self.in_flight.len()),
            ("held parts", self.parked.len() + self.completed.len() + self.withdrawn.len()),
        ];
        own.into_iter().chain(self.aggregator.table_sizes()).collect()
    }

    /// Time at which the next turn is due if no event arrives, in Unix milliseconds.
    pub fn due(&self) -> Option<Millis> {
        let release_times = self.parked.iter().map(|attempt| attempt.until);
        release_times.chain(self.timer.map(|(at, _)| at)).min_by(f64::total_cmp)
    }

    /// Runs one turn: handles the events, then carries out the decisions on them.
    pub fn turn(&mut self, now: Millis, events: impl IntoIterator<Item = CoreEvent>) -> Vec<Command> {
        let (mut actions, mut commands) = (Vec::new(), Vec::new());
        if let Some((_, token)) = self.timer.take_if(|(at, _)| *at <= now) {
            self.aggregator.handle(now, Event::Timer { token }, &mut actions);
        }
        for event in events {
            self.on_event(now, event, &mut actions);
        }
        self.release_parked(now, &mut actions);
        for _ in 0..ROUNDS_MAX {
            self.aggregator.end_turn(now, &mut actions);
            let caused_events = self.execute(now, std::mem::take(&mut actions), &mut commands);
            if caused_events.is_empty() {
                break;
            }
            for event in caused_events {
                self.aggregator.handle(now, event, &mut actions);
            }
        }
        if std::mem::take(&mut self.refresh_block_map) {
            commands.push(Command::RefreshBlockMap);
        }
        commands.extend(self.withdrawn.drain(..).map(Command::Withdraw));
        commands.extend(self.cancelled.drain(..).map(Command::Cancel));
        commands.extend(self.completed.drain(..).map(|(query, answer)| Command::Finish(query, answer)));
        commands
    }

    fn on_event(&mut self, now: Millis, event: CoreEvent, actions: &mut Vec<Action>) {
        match event {
            CoreEvent::QuerySubmitted(id, query) => self.on_query(now, id, query, actions),
            CoreEvent::ClientDisconnected(query) => {
                self.cancel_attempts(query);
                self.remove_query(query);
                self.aggregator.handle(now, Event::ClientGone { query }, actions);
            }
            CoreEvent::AttemptEnded(attempt, ended) => {
                if let Some(in_flight) = self.in_flight.remove(&attempt) {
                    match ended.newer_epoch.filter(|_| ended.outcome == Outcome::Overloaded) {
                        Some(newer) if self.routes.is_some() => self.park(now, attempt, in_flight, newer),
                        _ => self.on_attempt_ended(now, attempt, &in_flight, ended, actions),
                    }
                }
            }
            CoreEvent::BlockOwnersChanged(owners) => self.on_block_owners(now, owners, actions),
            CoreEvent::EndpointsListed(kind, entries) => {
                self.aggregator.handle(now, Event::ServerList { kind, entries }, actions);
            }
            CoreEvent::ShutdownStarted => self.aggregator.handle(now, Event::ShuttingDown, actions),
            CoreEvent::Barrier(_) => {}
            CoreEvent::ProcessCountChanged(processes) => {
                self.aggregator.handle(
                    now,
                    Event::Aggregators { count: self.aggregators * processes },
                    actions,
                );
            }
        }
    }

    /// Passes the outcome of an attempt on to the decision module.
    fn on_attempt_ended(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        in_flight: &InFlightAttempt,
        ended: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(part) = self.parts.get_mut(&attempt.part) {
            part.in_flight = false;
            if !ended.outcome.never_ran() {
                part.possibly_executed_at =
                    Some(part.possibly_executed_at.map_or(in_flight.sent, |first| first.min(in_flight.sent)));
            }
            // Of two hedged attempts, the second to end may have failed: the value that arrived first is kept.
            part.served = part.served.take().or(ended.served);
        }
        // An attempt that ended because its client disconnected is no evidence about the store's health.
        let is_void = in_flight.is_cancelled && ended.outcome == Outcome::Withdrawn;
        let event = Event::AttemptEnded {
            part: attempt.part,
            attempt: attempt.number,
            server: in_flight.server,
            elapsed_ms: now - in_flight.sent,
            outcome: if is_void { Outcome::Void } else { ended.outcome },
            report: ended.report,
        };
        self.aggregator.handle(now, event, actions);
    }

    fn on_query(&mut self, now: Millis, id: QueryId, query: Query, actions: &mut Vec<Action>) {
        let is_entry = self.at_most_once.get(query.class).copied().unwrap_or(false);
        let mut parts = Vec::new();
        for request in &query.parts {
            match self.targets(request, is_entry) {
                Ok(targets) => parts.extend(targets.into_iter().map(|target| (request.clone(), target))),
                // The block map has changed since the query was admitted. No part has been sent, so a retry is harmless.
                Err(_) => {
                    return self.completed.push((id, FinalAnswer::Refused { retry_after_ms: 0.0 }));
                }
            }
        }
        let event = Event::Query {
            id,
            number: id,
            class: query.class,
            tenant: query.tenant,
            deadline: query.deadline,
            parts: parts.len() as u32,
            repeated: query.is_retry,
        };
        self.aggregator.handle(now, event, actions);
        self.queries.insert(id, OpenQuery { request: query, parts: Vec::new(), first_step: None });
        for (request, target) in parts {
            let event = self.open_part(id, &request, target, 0);
            self.aggregator.handle(now, event, actions);
        }
    }

    /// Resolves a requested block to the current blocks that serve it: the block itself, where blocks never move.
    fn targets(
        &self,
        request: &PartRequest,
        is_entry: bool,
    ) -> Result<Vec<Target>, crate::routes::RouteError> {
        match &self.routes {
            None => Ok(vec![Target { block: request.shard, first_weigher: 0, share: 1.0, slice: None }]),
            Some(routes) => routes.targets(request.shard, request.weigher, is_entry),
        }
    }

    /// Opens a part of a query's current step, and returns the decision module's event for it.
    fn open_part(&mut self, query: QueryId, request: &PartRequest, target: Target, attempts: u32) -> Event {
        self.last_part_id += 1;
        let id = self.last_part_id;
        let (shard, weight) = (target.block, request.weight * target.share);
        let part = Part {
            query,
            shard,
            slice: target.slice,
            first_weigher: target.first_weigher,
            weigher: request.weigher,
            requested_block: request.shard,
            weight,
            attempts,
            in_flight: false,
            possibly_executed_at: None,
            served: None,
        };
        self.parts.insert(id, part);
        if let Some(open) = self.queries.get_mut(&query) {
            open.parts.push(id);
        }
        Event::Part { id, number: query, shard, weight, cost_ms: request.cost_ms.map(|ms| ms * target.share) }
    }

    /// Translates actions into commands. Returns the events that the aggregator must handle within the same turn.
    fn execute(&mut self, now: Millis, actions: Vec<Action>, commands: &mut Vec<Command>) -> Vec<Event> {
        let mut caused_events = Vec::new();
        for action in actions {
            match action {
                Action::Send { part, server, timeout_ms } => {
                    match self.start_attempt(now, part, server, timeout_ms) {
                        Ok(request) => commands.push(Command::Send(request)),
                        Err(number) => caused_events.push(Event::AttemptEnded {
                            part,
                            attempt: number,
                            server,
                            elapsed_ms: 0.0,
                            outcome: Outcome::Void,
                            report: Vec::new(),
                        }),
                    }
                }
                Action::Withdraw { part, attempt: number } => {
                    commands.push(Command::Withdraw(AttemptId { part, number }));
                }
                Action::Answer { query, is_complete } => match self.complete_step(query, is_complete) {
                    Ok(answer) => commands.push(Command::Finish(query, answer)),
                    Err(parts) => caused_events.extend(parts),
                },
                Action::Reject { query, retry_after_ms } => {
                    self.remove_query(query);
                    commands.push(Command::Finish(query, FinalAnswer::Refused { retry_after_ms }));
                }
                Action::ReportRejection { query, reason } => {
                    commands.push(Command::CountRejection(query, reason))
                }
                Action::Fail { query } => {
                    self.remove_query(query);
                    commands.push(Command::Finish(query, FinalAnswer::Failed));
                }
                Action::CloseIdleConnections { server } => {
                    commands.push(Command::CloseIdleConnections(server))
                }
                Action::Subscribe => commands.push(Command::Subscribe),
                Action::Timer { wait_ms, token } => {
                    let at = now + wait_ms.max(0.0);
                    if self.timer.is_none_or(|(due, _)| at < due) {
                        self.timer = Some((at, token));
                    }
                }
            }
        }
        caused_events
    }

    /// Registers the next attempt of a part.
    ///
    /// # Errors
    ///
    /// The attempt's number, if it must not be made.
    fn start_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        server: ServerId,
        timeout_ms: Millis,
    ) -> Result<AttemptRequest, u32> {
        let part = self.parts.get_mut(&id).ok_or(0u32)?;
        let number = part.attempts;
        part.attempts += 1;
        let query = self.queries.get(&part.query).ok_or(number)?;
        let remaining_ms = query.request.deadline - now;
        let earlier_attempts = AttemptId { part: id, number: 0 }..AttemptId { part: id, number };
        let sent_times = self.in_flight.range(earlier_attempts).map(|(_, in_flight)| in_flight.sent);
        let first_sent = sent_times.chain(part.possibly_executed_at).reduce(f64::min);
        let history = AttemptHistory {
            class: query.request.class,
            attempts: number,
            in_flight: part.in_flight,
            first_sent,
        };
        let send_within_ms = self.guard.allows(now, history).filter(|_| remaining_ms > 0.0).ok_or(number)?;
        part.in_flight = true;
        let fence = self.routes.as_ref().map(|routes| Fence {
            epoch: routes.epoch(part.shard).unwrap_or_default(),
            requested_block: part.requested_block,
            slice: part.slice,
            weigher: part.weigher,
            is_entry: self.at_most_once.get(query.request.class).copied().unwrap_or(false),
        });
        let attempt = AttemptId { part: id, number };
        let epoch = fence.as_ref().map(|fence| fence.epoch);
        self.in_flight.insert(attempt, InFlightAttempt { server, sent: now, epoch, is_cancelled: false });
        Ok(AttemptRequest {
            attempt,
            server,
            query_id: part.query,
            query: query.request.name.clone(),
            shard: part.shard,
            text: query.request.text.clone(),
            format: query.request.format,
            send_within_ms: send_within_ms.is_finite().then_some(send_within_ms),
            key: query.request.key.clone(),
            timeout_ms: if timeout_ms > 0.0 { timeout_ms.min(remaining_ms) } else { remaining_ms },
            first_step: query.first_step.clone(),
            fence,
        })
    }
}
