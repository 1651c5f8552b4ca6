//! Attempts at stores. The attempts of one turn at one store share calls, up to the batch size of the settings. Each still
//! has its own task, time-out and outcome, and one that is withdrawn before its call is written is left out of the call.

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
use crate::core::{AttemptId, AttemptOutcome, AttemptRequest, QueryFormat};
use crate::counters::count;

/// Delay between the withdrawal of an attempt and the report of its outcome. The answer may be in flight, and the next
/// attempt must not reach its store before the withdrawal has reached the store of this one. The delay is many times the
/// latency between zones, since a store on a busy machine may read one connection later than another.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(25);
/// Time after a corrupt answer from any store during which parts do not share connections, so that the next corrupt answer
/// fails one part only.
const CORRUPTION_MEMORY: Duration = Duration::from_secs(30);
/// Maximum number of connections to a store while parts do not share them.
const UNSHARED_LINKS_MAX: usize = 6;

/// Length of a turn from which on its attempts wait until the fronts have detected the clients that disconnected meanwhile.
const LONG_TURN: Duration = Duration::from_millis(20);
/// Wait that lets the event loop complete a pass.
const EVENT_LOOP_PASS: Duration = Duration::from_millis(1);

/// An attempt to be started, and the channel by which the core stops it.
type Attempt = (AttemptRequest, Receiver<StopReason>);
/// Resolves when an attempt must stop, with its outcome and whether the store failed to answer in time.
type Stop = Pin<Box<dyn Future<Output = (Outcome, bool)>>>;

impl Stores {
    /// Queues an attempt until the end of the turn ([`Stores::turn_over`]). Its outcome is reported to the exchange.
    pub fn send(&self, request: AttemptRequest) {
        count(&self.counters.attempts);
        let (stop, stop_requests) = async_channel::bounded(1);
        self.stops.borrow_mut().insert(request.attempt, stop);
        self.queued_attempts.borrow_mut().push((request, stop_requests));
    }

    /// Starts the queued attempts of the turn. Attempts at the same store share calls.
    pub fn turn_over(self: &Rc<Self>) {
        let attempts = self.queued_attempts.take();
        let turn_started = self.exchange.turn_started();
        if attempts.is_empty() || turn_started.elapsed() < LONG_TURN {
            return self.start_attempts(attempts, turn_started);
        }
        // Clients may have disconnected during the turn, so their sockets are read first. The second pass of the event loop
        // runs the tasks of the fronts that the first one has woken.
        let this = self.clone();
        let start_later = async move {
            for _ in 0..2 {
                Timer::after(EVENT_LOOP_PASS).await;
            }
            this.start_attempts(attempts, turn_started);
        };
        self.executor.spawn(start_later).detach();
    }

    fn start_attempts(self: &Rc<Self>, attempts: Vec<Attempt>, turn_started: Instant) {
        let mut calls: Vec<(Rc<Endpoint>, Vec<Attempt>)> = Vec::new();
        for (request, stop_requests) in attempts {
            if self.exchange.is_finished(request.query_id) {
                self.finish(request.attempt, Outcome::Void.into());
                continue;
            }
            let Some(endpoint) = self.endpoints.borrow().get(&request.server).cloned() else {
                self.finish(request.attempt, Outcome::Void.into());
                continue;
            };
            if endpoint.features.is_some() && request.format == QueryFormat::Features {
                let this = self.clone();
                self.spawn_attempt(request, stop_requests, |request, stop| async move {
                    let send_by = send_deadline(&request, turn_started);
                    this.attempt_by_features(&endpoint, &request, send_by, stop).await
                });
                continue;
            }
            let open_call = calls
                .iter_mut()
                .find(|(target, call)| Rc::ptr_eq(target, &endpoint) && call.len() < self.parts_per_call());
            match open_call {
                Some((_, call)) => call.push((request, stop_requests)),
                None => calls.push((endpoint, vec![(request, stop_requests)])),
            }
        }
        for (endpoint, call) in calls {
            let link = self.link(&endpoint, call.len());
            let outcomes =
                link.enqueue_call(call.iter().map(|(request, _)| encode_part(request, turn_started)));
            for ((request, stop_requests), outcome) in call.into_iter().zip(outcomes) {
                let (this, link, id) = (self.clone(), link.clone(), part_id(&request));
                self.spawn_attempt(request, stop_requests, |_, stop| async move {
                    this.await_part(&link, id, outcome, stop).await
                });
            }
        }
    }

