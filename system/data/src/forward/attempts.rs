//! The attempts of one request: store after store, until one answers or the request is given up.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::{RouteKind, Verdict};
use hyper::body::Body;
use hyper::http::{HeaderMap, HeaderValue, StatusCode};
use tokio::time::timeout;

use super::outgoing::Outgoing;
use crate::headers;
use crate::index::KnownStore;
use crate::routing::{
    choose, connect_time, head_time, next_step, pick_service, silence_time, waits_too_long, Candidate, Next,
    Prompt, Sent,
};
use crate::stores::{Attempt, Cause, CountGuard, Load, Refusal, StoreAnswer, StoreBody, Timings};
use crate::Shared;

/// Bodies up to this length are read whole before the client gets the head, so that a cut can still be repaired.
const WHOLE_BODY_BYTES: u64 = 64 * 1024;

/// A store that is silent for less than this is not taken to have failed.
const SILENCE_OF_A_FAILURE: Duration = Duration::from_millis(250);

/// An answer that has come whole.
pub struct Whole {
    /// The store's status.
    pub status: StatusCode,
    /// The store's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// An answer whose body is still coming.
pub struct Streamed {
    /// The store's status.
    pub status: StatusCode,
    /// The store's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: StoreBody,
    /// The store.
    pub store: Rc<KnownStore>,
    /// Counts the request at the store.
    pub guard: CountGuard,
}

/// A store's answer.
pub enum Answer {
    /// All of it is there.
    Whole(Whole),
    /// The body follows.
    Streamed(Streamed),
}

/// No store's answer can be passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GivenUp {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// A store said that the request itself is bad.
    pub bad_request: bool,
}

/// The attempts of one request.
pub struct Attempts {
    shared: Rc<Shared>,
    outgoing: Rc<Outgoing>,
    sent: Sent,
    tried: Vec<Rc<KnownStore>>,
    own_failure: Option<Whole>,
    server_errors: u32,
    asked_at: Duration,
    prompts: Vec<Prompt>,
}

impl Attempts {
    /// None made yet.
    pub fn new(shared: Rc<Shared>, outgoing: Rc<Outgoing>) -> Self {
        Self {
            prompts: prompts(&outgoing),
            shared,
            outgoing,
            sent: Sent::default(),
            tried: Vec::new(),
            own_failure: None,
            server_errors: 0,
            asked_at: Duration::ZERO,
        }
    }

    /// How often stores answered with an error of their own.
    pub fn server_errors(&self) -> u32 {
        self.server_errors
    }

    /// The request.
    pub fn outgoing(&self) -> &Outgoing {
        &self.outgoing
    }

    /// Asks stores until one answers; `last_event` takes a stream up after an event.
    pub async fn run(&mut self, last_event: Option<&HeaderValue>) -> Result<Answer, GivenUp> {
        while self.next_step() == Next::AnotherStore {
            let Some(store) = self.choose() else { break };
            let guard = CountGuard::on(&store.out);
            match self.ask(&store, last_event).await {
                Ok(answer) => match self.receive(answer, store, guard).await {
                    Ok(Some(answer)) => return Ok(answer),
                    Ok(None) => {}
                    Err(given_up) => return Err(given_up),
                },
                Err(attempt) => {
                    if let Some(given_up) = self.note(&store, &attempt) {
                        return Err(given_up);
                    }
                }
            }
        }
        match self.own_failure.take() {
            Some(whole) => Ok(Answer::Whole(whole)),
            None => Err(GivenUp { verdict: self.sent.verdict, bad_request: false }),
        }
    }

    /// A stream that was being passed on was cut off at its store.
    pub fn cut(&mut self, store: &KnownStore) {
        self.shared.health.failed(&store.target.id, self.shared.now());
        self.sent.verdict = self.sent.verdict.and(Verdict::MayHaveRun);
    }

    /// The time left.
    pub fn left(&self) -> Duration {
        self.outgoing.until.saturating_sub(self.shared.now())
    }

    /// The time since a store was asked last.
    fn waited(&self) -> Duration {
        self.shared.now().saturating_sub(self.asked_at)
    }

    fn next_step(&self) -> Next {
        let route = &self.outgoing.route;
        next_step(&self.sent, route.max_attempts(), route.idempotent(), self.left())
    }

    /// The store to ask next: of the service that the weights pick, else of another one of the route. None if there is none
    /// that could serve the request in time.
    fn choose(&self) -> Option<Rc<KnownStore>> {
        let route = &self.outgoing.route;
        let picked = pick_service(&route.weights, fastrand::f64())?;
        let others = (0..route.services.len()).filter(|&place| place != picked && route.weights[place] > 0.0);
        let store = std::iter::once(picked).chain(others).find_map(|place| self.choose_of(place))?;
        let load = store.load(self.shared.now());
        (!waits_too_long(load, route.usual.get(), self.left())).then_some(store)
    }

    fn choose_of(&self, place: usize) -> Option<Rc<KnownStore>> {
        let now = self.shared.now();
        let stores = self.shared.stores_of(self.outgoing.route.services.get(place)?);
        let affinity = self.shared.affinity.borrow();
        let preferred = self.prompts.get(place).and_then(|prompt| affinity.prefer(prompt));
        let candidates = stores.iter().map(|store| {
            let id = store.target.id.as_str();
            let avoided = self.shared.health.avoid(id, now);
            let tried = self.tried.iter().any(|tried| tried.target.id == id);
            let bonus = preferred.filter(|&(preferred, _)| preferred == id).map_or(0, |(_, bonus)| bonus);
            Candidate { bonus, ..store.candidate(now, avoided, tried) }
        });
        choose(candidates, fastrand::u64(..)).and_then(|place| stores.get(place).cloned())
    }

