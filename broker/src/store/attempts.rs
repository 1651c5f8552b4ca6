//! Attempts at stores. Those of one turn at one store share calls, up to the number in the settings; each has its own
//! task, timer and end all the same, and one that is given up before its call is written is not in it.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use gingerledge_dispatch::Outcome;

use super::link::{Link, Part};
use super::{frame, Site, Stores, Word};
use crate::clock::millis;
use crate::core::{AttemptId, AttemptOutcome, AttemptRequest, Form};
use crate::counters::count;

/// After an attempt has been given up, its answer may still be under way, and another attempt that goes
/// out at once could reach its store before this one learns of it. Both are waited for so long: many times
/// the longest way between zones, since a store on a busy machine reads one connection later than another.
const GIVING_UP: Duration = Duration::from_millis(25);
/// After a spoilt answer, from any store, parts share no connections for so long where others can be had,
/// up to so many for a store: the next one then takes no more parts down with it.
const SPOILT_MEMORY: Duration = Duration::from_secs(30);
const LINKS_APART: usize = 6;

/// After a turn that took so long, its attempts wait for a round in which the fronts hear of clients that left meanwhile.
const LONG_TURN: Duration = Duration::from_millis(20);
const ROUND: Duration = Duration::from_millis(1);

/// An attempt to be made, and where the core's word to give it up comes.
type Attempt = (AttemptRequest, Receiver<Word>);
/// What stops an attempt: its outcome, and whether it was waited for in vain.
type Stop = Pin<Box<dyn Future<Output = (Outcome, bool)>>>;

impl Stores {
    /// Notes an attempt that is to be made when the turn is over ([`Stores::turn_over`]); its end goes to the exchange.
    pub fn send(&self, order: AttemptRequest) {
        count(&self.counters.attempts);
        let (stop, stopped) = async_channel::bounded(1);
        self.stops.borrow_mut().insert(order.attempt, stop);
        self.orders.borrow_mut().push((order, stopped));
    }

    /// Makes the attempts of the turn. Those at one store share calls.
    pub fn turn_over(self: &Rc<Self>) {
        let orders = self.orders.take();
        let began = self.exchange.turn_began();
        if orders.is_empty() || began.elapsed() < LONG_TURN {
            return self.make(orders, began);
        }
        // Guards against clients that left while nobody looked at their connections: what their sockets tell is taken in
        // first. The second round lets the fronts run that the first has woken.
        let this = self.clone();
        let later = async move {
            for _ in 0..2 {
                Timer::after(ROUND).await;
            }
            this.make(orders, began);
        };
        self.executor.spawn(later).detach();
    }

    fn make(self: &Rc<Self>, orders: Vec<Attempt>, began: Instant) {
        let mut calls: Vec<(Rc<Site>, Vec<Attempt>)> = Vec::new();
        for (order, stopped) in orders {
            if self.exchange.is_finished(order.query_id) {
                self.ended(order.attempt, Outcome::Void.into());
                continue;
            }
            let Some(site) = self.sites.borrow().get(&order.server).cloned() else {
                self.ended(order.attempt, Outcome::Void.into());
                continue;
            };
            if site.features.is_some() && order.form == Form::Features {
                let this = self.clone();
                self.follow(order, stopped, |order, stop| async move {
                    let by = by(&order, began);
                    this.ask(&site, &order, by, stop).await
                });
                continue;
            }
            let joint =
                calls.iter_mut().find(|(at, call)| Rc::ptr_eq(at, &site) && call.len() < self.joint());
            match joint {
                Some((_, call)) => call.push((order, stopped)),
                None => calls.push((site, vec![(order, stopped)])),
            }
        }
        for (site, call) in calls {
            let link = self.link(&site, call.len());
            let ends = link.call(call.iter().map(|(order, _)| part(order, began)));
            for ((order, stopped), ended) in call.into_iter().zip(ends) {
                let (this, link, id) = (self.clone(), link.clone(), id(&order));
                self.follow(order, stopped, |_, stop| async move { this.wait(&link, id, ended, stop).await });
            }
        }
    }

    /// How many parts may share a call now.
    fn joint(&self) -> usize {
        if self.apart() {
            1
        } else {
            self.limits.batch.min(self.limits.streams).max(1)
        }
    }

