//! Requests, attempts and outcomes. [`Core`] hosts the [`Aggregator`]: it gives it what has
//! happened in turns and translates its actions into [`Command`]s for whoever has the sockets. It
//! knows no wire, socket or text format, and decides nothing of its own beyond the checks that a host
//! owes the module ([`Guard`]).

mod ending;
mod guard;
mod heirs;
mod key;
mod messages;

pub use guard::{Guard, Tried};
pub use key::{BadKey, IdempotencyKey, KEY_MAX};
pub use messages::*;

use std::collections::BTreeMap;
use std::rc::Rc;

use gingerledge_blocks::{Epoch, Span};
use gingerledge_dispatch::{
    Action, Aggregator, Event, Millis, Outcome, Repeat, RequestId, ServerId, Settings,
};

use crate::routes::{Routes, Target};
use heirs::Held;

#[derive(Debug)]
struct Query {
    question: Question,
    parts: Vec<RequestId>,
    second: Option<Rc<FirstStep>>,
}

#[derive(Debug)]
struct Part {
    query: QueryId,
    /// The living block, and what of it.
    shard: u32,
    slice: Option<Span>,
    first: u64,
    weigher: Option<u64>,
    /// The number that the client used.
    named: u32,
    weight: f64,
    attempts: u32,
    out: bool,
    /// When the first attempt that may have run was sent.
    ran: Option<Millis>,
    served: Option<Served>,
}

#[derive(Debug)]
struct Flight {
    server: ServerId,
    sent: Millis,
    /// The epoch that it was placed under.
    epoch: Option<Epoch>,
    /// Its client has left.
    abandoned: bool,
}

/// How often a turn is played again for what came of it at once: second steps, void attempts.
const REPLAYS: usize = 4;

/// Hosts one aggregator.
#[derive(Debug)]
pub struct Core {
    aggregator: Aggregator,
    follow_up: Vec<u32>,
    /// By class, whether no part may run twice.
    entries: Vec<bool>,
    guard: Guard,
    /// Whether attempts may be given up, and those that are because their clients have left.
    withdrawals: bool,
    abandoned: Vec<AttemptId>,
    routes: Option<Rc<Routes>>,
    held: Vec<Held>,
    /// Queries given up here: their blocks have no heirs that could be asked.
    ended: Vec<(QueryId, Final)>,
    /// Attempts of theirs that nobody waits for any more.
    withdrawn: Vec<AttemptId>,
    /// Whether a store has told of an epoch that is not known here.
    learn: bool,
    aggregators: u32,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<RequestId, Part>,
    flights: BTreeMap<AttemptId, Flight>,
    next: RequestId,
    timer: Option<(Millis, u64)>,
}

impl Core {
    /// A core that knows no store yet.
    pub fn new(seed: u64, settings: Settings, now: Millis) -> Self {
        Self::with_routes(seed, settings, now, None)
    }

    /// The same, where blocks move.
    pub fn with_routes(seed: u64, settings: Settings, now: Millis, routes: Option<Rc<Routes>>) -> Self {
        Self {
            entries: settings.classes.iter().map(|class| class.repeat == Repeat::Unsafe).collect(),
            guard: Guard::new(&settings),
            withdrawals: settings.withdrawals,
            abandoned: Vec::new(),
            routes,
            held: Vec::new(),
            ended: Vec::new(),
            withdrawn: Vec::new(),
            learn: false,
            follow_up: settings.classes.iter().map(|class| class.follow_up_parts).collect(),
            aggregators: settings.aggregators.max(1),
            aggregator: Aggregator::new(seed, settings, now),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            flights: BTreeMap::new(),
            next: 1 << 32,
            timer: None,
        }
    }

    /// The same with other checks than the settings' own.
    pub fn with_guard(self, guard: Guard) -> Self {
        Self { guard, ..self }
    }