    /// Maximum number of parts that may share a call at present.
    fn parts_per_call(&self) -> usize {
        if self.avoids_sharing() {
            1
        } else {
            self.limits.batch.min(self.limits.streams).max(1)
        }
    }

    /// Spawns the task of an attempt, which ends at its time-out or at the core's stop request at the latest.
    fn spawn_attempt<F: Future<Output = AttemptOutcome> + 'static>(
        self: &Rc<Self>,
        request: AttemptRequest,
        stop_requests: Receiver<StopReason>,
        attempt: impl FnOnce(AttemptRequest, Stop) -> F,
    ) {
        let (id, started) = (request.attempt, Instant::now());
        // The description is built only if it is logged.
        let description = log::log_enabled!(log::Level::Debug).then(|| {
            let endpoints = self.endpoints.borrow();
            let store = endpoints.get(&request.server).map_or("?", |endpoint| endpoint.name.as_str());
            format!("{}.{} attempt {} at {store}", request.query, request.shard, id.number)
        });
        let timeout = millis(request.timeout_ms);
        let timeout = async move {
            Timer::after(timeout).await;
            (Outcome::TimedOut, true)
        };
        let withdrawn =
            async move { (Outcome::Withdrawn, stop_requests.recv().await != Ok(StopReason::NotNeeded)) };
        let attempt = attempt(request, Box::pin(or(timeout, withdrawn)));
        let this = self.clone();
        let task = async move {
            let outcome = attempt.await;
            if let Some(description) = description {
                log::debug!(outcome:? = outcome.outcome, elapsed:? = started.elapsed(); "{description} ended");
            }
            this.finish(id, outcome);
        };
        self.executor.spawn(task).detach();
    }

    /// Counts the outcome of an attempt and reports it to the exchange.
    fn finish(&self, id: AttemptId, outcome: AttemptOutcome) {
        self.stops.borrow_mut().remove(&id);
        count(match outcome.outcome {
            Outcome::Success => &self.counters.served,
            Outcome::Failure => &self.counters.errors,
            Outcome::Overloaded => &self.counters.turned_away,
            Outcome::TimedOut => &self.counters.timed_out,
            Outcome::Unreachable => &self.counters.unreachable,
            Outcome::Broken => &self.counters.broken,
            Outcome::Withdrawn => &self.counters.withdrawn,
            Outcome::Void => &self.counters.void,
        });
        self.exchange.attempt_ended(id, outcome);
    }

    /// Waits for the outcome of a part on a link.
    async fn await_part(
        &self,
        link: &Link,
        id: Rc<str>,
        answered: Receiver<AttemptOutcome>,
        stop: Stop,
    ) -> AttemptOutcome {
        let answer = async { Ok(answered.recv().await.unwrap_or(Outcome::Broken.into())) };
        let (outcome, without_answer) = match or(answer, async { Err(stop.await) }).await {
            Ok(outcome) => return outcome,
            Err(stopped) => stopped,
        };
        if link.withdraw(&id) {
            return Outcome::Void.into();
        }
        let delay = async {
            Timer::after(WITHDRAWAL_DELAY).await;
            outcome.into()
        };
        let late_answer = async { answered.recv().await.unwrap_or(outcome.into()) };
        let outcome = or(late_answer, delay).await;
        link.forget(&id, without_answer, &self.limits);
        outcome
    }

    /// Makes an attempt through the feature API. Its connection carries nothing else, so closing it withdraws the attempt.
    async fn attempt_by_features(
        &self,
        endpoint: &Endpoint,
        request: &AttemptRequest,
        send_by: Option<Instant>,
        stop: Stop,
    ) -> AttemptOutcome {
        let Some(client) = &endpoint.features else { return Outcome::Void.into() };
        let written = Cell::new(false);
        let is_wanted = || {
            send_by.is_none_or(|send_by| Instant::now() < send_by)
                && !self.exchange.is_finished(request.query_id)
        };
        let answer = async { Ok(client.attempt(self, endpoint, request, is_wanted, &written).await) };
        match or(answer, async { Err(stop.await) }).await {
            Ok(outcome) => outcome,
            Err(_) if !written.get() => Outcome::Void.into(),
            Err((outcome, _)) => {
                Timer::after(WITHDRAWAL_DELAY).await;
                outcome.into()
            }
        }
    }

    /// Whether parts must not share connections at present.
    fn avoids_sharing(&self) -> bool {
        self.last_corruption.get().is_some_and(|last| last.elapsed() < CORRUPTION_MEMORY)
    }

    /// Returns a link that can carry this many more parts, opening a new one if there is none. While parts do not share
    /// connections, the least loaded link is reused only if it is unused or no more links may be opened.
    fn link(self: &Rc<Self>, endpoint: &Rc<Endpoint>, parts: usize) -> Rc<Link> {
        let mut links = endpoint.links.borrow_mut();
        let mut usable = links.iter().filter(|link| link.can_carry(parts, &self.limits));
        let is_unshared = self.avoids_sharing();
        if !is_unshared {
            if let Some(link) = usable.next() {
                return link.clone();
            }
        } else if let Some(link) = usable.min_by_key(|link| link.load()) {
            let may_open = links.len() < UNSHARED_LINKS_MAX
                && self.links.get() < self.limits.links / self.presence.process_count();
            if link.load() == 0 || !may_open {
                return link.clone();
            }
        }
        if !is_unshared {
            links.iter().filter(|link| link.is_idle()).for_each(|link| link.close_when_idle());
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

/// The id of an attempt's part on the wire.
fn part_id(request: &AttemptRequest) -> Rc<str> {
    let AttemptRequest { query, shard, .. } = request;
    let step = if request.first_step.is_some() { ".r" } else { "" };
    match &request.fence {
        // The text before the last dash is the key of an entry, which is the same whatever block now serves it.
        Some(fence) if fence.requested_block != *shard => {
            format!("{query}.{}-{shard}{step}", fence.requested_block).into()
        }
        _ => format!("{query}.{shard}{step}").into(),
    }
}

/// Time until which an attempt may be sent. The limit counts from the start of its turn, which is the time that the core
/// computed it for.
fn send_deadline(request: &AttemptRequest, turn_started: Instant) -> Option<Instant> {
    request.send_within_ms.map(|ms| turn_started + millis(ms))
}

/// Encodes the part of an attempt for a call.
fn encode_part(request: &AttemptRequest, turn_started: Instant) -> Part {
    let mut list = format!("d={}", request.timeout_ms.max(1.0).floor());
    if let Some(key) = &request.key {
        list.push_str(&format!(",k={}", key.as_str()));
    }
    if let Some(fence) = &request.fence {
        list.push_str(&format!(",e={}", fence.epoch.0));
        if let Some(slice) = fence.slice {
            list.push_str(&format!(",s={}-{}", slice.first, slice.end));
        }
        if let Some(weigher) = fence.weigher {
            list.push_str(&format!(",i={weigher}"));
        }
        if fence.is_entry {
            list.push_str(",w=1");
        }
    }
    if let Some(first_step) = &request.first_step {
        let shards: Vec<String> = first_step.answered_shards.iter().map(u32::to_string).collect();
        list.push_str(&format!(",from={},whole={}", shards.join("+"), u8::from(first_step.is_complete)));
    }
    let id = part_id(request);
    let bytes = frame::part(&id, request.shard, &list, &request.text);
    Part { id, bytes, send_by: send_deadline(request, turn_started), query_id: request.query_id }
}
