//! Edges that hand in, drive, read and end batch jobs, and check every answer against what was answered before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_jobs::store::Asker;
use gingerledge_wire::{
    DriverLeaseState, ItemRecord, JobRecord, JobsMessage, JobsRequest, JobsResponse, ResultRecord,
};

use super::facts::{Facts, Known};
use super::world::{Ask, World, PARTITION_COUNT};

const EDGES: u64 = 3;
const RESEND_MS: u64 = 250;
const RENEW_MS: u64 = 300;
const GIVE_UP_MS: u64 = 20_000;
const MOST_JOBS: usize = 24;

struct Question {
    edge: u64,
    job: String,
    partition: u16,
    request: JobsRequest,
    first_sent: Duration,
    last_sent: Duration,
}

struct Edge {
    address: SocketAddr,
    /// Batch jobs that it drives, with the term and when it renews next.
    drives: BTreeMap<String, (u64, Duration)>,
}

/// All edges.
pub struct Edges {
    edges: BTreeMap<u64, Edge>,
    questions: BTreeMap<u64, Question>,
    next_request: u64,
    next_edge: u64,
    next_job: u64,
    next_act: Duration,
    pub facts: Facts,
    pub calm: bool,
}

/// Few partitions are used, so that much happens in each.
pub fn partition_of(job: &str) -> u16 {
    job.bytes().last().map_or(0, |byte| u16::from(byte) % PARTITION_COUNT)
}

impl Edges {
    pub fn new(world: &mut World) -> Self {
        let mut edges = Self {
            edges: BTreeMap::new(),
            questions: BTreeMap::new(),
            next_request: 0,
            next_edge: 0,
            next_job: 0,
            next_act: Duration::ZERO,
            facts: Facts::default(),
            calm: false,
        };
        for _ in 0..EDGES {
            edges.start_edge(world);
        }
        edges
    }

    fn start_edge(&mut self, world: &mut World) {
        self.next_edge += 1;
        let address = SocketAddr::from(([10, 1, 0, 1], 1000 + self.next_edge as u16));
        self.edges.insert(self.next_edge, Edge { address, drives: BTreeMap::new() });
        world.set_edge(self.next_edge, Some(address));
    }

    /// Does what edges do by the time.
    pub fn act(&mut self, world: &mut World) {
        if world.now < self.next_act {
            return;
        }
        self.next_act = world.now + Duration::from_millis(20);
        world.wake_in(20);
        self.resend(world);
        self.drive(world);
        if !self.calm {
            self.begin(world);
            self.replace_edge(world);
        }
    }

    fn replace_edge(&mut self, world: &mut World) {
        if world.rng.u16(..400) > 0 {
            return;
        }
        let ids: Vec<u64> = self.edges.keys().copied().collect();
        if let Some(edge) = world.rng.choice(&ids).copied() {
            self.edges.remove(&edge);
            self.questions.retain(|_, question| question.edge != edge);
            // Sometimes it is noticed at once, sometimes only by its silence.
            if world.rng.bool() {
                world.set_edge(edge, None);
            }
            self.start_edge(world);
        }
    }

    fn begin(&mut self, world: &mut World) {
        let ids: Vec<u64> = self.edges.keys().copied().collect();
        let Some(edge) = world.rng.choice(&ids).copied() else { return };
        let jobs: Vec<String> = self.facts.jobs.keys().cloned().collect();
        let job = world.rng.choice(&jobs).cloned();
        match (world.rng.u8(..20), job) {
            (0, _) if self.facts.jobs.len() < MOST_JOBS => self.create(world, edge),
            (1..=6, Some(job)) => {
                let start_after = world.rng.u64(..4);
                let max_bytes = if world.rng.bool() { 300 } else { 1_000_000 };
                let wait_ms = if world.rng.bool() { 400 } else { 0 };
                let request = JobsRequest::ReadResults { job: job.clone(), start_after, wait_ms, max_bytes };
                self.ask(world, edge, &job, request);
            }
            (7, Some(job)) => {
                let item = format!("{job}-{}", world.rng.u8(..5));
                self.ask(world, edge, &job.clone(), JobsRequest::ReadItemBody { job, item });
            }
            (8, Some(job)) if world.rng.u8(..10) == 0 => {
                if let Some(known) = self.facts.jobs.get_mut(&job) {
                    known.end_asked = true;
                }
                self.ask(world, edge, &job.clone(), JobsRequest::EndJob { job });
            }
            (9, Some(job)) => {
                // Handed in again, at another edge.
                let record = Arc::clone(&self.facts.jobs[&job].record);
                self.ask(world, edge, &job, JobsRequest::CreateJob { job: record });
            }
            _ => {}
        }
    }

