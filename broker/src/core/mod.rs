//! Requests, attempts and outcomes. [`Core`] hosts the [`Aggregator`]: it gives it what has
//! happened in turns and translates its actions into [`Command`]s for whoever has the sockets. It
//! knows no wire, socket or text format, and decides nothing of its own beyond the checks that a host
//! owes the module ([`Guard`]).

mod guard;
mod heirs;
mod key;

pub use guard::{Guard, Tried};
pub use key::{BadKey, IdempotencyKey, KEY_MAX};

use std::collections::BTreeMap;
use std::rc::Rc;

use gingerledge_blocks::{Epoch, Span};
use stoatlane::{
    Action, Aggregator, Entry, Event, ListKind, Millis, Outcome, Repeat, RequestId, ServerId, Settings, Why,
};

use crate::routes::{Routes, Target, Told};
use heirs::Held;

/// Text that passes through unchanged.
pub type Text = Rc<[u8]>;

/// Identifies a query at this broker.
pub type QueryId = RequestId;

/// One attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// Its attempts count from 0.
    pub number: u32,
}

/// A part as the client asked for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Its shard.
    pub shard: u32,
    /// Its share of the whole answer.
    pub weight: f64,
    /// A guess at its work.
    pub cost_ms: Option<Millis>,
    /// The one weigher that it concerns, where the client says so.
    pub weigher: Option<u64>,
}

/// Which forms a query's text may be carried in; the core only passes it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// In frames only.
    #[default]
    Opaque,
    /// It is a feature request too, for stores that offer such.
    Features,
}

/// A query as a front hands it over: checked, its names resolved.
#[derive(Clone, Debug)]
pub struct Question {
    /// Its name on the wire; the parts' names are made from it.
    pub name: Rc<str>,
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: Option<usize>,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// Whether the client marks it as a repeat.
    pub repeated: bool,
    /// What stores tell its repeats by, in a class that is keyed.
    pub key: Option<IdempotencyKey>,
    /// Its parts; no two of one shard.
    pub parts: Vec<Ask>,
    /// What each part carries.
    pub text: Text,
    /// The forms it may be carried in.
    pub form: Form,
}

/// What a store gave for a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Decides which shards a second step goes to.
    pub score: u64,
    /// The value, as it came.
    pub value: Text,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The outcome; [`Outcome::Success`] only with a value.
    pub outcome: Outcome,
    /// The value of a success.
    pub served: Option<Served>,
    /// The store's load report, where one came along.
    pub report: Vec<f64>,
    /// Of a part turned away at a fence, the newest epoch that the store knows of the block.
    pub newer: Option<u64>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, served: None, report: Vec::new(), newer: None }
    }
}

/// A query's final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// Served from these parts, in the order of their shards.
    Answered {
        /// Whether it is marked whole.
        whole: bool,
        /// Shards and values.
        values: Vec<(u32, Text)>,
    },
    /// Turned away; a repeat does no harm.
    Refused {
        /// When to come back; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Given up, with no word on its effect.
    Failed,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A query was taken.
    Asked(QueryId, Question),
    /// Its client has left, or its time is up.
    Gone(QueryId),
    /// An attempt ended.
    Ended(AttemptId, Ended),
    /// Discovery has told something.
    Listed(ListKind, Vec<Entry>),
    /// Who holds blocks now.
    Holders(Told),
    /// How many processes share this broker's part of everything.
    Shared(u32),
    /// Nothing; whoever waits for its end knows that all before it has been decided on.
    Mark(async_channel::Sender<()>),
}

/// The first step that a part of the second rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstStep {
    /// The shards that were in.
    pub from: Vec<u32>,
    /// Whether its answer was whole.
    pub whole: bool,
}

/// What a store that moves blocks is told of a part, beside its block.
#[derive(Clone, Debug, PartialEq)]
pub struct Fence {
    /// Under which epoch the part was placed.
    pub epoch: Epoch,
    /// The number that the client used.
    pub named: u32,
    /// Which of the block's weighers are asked for, if not all.
    pub slice: Option<Span>,
    /// The one weigher that it concerns.
    pub weigher: Option<u64>,
    /// Whether it is an entry, which must not run twice.
    pub entry: bool,
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct Order {
    /// Which.
    pub attempt: AttemptId,
    /// At which store.
    pub server: ServerId,
    /// The query's name.
    pub query: Rc<str>,
    /// The shard.
    pub shard: u32,
    /// What it carries.
    pub text: Text,
    /// The forms it may be carried in.
    pub form: Form,
    /// How long to wait.
    pub patience_ms: Millis,
    /// It must not go out later than that from now: its store may have forgotten an attempt before it.
    pub within_ms: Option<Millis>,
    /// What the store tells its repeats by.
    pub key: Option<IdempotencyKey>,
    /// Set for a part of the second step.
    pub second: Option<Rc<FirstStep>>,
    /// Set where blocks move.
    pub fence: Option<Fence>,
}

/// Something the core wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an attempt; exactly one [`Happening::Ended`] is owed for it.
    Send(Order),
    /// Stop waiting for an attempt; its end is still owed.
    GiveUp(AttemptId),
    /// Close the idle connections to a store.
    Release(ServerId),
    /// Ask for news of the block map: a store knows more.
    Learn,
    /// Begin a watch on discovery.
    Subscribe,
    /// Count why a query is given up.
    Because(QueryId, Why),
    /// Give a query its final answer.
    Finish(QueryId, Final),
}

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

