//! Where the client side and the store side meet, and the only place where they do. Fronts leave
//! queries here and wait on a [`Ticket`]; the store side and discovery leave what has happened. The
//! core takes all of it in turns and hands the final answers back, of which a query gets exactly one.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use gingerledge_dispatch::{Entry, ListKind, RejectionReason};

use crate::clock::Clock;
use crate::core::{Ask, AttemptId, Ended, Final, Happening, QueryId, Question};
use crate::counters::{count, Counters};
use crate::handover::Presence;
use crate::routes::{Routes, Told, Unrouted};

/// A query that could not be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Untaken {
    /// As many queries and parts are open as may be; a repeat later does no harm.
    Full,
    /// A query of this name is open.
    Duplicate,
    /// A block that it names can't be asked.
    Unrouted(Unrouted),
}

#[derive(Debug)]
struct Waiting {
    name: Rc<str>,
    size: usize,
    answer: Sender<Final>,
}

/// Shared by all sides; see the module's description.
#[derive(Debug)]
pub struct Exchange {
    clock: Clock,
    counters: Rc<Counters>,
    happened: RefCell<VecDeque<Happening>>,
    waiting: RefCell<HashMap<QueryId, Waiting>>,
    names: RefCell<HashMap<Rc<str>, QueryId>>,
    /// Queries and parts open, and how many may be.
    open: Cell<usize>,
    max_open: usize,
    presence: Rc<Presence>,
    /// Where blocks move: the map, and by class whether no part may run twice.
    routes: Option<(Rc<Routes>, Vec<bool>)>,
    next: Cell<QueryId>,
    /// When the turn began that is played now, or was last.
    turn: Cell<Option<Instant>>,
    wake: (Sender<()>, Receiver<()>),
}