    fn create(&mut self, world: &mut World, edge: u64) {
        self.next_job += 1;
        let id = format!("job{}", self.next_job);
        let items = (0..1 + world.rng.u8(..5)).map(|index| ItemRecord {
            id: format!("{id}-{index}"),
            path: "/p/".to_owned(),
            headers: Vec::new(),
            body: vec![index; 50],
            tokens: 1,
            group: "g".to_owned(),
            scoring: None,
        });
        let record = Arc::new(JobRecord {
            id: id.clone(),
            host: "h".to_owned(),
            path: "/p/".to_owned(),
            step: 0,
            model: "m".to_owned(),
            min_version: 1,
            desired_groups: 1,
            items: items.collect(),
        });
        let known = Known {
            record: Arc::clone(&record),
            first_sent: world.now,
            oldest_told: Duration::ZERO,
            created: None,
            ended: None,
            end_asked: false,
            sent: Default::default(),
            shown: BTreeMap::new(),
            kept: Default::default(),
            held: (0, Duration::ZERO),
        };
        self.facts.jobs.insert(id.clone(), known);
        self.ask(world, edge, &id, JobsRequest::CreateJob { job: record });
    }

    /// Renews what is driven, and lists results.
    fn drive(&mut self, world: &mut World) {
        let now = world.now;
        let mut requests = Vec::new();
        for (edge, state) in &mut self.edges {
            for (job, (term, renew_at)) in &mut state.drives {
                if now >= *renew_at {
                    *renew_at = now + Duration::from_millis(RENEW_MS);
                    requests.push((
                        *edge,
                        job.clone(),
                        JobsRequest::RenewDriverLeases { jobs: vec![(job.clone(), *term)] },
                    ));
                }
                if world.rng.u8(..30) == 0 {
                    let Some(known) = self.facts.jobs.get_mut(job) else { continue };
                    let item = world.rng.u32(..known.record.items.len() as u32);
                    known.sent.insert(item);
                    let text = format!("{job} {item} by {edge} under {term}").into_bytes();
                    let versions = vec![*term];
                    let result = ResultRecord { item, completed: true, text, versions, score: String::new() };
                    let append =
                        JobsRequest::AppendResults { job: job.clone(), term: *term, results: vec![result] };
                    requests.push((*edge, job.clone(), append));
                }
            }
        }
        for (edge, job, request) in requests {
            self.ask(world, edge, &job, request);
        }
    }

    fn ask(&mut self, world: &mut World, edge: u64, job: &str, request: JobsRequest) {
        self.next_request += 1;
        let question = Question {
            edge,
            job: job.to_owned(),
            partition: partition_of(job),
            request,
            first_sent: world.now,
            last_sent: world.now,
        };
        self.send(world, self.next_request, &question);
        self.questions.insert(self.next_request, question);
    }

    fn send(&self, world: &mut World, request: u64, question: &Question) {
        let Some(edge) = self.edges.get(&question.edge) else { return };
        let asker = Asker { request, reply_to: edge.address, edge: question.edge };
        let record = world.chain(question.partition).clone();
        let at_tail =
            matches!(question.request, JobsRequest::ReadResults { .. } | JobsRequest::ReadItemBody { .. });
        let member = if at_tail { record.chain.last() } else { record.chain.first() };
        // Not every edge knows the newest chain, so some ask anybody.
        let anybody: Vec<u64> = world.backends().map(|(member, _)| member).collect();
        let astray = world.rng.u8(..100) < 10;
        let member = if astray { world.rng.choice(&anybody).copied() } else { member.copied() };
        let epoch = if astray { 1 } else { record.epoch };
        let ask = Ask { asker, partition: question.partition, epoch, request: question.request.clone() };
        if let Some(member) = member {
            world.ask(member, ask);
        }
    }

    fn resend(&mut self, world: &mut World) {
        let now = world.now;
        let age = |since: Duration| (now - since).as_millis() as u64;
        let is_renewal =
            |question: &Question| matches!(question.request, JobsRequest::RenewDriverLeases { .. });
        self.questions.retain(|_, question| {
            let most = if is_renewal(question) { RENEW_MS } else { GIVE_UP_MS };
            age(question.first_sent) < most
        });
        let late = |question: &Question| age(question.last_sent) >= RESEND_MS && !is_renewal(question);
        let due: Vec<u64> =
            self.questions.iter().filter(|(_, question)| late(question)).map(|(number, _)| *number).collect();
        for number in due {
            if let Some(mut question) = self.questions.remove(&number) {
                question.last_sent = now;
                self.send(world, number, &question);
                self.questions.insert(number, question);
            }
        }
    }

