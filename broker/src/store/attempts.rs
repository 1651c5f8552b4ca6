//! Attempts at stores. Those of one turn at one store share calls, up to the batch size of the settings; each still has its
//! own task, time-out and outcome, and one that is withdrawn before its call is written is left out of it.

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
use super::{frame, Endpoint, StopReason, Stores};
use crate::clock::millis;
use crate::core::{AttemptId, AttemptOutcome, AttemptRequest, Form};
use crate::counters::count;

/// Delay between the withdrawal of an attempt and its reported outcome. Its answer may be in flight, and the next attempt
/// must not reach its store before the withdrawal has reached this one. Many times the latency between zones, since a
/// store on a busy machine may read one connection later than another.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(25);
/// For this time after a corrupt answer from any store, parts do not share connections, up to this number of connections
/// for each store: the next corrupt answer then fails one part only.
const CORRUPTION_MEMORY: Duration = Duration::from_secs(30);
const UNSHARED_LINKS_MAX: usize = 6;

/// After a turn of this length its attempts wait until the fronts have seen which clients disconnected meanwhile.
const LONG_TURN: Duration = Duration::from_millis(20);
const EVENT_LOOP_PASS: Duration = Duration::from_millis(1);

/// An attempt to be started, and the channel by which the core stops it.
type Attempt = (AttemptRequest, Receiver<StopReason>);
/// Resolves when an attempt must stop: with its outcome, and whether the store failed to answer.
type Stop = Pin<Box<dyn Future<Output = (Outcome, bool)>>>;

impl Stores {
    /// Queues an attempt until the end of the turn ([`Stores::turn_over`]); its outcome goes to the exchange.
    pub fn send(&self, order: AttemptRequest) {
        count(&self.counters.attempts);
        let (stop, stop_requests) = async_channel::bounded(1);
        self.stops.borrow_mut().insert(order.attempt, stop);
        self.orders.borrow_mut().push((order, stop_requests));
    }

    /// Starts the queued attempts of the turn. Those at one store share calls.
    pub fn turn_over(self: &Rc<Self>) {
        let orders = self.orders.take();
        let began = self.exchange.turn_began();
        if orders.is_empty() || began.elapsed() < LONG_TURN {
            return self.start_attempts(orders, began);
        }
        // Clients may have disconnected during the turn: their sockets are read first. The second pass runs the tasks of the
        // fronts that the first one has woken.
        let this = self.clone();
        let later = async move {
            for _ in 0..2 {
                Timer::after(EVENT_LOOP_PASS).await;
            }
            this.start_attempts(orders, began);
        };
        self.executor.spawn(later).detach();
    }

    fn start_attempts(self: &Rc<Self>, orders: Vec<Attempt>, began: Instant) {
        let mut calls: Vec<(Rc<Endpoint>, Vec<Attempt>)> = Vec::new();
        for (order, stop_requests) in orders {
            if self.exchange.is_finished(order.query_id) {
                self.finish(order.attempt, Outcome::Void.into());
                continue;
            }
            let Some(endpoint) = self.endpoints.borrow().get(&order.server).cloned() else {
                self.finish(order.attempt, Outcome::Void.into());
                continue;
            };
            if endpoint.features.is_some() && order.form == Form::Features {
                let this = self.clone();
                self.spawn_attempt(order, stop_requests, |order, stop| async move {
                    let by = send_deadline(&order, began);
                    this.attempt_by_features(&endpoint, &order, by, stop).await
                });
                continue;
            }
            let open_call = calls
                .iter_mut()
                .find(|(at, call)| Rc::ptr_eq(at, &endpoint) && call.len() < self.parts_per_call());
            match open_call {
                Some((_, call)) => call.push((order, stop_requests)),
                None => calls.push((endpoint, vec![(order, stop_requests)])),
            }
        }
        for (endpoint, call) in calls {
            let link = self.link(&endpoint, call.len());
            let ends = link.call(call.iter().map(|(order, _)| part(order, began)));
            for ((order, stop_requests), ended) in call.into_iter().zip(ends) {
                let (this, link, id) = (self.clone(), link.clone(), part_id(&order));
                self.spawn_attempt(order, stop_requests, |_, stop| async move {
                    this.await_part(&link, id, ended, stop).await
                });
            }
        }
    }

    /// How many parts may share a call at present.
    fn parts_per_call(&self) -> usize {
        if self.avoids_sharing() {
            1
        } else {
            self.limits.batch.min(self.limits.streams).max(1)
        }
    }