impl Exchange {
    /// An exchange that holds at most `max_open` queries and parts, together with any other process.
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
            happened: RefCell::default(),
            waiting: RefCell::default(),
            names: RefCell::default(),
            open: Cell::new(0),
            max_open,
            presence,
            next: Cell::new(0),
            turn: Cell::new(None),
            wake: async_channel::bounded(1),
        })
    }

    /// Takes a query in. From here on it is owed one final answer.
    pub fn ask(self: &Rc<Self>, question: Question) -> Result<Ticket, Untaken> {
        let size = 1 + self.parts(&question).map_err(Untaken::Unrouted)?;
        if self.names.borrow().contains_key(&question.name) {
            return Err(Untaken::Duplicate);
        }
        if self.open.get() + size > self.max_open / self.presence.processes() {
            count(&self.counters.queries_full);
            return Err(Untaken::Full);
        }
        let id = self.next.get() + 1;
        self.next.set(id);
        self.open.set(self.open.get() + size);
        let (send, answer) = async_channel::bounded(1);
        let name = question.name.clone();
        self.names.borrow_mut().insert(name.clone(), id);
        self.waiting.borrow_mut().insert(id, Waiting { name, size, answer: send });
        count(&self.counters.queries);
        let deadline = question.deadline;
        log::debug!("{}: class {} of {} parts taken", question.name, question.class, question.parts.len());
        self.tell(Happening::Asked(id, question));
        Ok(Ticket { exchange: self.clone(), id, deadline, answer })
    }

    /// The map, where blocks move.
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.routes.as_ref().map(|(routes, _)| routes.clone())
    }

    /// How many parts a query will have.
    fn parts(&self, question: &Question) -> Result<usize, Unrouted> {
        let Some((routes, entries)) = &self.routes else { return Ok(question.parts.len()) };
        let entry = entries.get(question.class).copied().unwrap_or(false);
        let targets = |ask: &Ask| routes.targets(ask.shard, ask.weigher, entry).map(|targets| targets.len());
        question.parts.iter().map(targets).sum()
    }

    /// Who holds blocks now.
    pub fn holders(&self, told: Told) {
        if !told.is_empty() {
            self.tell(Happening::Holders(told));
        }
    }

    /// The end of an attempt.
    pub fn ended(&self, attempt: AttemptId, ended: Ended) {
        self.tell(Happening::Ended(attempt, ended));
    }

    /// What discovery has told.
    pub fn listed(&self, kind: ListKind, entries: Vec<Entry>) {
        self.tell(Happening::Listed(kind, entries));
    }

    /// How many processes share this broker's part.
    pub fn shared(&self, processes: u32) {
        self.tell(Happening::Shared(processes));
    }

    /// This process is about to end.
    pub fn leaving(&self) {
        self.tell(Happening::Leaving);
    }

    /// Resolves once the core has played a turn with all that was left here so far. The mark goes with the turn,
    /// and nobody else runs until its commands are carried out.
    pub async fn settled(&self) {
        let (mark, gone) = async_channel::bounded(1);
        self.tell(Happening::Mark(mark));
        let _ = gone.recv().await;
    }

    fn tell(&self, happening: Happening) {
        self.happened.borrow_mut().push_back(happening);
        // A full channel means that the core is to be woken anyway.
        let _ = self.wake.0.try_send(());
    }

    /// Waits until something has happened, or until `due`.
    pub async fn happened(&self, due: Option<f64>) -> VecDeque<Happening> {
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
        self.turn.set(Some(Instant::now()));
        std::mem::take(&mut *self.happened.borrow_mut())
    }

    /// Counts why a query is given up; its final answer follows.
    pub fn because(&self, id: QueryId, why: RejectionReason) {
        if let Some(waiting) = self.waiting.borrow().get(&id) {
            log::debug!("{}: given up: {why:?}", waiting.name);
        }
        count(match why {
            RejectionReason::OverLimit => &self.counters.over_limit,
            RejectionReason::NoHealthyReplica => &self.counters.shut,
            RejectionReason::Saturated => &self.counters.jammed,
            RejectionReason::DeadlineTooShort => &self.counters.hasty,
            RejectionReason::NoReplicaListed => &self.counters.unlisted,
            RejectionReason::PartsLost => &self.counters.lost,
            RejectionReason::TooLate => &self.counters.late,
        });
    }

    /// Gives a query its final answer. A second one is dropped: the client has had the first.
    pub fn finish(&self, id: QueryId, answer: Final) -> bool {
        let Some(waiting) = self.close(id) else {
            count(&self.counters.finals_dropped);
            return false;
        };
        match &answer {
            Final::Answered { whole, values } => {
                log::debug!("{}: answered from {} parts, whole {whole}", waiting.name, values.len());
            }
            other => log::debug!("{}: {other:?}", waiting.name),
        }
        count(match answer {
            Final::Answered { .. } => &self.counters.answered,
            Final::Refused { .. } => &self.counters.refused,
            Final::Failed => &self.counters.failed,
        });
        waiting.answer.try_send(answer).is_ok()
    }

    fn close(&self, id: QueryId) -> Option<Waiting> {
        let waiting = self.waiting.borrow_mut().remove(&id)?;
        self.names.borrow_mut().remove(&waiting.name);
        self.open.set(self.open.get() - waiting.size);
        Some(waiting)
    }

    /// When the turn began that is played now, or was last.
    pub fn turn_began(&self) -> Instant {
        self.turn.get().unwrap_or_else(Instant::now)
    }

    /// Whether a query that was taken has had its final answer or lost its client. The store side asks at the last
    /// moment before an attempt: a client that leaves is told to the core, whose word comes a turn later.
    pub fn is_over(&self, id: QueryId) -> bool {
        (1..=self.next.get()).contains(&id) && !self.waiting.borrow().contains_key(&id)
    }

    /// How many queries wait for their final answer.
    pub fn open_queries(&self) -> usize {
        self.waiting.borrow().len()
    }
}

/// A query that has been taken. Dropped before its answer, its client has left.
#[derive(Debug)]
pub struct Ticket {
    exchange: Rc<Exchange>,
    id: QueryId,
    deadline: f64,
    answer: Receiver<Final>,
}

impl Ticket {
    /// Waits for the final answer.
    pub async fn answer(&self) -> Final {
        let given = async { self.answer.recv().await.ok() };
        // Guards the rule that no query goes without an answer in time, should the core ever owe one.
        let overdue = async {
            Timer::after(self.exchange.clock.until(self.deadline)).await;
            None
        };
        if let Some(answer) = futures_lite::future::or(given, overdue).await {
            return answer;
        }
        if self.exchange.close(self.id).is_some() {
            count(&self.exchange.counters.overdue);
            count(&self.exchange.counters.failed);
            self.exchange.tell(Happening::Gone(self.id));
        }
        Final::Failed
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.exchange.close(self.id).is_some() {
            count(&self.exchange.counters.clients_gone);
            self.exchange.tell(Happening::Gone(self.id));
        }
    }
}