    /// Runs an attempt to its end, with what stops it: its patience, or the core's word.
    fn follow<F: Future<Output = AttemptOutcome> + 'static>(
        self: &Rc<Self>,
        order: AttemptRequest,
        stopped: Receiver<Word>,
        attempt: impl FnOnce(AttemptRequest, Stop) -> F,
    ) {
        let (id, began) = (order.attempt, Instant::now());
        // Nobody pays for the text where it is not logged.
        let told = log::log_enabled!(log::Level::Debug).then(|| {
            let sites = self.sites.borrow();
            let store = sites.get(&order.server).map_or("?", |site| site.name.as_str());
            format!("{}.{} attempt {} at {store}", order.query, order.shard, id.number)
        });
        let patience = millis(order.patience_ms);
        let patience = async move {
            Timer::after(patience).await;
            (Outcome::TimedOut, true)
        };
        let withdrawn = async move { (Outcome::Withdrawn, stopped.recv().await != Ok(Word::Abandon)) };
        let attempt = attempt(order, Box::pin(or(patience, withdrawn)));
        let this = self.clone();
        let task = async move {
            let ended = attempt.await;
            if let Some(told) = told {
                log::debug!("{told}: {:?} after {:?}", ended.outcome, began.elapsed());
            }
            this.ended(id, ended);
        };
        self.executor.spawn(task).detach();
    }

    fn ended(&self, id: AttemptId, ended: AttemptOutcome) {
        self.stops.borrow_mut().remove(&id);
        count(match ended.outcome {
            Outcome::Success => &self.counters.served,
            Outcome::Failure => &self.counters.errors,
            Outcome::Overloaded => &self.counters.turned_away,
            Outcome::TimedOut => &self.counters.timed_out,
            Outcome::Unreachable => &self.counters.unreachable,
            Outcome::Broken => &self.counters.broken,
            Outcome::Withdrawn => &self.counters.withdrawn,
            Outcome::Void => &self.counters.void,
        });
        self.exchange.attempt_ended(id, ended);
    }

    /// Waits for the end of a part on a link.
    async fn wait(
        &self,
        link: &Link,
        id: Rc<str>,
        ended: Receiver<AttemptOutcome>,
        stop: Stop,
    ) -> AttemptOutcome {
        let end = async { Ok(ended.recv().await.unwrap_or(Outcome::Broken.into())) };
        let (outcome, in_vain) = match or(end, async { Err(stop.await) }).await {
            Ok(ended) => return ended,
            Err(stopped) => stopped,
        };
        if link.give_up(&id) {
            return Outcome::Void.into();
        }
        let settled = async {
            Timer::after(GIVING_UP).await;
            outcome.into()
        };
        let last = async { ended.recv().await.unwrap_or(outcome.into()) };
        let ended = or(last, settled).await;
        link.forget(&id, in_vain, &self.limits);
        ended
    }

    /// The same in feature form. Its connection carries nothing else: closing it gives the attempt up.
    async fn ask(
        &self,
        site: &Site,
        order: &AttemptRequest,
        by: Option<Instant>,
        stop: Stop,
    ) -> AttemptOutcome {
        let Some(driver) = &site.features else { return Outcome::Void.into() };
        let written = Cell::new(false);
        let wanted = || by.is_none_or(|by| Instant::now() < by) && !self.exchange.is_finished(order.query_id);
        let end = async { Ok(driver.ask(self, site, order, wanted, &written).await) };
        match or(end, async { Err(stop.await) }).await {
            Ok(ended) => ended,
            Err(_) if !written.get() => Outcome::Void.into(),
            Err((outcome, _)) => {
                Timer::after(GIVING_UP).await;
                outcome.into()
            }
        }
    }

    /// Whether parts are to share no connections.
    fn apart(&self) -> bool {
        self.spoilt.get().is_some_and(|at| at.elapsed() < SPOILT_MEMORY)
    }

    /// A connection with room for so many more parts; a new one where none has.
    fn link(self: &Rc<Self>, site: &Rc<Site>, parts: usize) -> Rc<Link> {
        let mut links = site.links.borrow_mut();
        let mut room = links.iter().filter(|link| link.has_room(parts, &self.limits));
        let apart = self.apart();
        if !apart {
            if let Some(link) = room.next() {
                return link.clone();
            }
        } else if let Some(link) = room.min_by_key(|link| link.load()) {
            let more =
                links.len() < LINKS_APART && self.links.get() < self.limits.links / self.presence.processes();
            if link.load() == 0 || !more {
                return link.clone();
            }
        }
        if !apart {
            links.iter().filter(|link| link.idle()).for_each(|link| link.retire());
        }
        let link = Link::new(site.clone(), self.counters.clone(), self.exchange.clone());
        links.push(link.clone());
        self.links.set(self.links.get() + 1);
        let (this, site, running) = (self.clone(), site.clone(), link.clone());
        let run = async move {
            let place = this.place().await;
            if running.clone().run(this.limits.clone(), place).await {
                this.spoilt.set(Some(Instant::now()));
            }
            this.links.set(this.links.get() - 1);
            site.links.borrow_mut().retain(|link| !Rc::ptr_eq(link, &running));
        };
        self.executor.spawn(run).detach();
        link
    }
}

/// A part's id.
fn id(order: &AttemptRequest) -> Rc<str> {
    let AttemptRequest { query, shard, .. } = order;
    let step = if order.second.is_some() { ".r" } else { "" };
    match &order.fence {
        // The entry's key is what stands before the last dash: the same wherever its block goes.
        Some(fence) if fence.named != *shard => format!("{query}.{}-{shard}{step}", fence.named).into(),
        _ => format!("{query}.{shard}{step}").into(),
    }
}

/// The last moment for an attempt. It counts from the beginning of its turn, as the core's clock does.
fn by(order: &AttemptRequest, began: Instant) -> Option<Instant> {
    order.send_within_ms.map(|ms| began + millis(ms))
}

/// A part as a call carries it.
fn part(order: &AttemptRequest, began: Instant) -> Part {
    let mut list = format!("d={}", order.patience_ms.max(1.0).floor());
    if let Some(key) = &order.key {
        list.push_str(&format!(",k={}", key.as_str()));
    }
    if let Some(fence) = &order.fence {
        list.push_str(&format!(",e={}", fence.epoch.0));
        if let Some(slice) = fence.slice {
            list.push_str(&format!(",s={}-{}", slice.first, slice.end));
        }
        if let Some(weigher) = fence.weigher {
            list.push_str(&format!(",i={weigher}"));
        }
        if fence.entry {
            list.push_str(",w=1");
        }
    }
    if let Some(first) = &order.second {
        let from: Vec<String> = first.from.iter().map(u32::to_string).collect();
        list.push_str(&format!(",from={},whole={}", from.join("+"), u8::from(first.whole)));
    }
    let id = id(order);
    let bytes = frame::part(&id, order.shard, &list, &order.text);
    Part { id, bytes, by: by(order, began), query_id: order.query_id }
}