    /// Spawns the task of an attempt, which ends by its time-out or the core's stop request at the latest.
    fn spawn_attempt<F: Future<Output = AttemptOutcome> + 'static>(
        self: &Rc<Self>,
        order: AttemptRequest,
        stop_requests: Receiver<StopReason>,
        attempt: impl FnOnce(AttemptRequest, Stop) -> F,
    ) {
        let (id, began) = (order.attempt, Instant::now());
        // The text is only built if it is logged.
        let description = log::log_enabled!(log::Level::Debug).then(|| {
            let endpoints = self.endpoints.borrow();
            let store = endpoints.get(&order.server).map_or("?", |endpoint| endpoint.name.as_str());
            format!("{}.{} attempt {} at {store}", order.query, order.shard, id.number)
        });
        let timeout = millis(order.timeout_ms);
        let timeout = async move {
            Timer::after(timeout).await;
            (Outcome::TimedOut, true)
        };
        let withdrawn =
            async move { (Outcome::Withdrawn, stop_requests.recv().await != Ok(StopReason::NotNeeded)) };
        let attempt = attempt(order, Box::pin(or(timeout, withdrawn)));
        let this = self.clone();
        let task = async move {
            let ended = attempt.await;
            if let Some(description) = description {
                log::debug!(outcome:? = ended.outcome, elapsed:? = began.elapsed(); "{description} ended");
            }
            this.finish(id, ended);
        };
        self.executor.spawn(task).detach();
    }

    fn finish(&self, id: AttemptId, ended: AttemptOutcome) {
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

    /// Waits for the outcome of a part on a link.
    async fn await_part(
        &self,
        link: &Link,
        id: Rc<str>,
        ended: Receiver<AttemptOutcome>,
        stop: Stop,
    ) -> AttemptOutcome {
        let end = async { Ok(ended.recv().await.unwrap_or(Outcome::Broken.into())) };
        let (outcome, without_answer) = match or(end, async { Err(stop.await) }).await {
            Ok(ended) => return ended,
            Err(stopped) => stopped,
        };
        if link.withdraw(&id) {
            return Outcome::Void.into();
        }
        let grace_over = async {
            Timer::after(WITHDRAWAL_DELAY).await;
            outcome.into()
        };
        let last = async { ended.recv().await.unwrap_or(outcome.into()) };
        let ended = or(last, grace_over).await;
        link.forget(&id, without_answer, &self.limits);
        ended
    }

    /// Makes an attempt by the feature API. Its connection carries nothing else: closing it withdraws the attempt.
    async fn attempt_by_features(
        &self,
        endpoint: &Endpoint,
        order: &AttemptRequest,
        by: Option<Instant>,
        stop: Stop,
    ) -> AttemptOutcome {
        let Some(driver) = &endpoint.features else { return Outcome::Void.into() };
        let written = Cell::new(false);
        let wanted = || by.is_none_or(|by| Instant::now() < by) && !self.exchange.is_finished(order.query_id);
        let end = async { Ok(driver.attempt(self, endpoint, order, wanted, &written).await) };
        match or(end, async { Err(stop.await) }).await {
            Ok(ended) => ended,
            Err(_) if !written.get() => Outcome::Void.into(),
            Err((outcome, _)) => {
                Timer::after(WITHDRAWAL_DELAY).await;
                outcome.into()
            }
        }
    }

    /// Whether parts must not share connections at present.
    fn avoids_sharing(&self) -> bool {
        self.last_corruption.get().is_some_and(|at| at.elapsed() < CORRUPTION_MEMORY)
    }

    /// A link that can carry this many more parts; a new one if there is none.
    fn link(self: &Rc<Self>, endpoint: &Rc<Endpoint>, parts: usize) -> Rc<Link> {
        let mut links = endpoint.links.borrow_mut();
        let mut usable = links.iter().filter(|link| link.can_carry(parts, &self.limits));
        let unshared = self.avoids_sharing();
        if !unshared {
            if let Some(link) = usable.next() {
                return link.clone();
            }
        } else if let Some(link) = usable.min_by_key(|link| link.load()) {
            let more = links.len() < UNSHARED_LINKS_MAX
                && self.links.get() < self.limits.links / self.presence.processes();
            if link.load() == 0 || !more {
                return link.clone();
            }
        }
        if !unshared {
            links.iter().filter(|link| link.is_idle()).for_each(|link| link.retire());
        }
        let link = Link::new(endpoint.clone(), self.counters.clone(), self.exchange.clone());
        links.push(link.clone());
        self.links.set(self.links.get() + 1);
        let (this, endpoint, running) = (self.clone(), endpoint.clone(), link.clone());
        let run = async move {
            let slot = this.acquire_slot().await;
            if running.clone().run(this.limits.clone(), slot).await {
                this.last_corruption.set(Some(Instant::now()));
            }
            this.links.set(this.links.get() - 1);
            endpoint.links.borrow_mut().retain(|link| !Rc::ptr_eq(link, &running));
        };
        self.executor.spawn(run).detach();
        link
    }
}

/// A part's id on the wire.
fn part_id(order: &AttemptRequest) -> Rc<str> {
    let AttemptRequest { query, shard, .. } = order;
    let step = if order.first_step.is_some() { ".r" } else { "" };
    match &order.fence {
        // The entry's key is what stands before the last dash: the same wherever its block goes.
        Some(fence) if fence.named != *shard => format!("{query}.{}-{shard}{step}", fence.named).into(),
        _ => format!("{query}.{shard}{step}").into(),
    }
}

/// The latest time to send an attempt, counted from the start of its turn, as by the core's clock.
fn send_deadline(order: &AttemptRequest, began: Instant) -> Option<Instant> {
    order.send_within_ms.map(|ms| began + millis(ms))
}

/// Encodes a part of a call.
fn part(order: &AttemptRequest, began: Instant) -> Part {
    let mut list = format!("d={}", order.timeout_ms.max(1.0).floor());
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
    if let Some(first) = &order.first_step {
        let from: Vec<String> = first.from.iter().map(u32::to_string).collect();
        list.push_str(&format!(",from={},whole={}", from.join("+"), u8::from(first.whole)));
    }
    let id = part_id(order);
    let bytes = frame::part(&id, order.shard, &list, &order.text);
    Part { id, bytes, by: send_deadline(order, began), query_id: order.query_id }
}