    /// A message for an edge.
    pub fn receive(&mut self, world: &World, to: SocketAddr, message: JobsMessage) {
        let now = world.now;
        match message {
            JobsMessage::Response { request, body } => self.answered(now, request, body),
            JobsMessage::AssignDriver { job, term, items_with_results: listed, age_ms, .. } => {
                self.facts.age_told(now, &job.id, Duration::from_millis(age_ms));
                for item in listed {
                    assert!((item as usize) < job.items.len());
                }
                self.facts.count("drive");
                let found = self.edges.values_mut().find(|edge| edge.address == to);
                if let Some(edge) = found {
                    let known = edge.drives.entry(job.id.clone()).or_insert((term, now));
                    if known.0 < term {
                        *known = (term, now);
                    }
                }
            }
            JobsMessage::StopDriver { job, .. } => {
                self.edges.values_mut().find(|edge| edge.address == to).map(|edge| edge.drives.remove(&job));
            }
            JobsMessage::Request { .. } => unreachable!("no backend asks"),
        }
    }

    fn answered(&mut self, now: Duration, request: u64, answer: JobsResponse) {
        if matches!(answer, JobsResponse::Unavailable) {
            return;
        }
        let Some(question) = self.questions.remove(&request) else { return };
        let Question { edge, job, request, first_sent: sent, .. } = question;
        match (request, answer) {
            (JobsRequest::CreateJob { .. }, JobsResponse::Created { driver_term }) => {
                self.facts.count("created");
                self.facts.jobs.get_mut(&job).unwrap().created.get_or_insert(now);
                if let (Some(term), Some(state)) = (driver_term, self.edges.get_mut(&edge)) {
                    state.drives.entry(job).or_insert((term, now));
                }
            }
            (JobsRequest::AppendResults { results, .. }, JobsResponse::Appended) => {
                self.facts.count("appended");
                let known = self.facts.jobs.get_mut(&job).unwrap();
                known.kept.extend(results.iter().map(|result| result.item));
            }
            (JobsRequest::AppendResults { .. }, JobsResponse::Fenced | JobsResponse::Ended) => {}
            (JobsRequest::EndJob { .. }, JobsResponse::Ended) => {
                self.facts.count("ended");
                self.facts.jobs.get_mut(&job).unwrap().ended.get_or_insert(now);
            }
            (JobsRequest::ReadResults { start_after, .. }, JobsResponse::Results { total, results, .. }) => {
                self.facts.count(if results.is_empty() { "empty page" } else { "page" });
                assert_eq!(total, self.facts.jobs[&job].record.items.len() as u64);
                self.facts.page(now, sent, &job, start_after, &results);
            }
            (JobsRequest::ReadItemBody { item, .. }, JobsResponse::ItemBody(body)) => {
                self.facts.count("body");
                let record = &self.facts.jobs[&job].record;
                let expected = record.items.iter().find(|known| known.id == item);
                assert_eq!(Some(&body), expected.map(|item| &item.body));
            }
            (JobsRequest::ReadItemBody { item, .. }, JobsResponse::NotFound) => {
                self.no_body(sent, &job, &item)
            }
            (JobsRequest::RenewDriverLeases { jobs }, JobsResponse::Renewed(states)) => {
                for ((job, term), state) in jobs.into_iter().zip(states) {
                    self.renewed(now, sent, edge, &job, term, state);
                }
            }
            (_, JobsResponse::NotFound) => self.facts.unknown(sent, &job),
            (request, answer) => panic!("{request:?} was answered by {answer:?}"),
        }
    }

    /// An item without a body is listed, not there, or its batch job is ended or was never acknowledged.
    fn no_body(&mut self, sent: Duration, job: &str, item: &str) {
        let known = &self.facts.jobs[job];
        let index = known.record.items.iter().position(|known| known.id == item);
        let acknowledged = known.created.is_some_and(|at| at < sent);
        let may_be_listed = index.is_none_or(|index| known.sent.contains(&(index as u32)));
        assert!(!acknowledged || known.end_asked || may_be_listed, "{item} has no body");
    }

    fn renewed(
        &mut self,
        now: Duration,
        sent: Duration,
        edge: u64,
        job: &str,
        term: u64,
        state: DriverLeaseState,
    ) {
        match state {
            DriverLeaseState::Held => {
                self.facts.count("held");
                self.facts.held(now, sent, job, term);
            }
            DriverLeaseState::Ended | DriverLeaseState::Fenced => {
                if let Some(state) = self.edges.get_mut(&edge) {
                    if state.drives.get(job).is_some_and(|(known, _)| *known == term) {
                        state.drives.remove(job);
                    }
                }
            }
        }
    }

    /// Whether some edge drives a batch job.
    pub fn is_driven(&self, job: &str) -> bool {
        self.edges.values().any(|edge| edge.drives.contains_key(job))
    }
}