/// A part in answers: the client's number, where its weighers begin, its block, and what came.
type Inside = (u32, u64, RequestId, Served);

#[derive(Debug)]
struct Flight {
    server: ServerId,
    sent: Millis,
    /// The epoch that it was placed under.
    epoch: Option<Epoch>,
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
            routes,
            held: Vec::new(),
            ended: Vec::new(),
            withdrawn: Vec::new(),
            learn: false,
            follow_up: settings.classes.iter().map(|class| class.follow_up).collect(),
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
        commands.extend(self.ended.drain(..).map(|(query, answer)| Command::Finish(query, answer)));
        commands
    }

    fn take(&mut self, now: Millis, happening: Happening, actions: &mut Vec<Action>) {
        match happening {
            Happening::Asked(id, question) => self.asked(now, id, question, actions),
            Happening::Gone(query) => {
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
        let event = Event::Outcome {
            part: attempt.part,
            attempt: attempt.number,
            server: flight.server,
            wait_ms: now - flight.sent,
            outcome: ended.outcome,
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

    fn forget(&mut self, query: QueryId) -> Option<Query> {
        let open = self.queries.remove(&query)?;
        for part in &open.parts {
            self.parts.remove(part);
        }
        Some(open)
    }

    /// Translates actions; returns what the aggregator has to be told of them at once.
    fn carry_out(&mut self, now: Millis, actions: Vec<Action>, commands: &mut Vec<Command>) -> Vec<Event> {
        let mut follows = Vec::new();
        for action in actions {
            match action {
                Action::Send { part, server, patience_ms } => {
                    match self.send(now, part, server, patience_ms) {
                        Ok(order) => commands.push(Command::Send(order)),
                        Err(number) => follows.push(Event::Outcome {
                            part,
                            attempt: number,
                            server,
                            wait_ms: 0.0,
                            outcome: Outcome::Void,
                            report: Vec::new(),
                        }),
                    }
                }
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
                Action::Because { query, why } => commands.push(Command::Because(query, why)),
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
        self.flights.insert(attempt, Flight { server, sent: now, epoch });
        Ok(Order {
            attempt,
            server,
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

    /// The final answer of a query from the parts that are in; or, after the first step of a class
    /// with two, the parts of the second.
    fn answer(&mut self, id: QueryId, whole: bool) -> Result<Final, Vec<Event>> {
        let Some(query) = self.queries.get_mut(&id) else { return Err(Vec::new()) };
        let in_hand = |p: &RequestId| {
            let part = self.parts.get(p)?;
            Some((part.named, part.first, *p, part.served.clone()?))
        };
        let mut inside: Vec<Inside> = query.parts.iter().filter_map(in_hand).collect();
        inside.sort_by_key(|(named, first, id, _)| (*named, *first, *id));
        let follow_up = self.follow_up.get(query.question.class).copied().unwrap_or(0) as usize;
        if follow_up == 0 || query.second.is_some() {
            self.forget(id);
            let values = inside.into_iter().map(|(named, _, _, served)| (named, served.value)).collect();
            return Ok(Final::Answered { whole, values });
        }
        // Stores know the blocks, not the numbers that clients used.
        let shard = |part: &RequestId| self.parts.get(part).map(|part| part.shard);
        let from: Vec<u32> = inside.iter().filter_map(|(_, _, part, _)| shard(part)).collect();
        inside.sort_by_key(|(named, first, _, served)| (std::cmp::Reverse(served.score), *named, *first));
        inside.truncate(follow_up);
        let weight = 1.0 / inside.len().max(1) as f64;
        let again = |(named, _, part, _): &Inside| {
            let part = self.parts.get(part)?;
            let ask = Ask { shard: *named, weight, cost_ms: None, weigher: part.weigher };
            Some((ask, Target { block: part.shard, first: part.first, share: 1.0, slice: part.slice }))
        };
        let next: Vec<(Ask, Target)> = inside.iter().filter_map(again).collect();
        query.second = Some(Rc::new(FirstStep { from, whole }));
        for part in std::mem::take(&mut query.parts) {
            self.parts.remove(&part);
        }
        Err(next.into_iter().map(|(ask, target)| self.part(id, &ask, target, 0)).collect())
    }
}