    /// How many entries its tables and the module's hold, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let own = [
            ("open queries", self.queries.len()),
            ("open parts", self.parts.len()),
            ("flights", self.flights.len()),
            ("held parts", self.held.len() + self.ended.len() + self.withdrawn.len()),
        ];
        own.into_iter().chain(self.aggregator.sizes()).collect()
    }

    /// When the next turn is due though nothing happens.
    pub fn due(&self) -> Option<Millis> {
        let held = self.held.iter().map(|held| held.until);
        held.chain(self.timer.map(|(at, _)| at)).min_by(f64::total_cmp)
    }

    /// Plays a turn: what has happened, then the decisions on it.
    pub fn turn(&mut self, now: Millis, happened: impl IntoIterator<Item = Happening>) -> Vec<Command> {
        let (mut actions, mut commands) = (Vec::new(), Vec::new());
        if let Some((_, token)) = self.timer.take_if(|(at, _)| *at <= now) {
            self.aggregator.handle(now, Event::Timer { token }, &mut actions);
        }
        for happening in happened {
            self.take(now, happening, &mut actions);
        }
        self.release(now, &mut actions);
        for _ in 0..REPLAYS {
            self.aggregator.end_turn(now, &mut actions);
            let follows = self.carry_out(now, std::mem::take(&mut actions), &mut commands);
            if follows.is_empty() {
                break;
            }
            for event in follows {
                self.aggregator.handle(now, event, &mut actions);
            }
        }
        if std::mem::take(&mut self.learn) {
            commands.push(Command::Learn);
        }
        commands.extend(self.withdrawn.drain(..).map(Command::GiveUp));
        commands.extend(self.abandoned.drain(..).map(Command::Abandon));
        commands.extend(self.ended.drain(..).map(|(query, answer)| Command::Finish(query, answer)));
        commands
    }

    fn take(&mut self, now: Millis, happening: Happening, actions: &mut Vec<Action>) {
        match happening {
            Happening::Asked(id, question) => self.asked(now, id, question, actions),
            Happening::Gone(query) => {
                self.abandon(query);
                self.forget(query);
                self.aggregator.handle(now, Event::ClientGone { query }, actions);
            }
            Happening::Ended(attempt, ended) => {
                if let Some(flight) = self.flights.remove(&attempt) {
                    match ended.newer.filter(|_| ended.outcome == Outcome::Overloaded) {
                        Some(newer) if self.routes.is_some() => self.hold(now, attempt, flight, newer),
                        _ => self.over(now, attempt, &flight, ended, actions),
                    }
                }
            }
            Happening::Holders(told) => self.told(now, told, actions),
            Happening::Listed(kind, entries) => {
                self.aggregator.handle(now, Event::List { kind, entries }, actions);
            }
            Happening::Leaving => self.aggregator.handle(now, Event::Leaving, actions),
            Happening::Mark(_) => {}
            Happening::Shared(processes) => {
                self.aggregator.handle(
                    now,
                    Event::Aggregators { count: self.aggregators * processes },
                    actions,
                );
            }
        }
    }

    /// An attempt is over.
    fn over(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        flight: &Flight,
        ended: Ended,
        actions: &mut Vec<Action>,
    ) {
        if let Some(part) = self.parts.get_mut(&attempt.part) {
            part.out = false;
            if !ended.outcome.never_ran() {
                part.ran = Some(part.ran.map_or(flight.sent, |first| first.min(flight.sent)));
            }
            // Of two copies the second to end may well have failed: what came stays.
            part.served = part.served.take().or(ended.served);
        }
        // That a client left tells nothing of the store, however little of the answer had come by then.
        let void = flight.abandoned && ended.outcome == Outcome::Withdrawn;
        let event = Event::Outcome {
            part: attempt.part,
            attempt: attempt.number,
            server: flight.server,
            wait_ms: now - flight.sent,
            outcome: if void { Outcome::Void } else { ended.outcome },
            report: ended.report,
        };
        self.aggregator.handle(now, event, actions);
    }

    fn asked(&mut self, now: Millis, id: QueryId, question: Question, actions: &mut Vec<Action>) {
        let entry = self.entries.get(question.class).copied().unwrap_or(false);
        let mut parts = Vec::new();
        for ask in &question.parts {
            match self.targets(ask, entry) {
                Ok(targets) => parts.extend(targets.into_iter().map(|target| (ask.clone(), target))),
                // The map has changed since the query was taken; nothing of it has run.
                Err(_) => {
                    return self.ended.push((id, Final::Refused { retry_after_ms: 0.0 }));
                }
            }
        }
        let event = Event::Query {
            id,
            number: id,
            class: question.class,
            tenant: question.tenant,
            deadline: question.deadline,
            parts: parts.len() as u32,
            repeated: question.repeated,
        };
        self.aggregator.handle(now, event, actions);
        self.queries.insert(id, Query { question, parts: Vec::new(), second: None });
        for (ask, target) in parts {
            let event = self.part(id, &ask, target, 0);
            self.aggregator.handle(now, event, actions);
        }
    }

    /// The blocks to be asked for what a client named: where none moves, that one.
    fn targets(&self, ask: &Ask, entry: bool) -> Result<Vec<Target>, crate::routes::Unrouted> {
        match &self.routes {
            None => Ok(vec![Target { block: ask.shard, first: 0, share: 1.0, slice: None }]),
            Some(routes) => routes.targets(ask.shard, ask.weigher, entry),
        }
    }

    /// Opens a part of a query's present step.
    fn part(&mut self, query: QueryId, ask: &Ask, target: Target, attempts: u32) -> Event {
        self.next += 1;
        let id = self.next;
        let (shard, weight) = (target.block, ask.weight * target.share);
        let part = Part {
            query,
            shard,
            slice: target.slice,
            first: target.first,
            weigher: ask.weigher,
            named: ask.shard,
            weight,
            attempts,
            out: false,
            ran: None,
            served: None,
        };
        self.parts.insert(id, part);
        if let Some(open) = self.queries.get_mut(&query) {
            open.parts.push(id);
        }
        Event::Part { id, number: query, shard, weight, cost_ms: ask.cost_ms.map(|ms| ms * target.share) }
    }

    /// Translates actions; returns what the aggregator has to be told of them at once.
    fn carry_out(&mut self, now: Millis, actions: Vec<Action>, commands: &mut Vec<Command>) -> Vec<Event> {
        let mut follows = Vec::new();
        for action in actions {
            match action {
                Action::Send { part, server, timeout_ms } => match self.send(now, part, server, timeout_ms) {
                    Ok(order) => commands.push(Command::Send(order)),
                    Err(number) => follows.push(Event::Outcome {
                        part,
                        attempt: number,
                        server,
                        wait_ms: 0.0,
                        outcome: Outcome::Void,
                        report: Vec::new(),
                    }),
                },
                Action::Withdraw { part, attempt: number } => {
                    commands.push(Command::GiveUp(AttemptId { part, number }));
                }
                Action::Answer { query, whole } => match self.answer(query, whole) {
                    Ok(answer) => commands.push(Command::Finish(query, answer)),
                    Err(parts) => follows.extend(parts),
                },
                Action::Refuse { query, retry_after_ms } => {
                    self.forget(query);
                    commands.push(Command::Finish(query, Final::Refused { retry_after_ms }));
                }
                Action::ReportRejection { query, reason } => commands.push(Command::Because(query, reason)),
                Action::Fail { query } => {
                    self.forget(query);
                    commands.push(Command::Finish(query, Final::Failed));
                }
                Action::Release { server } => commands.push(Command::Release(server)),
                Action::Subscribe => commands.push(Command::Subscribe),
                Action::Timer { wait_ms, token } => {
                    let at = now + wait_ms.max(0.0);
                    if self.timer.is_none_or(|(due, _)| at < due) {
                        self.timer = Some((at, token));
                    }
                }
            }
        }
        follows
    }

    /// An attempt, or the number of one that must not be made.
    fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        server: ServerId,
        patience_ms: Millis,
    ) -> Result<Order, u32> {
        let part = self.parts.get_mut(&id).ok_or(0u32)?;
        let number = part.attempts;
        part.attempts += 1;
        let query = self.queries.get(&part.query).ok_or(number)?;
        let left = query.question.deadline - now;
        let before = AttemptId { part: id, number: 0 }..AttemptId { part: id, number };
        let out = self.flights.range(before).map(|(_, flight)| flight.sent);
        let first = out.chain(part.ran).reduce(f64::min);
        let tried = Tried { class: query.question.class, attempts: number, out: part.out, first };
        let within = self.guard.allows(now, tried).filter(|_| left > 0.0).ok_or(number)?;
        part.out = true;
        let fence = self.routes.as_ref().map(|routes| Fence {
            epoch: routes.epoch(part.shard).unwrap_or_default(),
            named: part.named,
            slice: part.slice,
            weigher: part.weigher,
            entry: self.entries.get(query.question.class).copied().unwrap_or(false),
        });
        let attempt = AttemptId { part: id, number };
        let epoch = fence.as_ref().map(|fence| fence.epoch);
        self.flights.insert(attempt, Flight { server, sent: now, epoch, abandoned: false });
        Ok(Order {
            attempt,
            server,
            asker: part.query,
            query: query.question.name.clone(),
            shard: part.shard,
            text: query.question.text.clone(),
            form: query.question.form,
            within_ms: within.is_finite().then_some(within),
            key: query.question.key.clone(),
            patience_ms: if patience_ms > 0.0 { patience_ms.min(left) } else { left },
            second: query.second.clone(),
            fence,
        })
    }
}
