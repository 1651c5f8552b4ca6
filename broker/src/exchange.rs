//! The queue of events between the core and the rest of the broker, and the table of queries that await their answer.
//! Fronts submit queries and wait on a [`PendingQuery`]; the store side and discovery add events. In each turn the core's
//! driver takes all events, and it returns exactly one final answer for each admitted query.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use gingerledge_dispatch::{ListKind, RejectionReason, ServerEntry};

use crate::clock::Clock;
use crate::core::{AttemptId, AttemptOutcome, CoreEvent, FinalAnswer, PartRequest, Query, QueryId};
use crate::counters::{count, Counters};
use crate::handover::Presence;
use crate::routes::{BlockOwners, RouteError, Routes};

/// The reason for which a query was not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The maximum of open queries and parts is reached; a later retry is harmless.
    AtCapacity,
    /// A query with the same wire id is open.
    Duplicate,
    /// No store can serve a block that the query names.
    Unrouted(RouteError),
}

/// An admitted query without a final answer.
#[derive(Debug)]
struct PendingEntry {
    /// The query's id on the wire.
    name: Rc<str>,
    /// Number that the query counts towards the maximum of open queries and parts.
    size: usize,
    answer: Sender<FinalAnswer>,
}

/// The event queue and the table of pending queries, shared by fronts, store side, discovery and the core's driver.
#[derive(Debug)]
pub struct Exchange {
    clock: Clock,
    counters: Rc<Counters>,
    events: RefCell<VecDeque<CoreEvent>>,
    pending: RefCell<HashMap<QueryId, PendingEntry>>,
    /// Open queries by their ids on the wire.
    names: RefCell<HashMap<Rc<str>, QueryId>>,
    /// Number of open queries and parts.
    open: Cell<usize>,
    /// Maximum of open queries and parts, over all processes of this broker.
    max_open: usize,
    presence: Rc<Presence>,
    /// Where blocks may move: the block map, and for each class whether a part must be executed at most once.
    routes: Option<(Rc<Routes>, Vec<bool>)>,
    last_id: Cell<QueryId>,
    /// Start of the current turn, or of the last one.
    turn_started: Cell<Option<Instant>>,
    wake: (Sender<()>, Receiver<()>),
}

impl Exchange {
    /// Creates an exchange that admits at most `max_open` queries and parts, shared with another process of this broker.
    pub fn new(
        clock: Clock,
        counters: Rc<Counters>,
        max_open: usize,
        presence: Rc<Presence>,
        routes: Option<(Rc<Routes>, Vec<bool>)>,
    ) -> Rc<Self> {
        Rc::new(Self {
            routes,
            clock,
            counters,
            events: RefCell::default(),
            pending: RefCell::default(),
            names: RefCell::default(),
            open: Cell::new(0),
            max_open,
            presence,
            last_id: Cell::new(0),
            turn_started: Cell::new(None),
            wake: async_channel::bounded(1),
        })
    }

    /// Admits a query, which from then on gets exactly one final answer.
    ///
    /// # Errors
    ///
    /// If the maximum of open queries and parts is reached, the query's wire id is in use, or no store can serve one of its
    /// blocks.
    pub fn submit(self: &Rc<Self>, query: Query) -> Result<PendingQuery, SubmitError> {
        let size = 1 + self.part_count(&query).map_err(SubmitError::Unrouted)?;
        if self.names.borrow().contains_key(&query.name) {
            return Err(SubmitError::Duplicate);
        }
        if self.open.get() + size > self.max_open / self.presence.process_count() {
            count(&self.counters.queries_full);
            return Err(SubmitError::AtCapacity);
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.open.set(self.open.get() + size);
        let (sender, answer) = async_channel::bounded(1);
        let name = query.name.clone();
        self.names.borrow_mut().insert(name.clone(), id);
        self.pending.borrow_mut().insert(id, PendingEntry { name, size, answer: sender });
        count(&self.counters.queries);
        let deadline = query.deadline;
        log::debug!(query:% = query.name, class = query.class, parts = query.parts.len(); "query admitted");
        self.push_event(CoreEvent::QuerySubmitted(id, query));
        Ok(PendingQuery { exchange: self.clone(), id, deadline, answer })
    }

    /// The block map, where blocks may move.
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.routes.as_ref().map(|(routes, _)| routes.clone())
    }

    /// Number of parts that a query will have.
    fn part_count(&self, query: &Query) -> Result<usize, RouteError> {
        let Some((routes, at_most_once)) = &self.routes else { return Ok(query.parts.len()) };
        let at_most_once = at_most_once.get(query.class).copied().unwrap_or(false);
        let target_count = |part: &PartRequest| {
            routes.targets(part.shard, part.weigher, at_most_once).map(|targets| targets.len())
        };
        query.parts.iter().map(target_count).sum()
    }

    /// Reports the current owners of blocks that have changed.
    pub fn block_owners_changed(&self, owners: BlockOwners) {
        if !owners.is_empty() {
            self.push_event(CoreEvent::BlockOwnersChanged(owners));
        }
    }

    /// Reports the outcome of an attempt.
    pub fn attempt_ended(&self, attempt: AttemptId, outcome: AttemptOutcome) {
        self.push_event(CoreEvent::AttemptEnded(attempt, outcome));
    }

    /// Reports a result of discovery.
    pub fn endpoints_listed(&self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.push_event(CoreEvent::EndpointsListed(kind, entries));
    }