    /// The store has read the request's prompt.
    fn note_prompt(&self, store: &KnownStore) {
        let services = &self.outgoing.route.services;
        let prompts =
            self.prompts.iter().zip(services).filter(|(_, service)| **service == store.target.service);
        for (prompt, _) in prompts {
            self.shared.affinity.borrow_mut().note(prompt, &store.target.id);
        }
    }

    async fn ask(
        &mut self,
        store: &Rc<KnownStore>,
        last_event: Option<&HeaderValue>,
    ) -> Result<StoreAnswer, Attempt> {
        self.tried.push(Rc::clone(store));
        let left = self.left();
        let route = &self.outgoing.route;
        let elsewhere = route.idempotent() && self.sent.offered + 1 < route.max_attempts();
        let head = head_time(left, route.usual.get(), elsewhere);
        let silence =
            silence_time(left, route.objective, route.kind == RouteKind::Streaming && route.idempotent());
        let timings = Timings { connect: connect_time(left), head, silence };
        self.asked_at = self.shared.now();
        let request = self.outgoing.attempt(left, last_event);
        let answer = self.shared.stores.send(&store.target, request, timings).await?;
        self.outgoing.route.usual.note(self.waited());
        self.note_prompt(store);
        Ok(answer)
    }

    /// Takes a store's own answer: to pass on (some), or to try another store (none).
    async fn receive(
        &mut self,
        answer: StoreAnswer,
        store: Rc<KnownStore>,
        guard: CountGuard,
    ) -> Result<Option<Answer>, GivenUp> {
        let now = self.shared.now();
        self.sent.offered += 1;
        self.shared.health.answered(&store.target.id);
        if let Some(load) = answer.load {
            store.note_load(load, now);
        }
        let StoreAnswer { status, headers, body, .. } = answer;
        if !self.comes_whole(status, &body) {
            return Ok(Some(Answer::Streamed(Streamed { status, headers, body, store, guard })));
        }
        match self.collect(body).await {
            Ok(body) => Ok(self.judge_whole(Whole { status, headers, body })),
            Err(attempt) => match self.note_sent(&store, &attempt) {
                Some(given_up) => Err(given_up),
                None => Ok(None),
            },
        }
    }

    fn comes_whole(&self, status: StatusCode, body: &StoreBody) -> bool {
        let streaming = self.outgoing.route.kind == RouteKind::Streaming && status.is_success();
        !streaming && body.size_hint().exact().is_some_and(|length| length <= WHOLE_BODY_BYTES)
    }

    async fn collect(&self, body: StoreBody) -> Result<Bytes, Attempt> {
        let silent = Attempt { verdict: Verdict::MayHaveRun, cause: Cause::Silent };
        timeout(self.left(), body.collect(WHOLE_BODY_BYTES as usize)).await.map_err(|_elapsed| silent)?
    }

    /// A store's own failure is kept, and another store tried, where the request may run again.
    fn judge_whole(&mut self, whole: Whole) -> Option<Answer> {
        if !whole.status.is_server_error() {
            return Some(Answer::Whole(whole));
        }
        self.server_errors += 1;
        self.sent.verdict = Verdict::Ran;
        if !self.outgoing.route.idempotent() {
            return Some(Answer::Whole(whole));
        }
        self.own_failure = Some(whole);
        None
    }

    /// Notes an attempt that ended without an answer; some if the request is given up now.
    fn note(&mut self, store: &KnownStore, attempt: &Attempt) -> Option<GivenUp> {
        match attempt.cause {
            Cause::Connect | Cause::Busy | Cause::Left => self.sent.unsent += 1,
            Cause::Refused(_) | Cause::Broken | Cause::Garbled | Cause::Silent => self.sent.offered += 1,
        }
        self.note_sent(store, attempt)
    }

    fn note_sent(&mut self, store: &KnownStore, attempt: &Attempt) -> Option<GivenUp> {
        self.sent.verdict = self.sent.verdict.and(attempt.verdict);
        match attempt.cause {
            Cause::Refused(refusal) => self.note_refusal(store, refusal),
            Cause::Busy | Cause::Left => None,
            // The time was up, which says little of the store.
            Cause::Silent if self.waited() < SILENCE_OF_A_FAILURE => None,
            Cause::Connect | Cause::Broken | Cause::Garbled | Cause::Silent => {
                self.shared.health.failed(&store.target.id, self.shared.now());
                None
            }
        }
    }

    fn note_refusal(&self, store: &KnownStore, refusal: Refusal) -> Option<GivenUp> {
        let now = self.shared.now();
        match refusal.status {
            StatusCode::BAD_REQUEST => {
                return Some(GivenUp { verdict: self.sent.verdict, bad_request: true });
            }
            StatusCode::MISDIRECTED_REQUEST => self.shared.health.failed(&store.target.id, now),
            _ => {
                let slots = u32::try_from(store.slots).unwrap_or(u32::MAX);
                let full = Load { running: slots, waiting: 1, slots };
                store.note_load(refusal.load.unwrap_or(full), now);
            }
        }
        None
    }
}

/// The request's prompt at each service of its route, where they keep what they have read.
fn prompts(outgoing: &Outgoing) -> Vec<Prompt> {
    let parts =
        headers::text(&outgoing.headers, &headers::PROMPT_PREFIX).filter(|_| outgoing.route.route.sticky);
    let Some(parts) = parts else { return Vec::new() };
    let model = headers::text(&outgoing.headers, &headers::MODEL).unwrap_or_default();
    outgoing.route.services.iter().map(|service| Prompt::parse(service, model, parts)).collect()
}