    /// Reports the number of processes that share this broker's quotas.
    pub fn process_count_changed(&self, processes: u32) {
        self.push_event(CoreEvent::ProcessCountChanged(processes));
    }

    /// Reports that this process is shutting down.
    pub fn shutdown_started(&self) {
        self.push_event(CoreEvent::ShutdownStarted);
    }

    /// Resolves once the core has handled all events added so far. The barrier is dropped in that turn, and no other task
    /// runs before the turn's commands are carried out.
    pub async fn flush(&self) {
        let (barrier, dropped) = async_channel::bounded(1);
        self.push_event(CoreEvent::Barrier(barrier));
        let _ = dropped.recv().await;
    }

    fn push_event(&self, event: CoreEvent) {
        self.events.borrow_mut().push_back(event);
        // A full channel means that a wake-up is already pending.
        let _ = self.wake.0.try_send(());
    }

    /// Waits for events, at most until `due` in Unix milliseconds, and takes them.
    pub async fn next_events(&self, due: Option<f64>) -> VecDeque<CoreEvent> {
        let timer = async {
            match due {
                Some(at) => drop(Timer::after(self.clock.until(at)).await),
                None => futures_lite::future::pending().await,
            }
        };
        let woken = async {
            let _ = self.wake.1.recv().await;
        };
        futures_lite::future::or(woken, timer).await;
        self.turn_started.set(Some(Instant::now()));
        std::mem::take(&mut *self.events.borrow_mut())
    }

    /// Counts the reason for which a query is rejected; the query's final answer follows.
    pub fn count_rejection(&self, id: QueryId, reason: RejectionReason) {
        if let Some(pending) = self.pending.borrow().get(&id) {
            log::debug!(query:% = pending.name, reason:? = reason; "query rejected");
        }
        count(match reason {
            RejectionReason::OverLimit => &self.counters.over_limit,
            RejectionReason::NoHealthyReplica => &self.counters.shut,
            RejectionReason::Saturated => &self.counters.jammed,
            RejectionReason::DeadlineTooShort => &self.counters.hasty,
            RejectionReason::NoReplicaListed => &self.counters.unlisted,
            RejectionReason::PartsLost => &self.counters.lost,
            RejectionReason::TooLate => &self.counters.late,
        });
    }

    /// Delivers a query's final answer. Returns false if the query already had one or its client has disconnected.
    pub fn complete(&self, id: QueryId, answer: FinalAnswer) -> bool {
        let Some(pending) = self.remove(id) else {
            count(&self.counters.finals_dropped);
            return false;
        };
        match &answer {
            FinalAnswer::Answered { is_complete, values } => {
                log::debug!(query:% = pending.name, parts = values.len(), complete = is_complete; "query answered");
            }
            other => log::debug!(query:% = pending.name, answer:? = other; "query not answered"),
        }
        count(match answer {
            FinalAnswer::Answered { .. } => &self.counters.answered,
            FinalAnswer::Refused { .. } => &self.counters.refused,
            FinalAnswer::Failed => &self.counters.failed,
        });
        pending.answer.try_send(answer).is_ok()
    }

    fn remove(&self, id: QueryId) -> Option<PendingEntry> {
        let pending = self.pending.borrow_mut().remove(&id)?;
        self.names.borrow_mut().remove(&pending.name);
        self.open.set(self.open.get() - pending.size);
        Some(pending)
    }

    /// Start of the current turn, or of the last one.
    pub fn turn_started(&self) -> Instant {
        self.turn_started.get().unwrap_or_else(Instant::now)
    }

    /// Whether an admitted query has received its final answer or its client has disconnected. The store side checks this
    /// immediately before it sends an attempt, since the core reacts to a disconnected client only in its next turn.
    pub fn is_finished(&self, id: QueryId) -> bool {
        (1..=self.last_id.get()).contains(&id) && !self.pending.borrow().contains_key(&id)
    }

    /// Number of queries that await their final answer.
    pub fn open_queries(&self) -> usize {
        self.pending.borrow().len()
    }
}

/// An admitted query that awaits its final answer. Dropping it before then reports its client as disconnected.
#[derive(Debug)]
pub struct PendingQuery {
    exchange: Rc<Exchange>,
    id: QueryId,
    deadline: f64,
    answer: Receiver<FinalAnswer>,
}

impl PendingQuery {
    /// Waits for the final answer, at most until the query's deadline.
    pub async fn answer(&self) -> FinalAnswer {
        let answered = async { self.answer.recv().await.ok() };
        // A safeguard: every query is answered by its deadline, even if the core never completes it.
        let overdue = async {
            Timer::after(self.exchange.clock.until(self.deadline)).await;
            None
        };
        if let Some(answer) = futures_lite::future::or(answered, overdue).await {
            return answer;
        }
        if self.exchange.remove(self.id).is_some() {
            count(&self.exchange.counters.overdue);
            count(&self.exchange.counters.failed);
            self.exchange.push_event(CoreEvent::ClientDisconnected(self.id));
        }
        FinalAnswer::Failed
    }
}

impl Drop for PendingQuery {
    fn drop(&mut self) {
        if self.exchange.remove(self.id).is_some() {
            count(&self.exchange.counters.clients_gone);
            self.exchange.push_event(CoreEvent::ClientDisconnected(self.id));
        }
    }
}
