//! Simulated edges that create, drive, read and end batch jobs, and check every response against earlier ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_jobs::partition::ClientRequest;
use gingerledge_jobs::store::Caller;
use gingerledge_wire::{
    DriverLeaseState, ItemRecord, JobRecord, JobsMessage, JobsRequest, JobsResponse, ResultRecord,
};

use super::cluster::{Cluster, PARTITION_COUNT};
use super::observations::{Observations, ObservedJob};

const EDGE_COUNT: u64 = 3;
const RESEND_MS: u64 = 250;
const RENEW_MS: u64 = 300;
const REQUEST_TIMEOUT_MS: u64 = 20_000;
const MAX_JOBS: usize = 24;

/// A request that has not received its response.
struct PendingRequest {
    edge: u64,
    job: String,
    partition: u16,
    request: JobsRequest,
    first_sent: Duration,
    last_sent: Duration,
}

/// One running edge process.
struct Edge {
    address: SocketAddr,
    /// Batch jobs driven by the edge, with the term and the time of the next renewal.
    driven_jobs: BTreeMap<String, (u64, Duration)>,
}

/// All edges of a simulated cluster.
pub struct Clients {
    edges: BTreeMap<u64, Edge>,
    requests: BTreeMap<u64, PendingRequest>,
    next_request: u64,
    next_edge: u64,
    next_job: u64,
    next_actions_at: Duration,
    pub observations: Observations,
    pub is_quiescent: bool,
}

/// Partition of a batch job. Only a few partitions are used, so that each has many events.
pub fn partition_of(job: &str) -> u16 {
    job.bytes().last().map_or(0, |byte| u16::from(byte) % PARTITION_COUNT)
}

impl Clients {
    pub fn new(cluster: &mut Cluster) -> Self {
        let mut clients = Self {
            edges: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            next_edge: 0,
            next_job: 0,
            next_actions_at: Duration::ZERO,
            observations: Observations::default(),
            is_quiescent: false,
        };
        for _ in 0..EDGE_COUNT {
            clients.start_edge(cluster);
        }
        clients
    }

    fn start_edge(&mut self, cluster: &mut Cluster) {
        self.next_edge += 1;
        let address = SocketAddr::from(([10, 1, 0, 1], 1000 + self.next_edge as u16));
        self.edges.insert(self.next_edge, Edge { address, driven_jobs: BTreeMap::new() });
        cluster.set_edge(self.next_edge, Some(address));
    }

    /// Performs the due actions of all edges.
    pub fn run_due_actions(&mut self, cluster: &mut Cluster) {
        if cluster.now < self.next_actions_at {
            return;
        }
        self.next_actions_at = cluster.now + Duration::from_millis(20);
        cluster.wake_in(20);
        self.resend(cluster);
        self.send_driver_requests(cluster);
        if !self.is_quiescent {
            self.send_random_request(cluster);
            self.replace_edge(cluster);
        }
    }

    fn replace_edge(&mut self, cluster: &mut Cluster) {
        if cluster.rng.u16(..400) > 0 {
            return;
        }
        let ids: Vec<u64> = self.edges.keys().copied().collect();
        if let Some(edge) = cluster.rng.choice(&ids).copied() {
            self.edges.remove(&edge);
            self.requests.retain(|_, pending| pending.edge != edge);
            // Half of the edges announce their shutdown; the others are replaced as drivers only after a time-out.
            if cluster.rng.bool() {
                cluster.set_edge(edge, None);
            }
            self.start_edge(cluster);
        }
    }

    fn send_random_request(&mut self, cluster: &mut Cluster) {
        let ids: Vec<u64> = self.edges.keys().copied().collect();
        let Some(edge) = cluster.rng.choice(&ids).copied() else { return };
        let jobs: Vec<String> = self.observations.jobs.keys().cloned().collect();
        let job = cluster.rng.choice(&jobs).cloned();
        match (cluster.rng.u8(..20), job) {
            (0, _) if self.observations.jobs.len() < MAX_JOBS => self.create(cluster, edge),
            (1..=6, Some(job)) => {
                let start_after = cluster.rng.u64(..4);
                let max_bytes = if cluster.rng.bool() { 300 } else { 1_000_000 };
                let wait_ms = if cluster.rng.bool() { 400 } else { 0 };
                let request = JobsRequest::ReadResults { job: job.clone(), start_after, wait_ms, max_bytes };
                self.send_request(cluster, edge, &job, request);
            }
            (7, Some(job)) => {
                let item = format!("{job}-{}", cluster.rng.u8(..5));
                self.send_request(cluster, edge, &job.clone(), JobsRequest::ReadItemBody { job, item });
            }
            (8, Some(job)) if cluster.rng.u8(..10) == 0 => {
                if let Some(observed) = self.observations.jobs.get_mut(&job) {
                    observed.end_requested = true;
                }
                self.send_request(cluster, edge, &job.clone(), JobsRequest::EndJob { job });
            }
            (9, Some(job)) => {
                // Submits the batch job again, possibly at another edge.
                let record = Arc::clone(&self.observations.jobs[&job].record);
                self.send_request(cluster, edge, &job, JobsRequest::CreateJob { job: record });
            }
            _ => {}
        }
    }

    fn create(&mut self, cluster: &mut Cluster, edge: u64) {
        self.next_job += 1;
        let id = format!("job{}", self.next_job);
        let items = (0..1 + cluster.rng.u8(..5)).map(|index| ItemRecord {
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
        let observed = ObservedJob {
            record: Arc::clone(&record),
            first_sent: cluster.now,
            highest_age: Duration::ZERO,
            created: None,
            ended: None,
            end_requested: false,
            sent: Default::default(),
            received: BTreeMap::new(),
            acknowledged_items: Default::default(),
            held_term: (0, Duration::ZERO),
        };
        self.observations.jobs.insert(id.clone(), observed);
        self.send_request(cluster, edge, &id, JobsRequest::CreateJob { job: record });
    }

    /// Sends the requests of the drivers: renewals that are due, and results at random.
    fn send_driver_requests(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        let mut requests = Vec::new();
        for (edge, state) in &mut self.edges {
            for (job, (term, renew_at)) in &mut state.driven_jobs {
                if now >= *renew_at {
                    *renew_at = now + Duration::from_millis(RENEW_MS);
                    requests.push((
                        *edge,
                        job.clone(),
                        JobsRequest::RenewDriverLeases { jobs: vec![(job.clone(), *term)] },
                    ));
                }
                if cluster.rng.u8(..30) == 0 {
                    let Some(observed) = self.observations.jobs.get_mut(job) else { continue };
                    let item = cluster.rng.u32(..observed.record.items.len() as u32);
                    observed.sent.insert(item);
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
            self.send_request(cluster, edge, &job, request);
        }
    }

    fn send_request(&mut self, cluster: &mut Cluster, edge: u64, job: &str, request: JobsRequest) {
        self.next_request += 1;
        let pending = PendingRequest {
            edge,
            job: job.to_owned(),
            partition: partition_of(job),
            request,
            first_sent: cluster.now,
            last_sent: cluster.now,
        };
        self.send(cluster, self.next_request, &pending);
        self.requests.insert(self.next_request, pending);
    }

    fn send(&self, cluster: &mut Cluster, request: u64, pending: &PendingRequest) {
        let Some(edge) = self.edges.get(&pending.edge) else { return };
        let caller = Caller { request, reply_to: edge.address, edge: pending.edge };
        let record = cluster.chain(pending.partition).clone();
        let is_for_tail =
            matches!(pending.request, JobsRequest::ReadResults { .. } | JobsRequest::ReadItemBody { .. });
        let member = if is_for_tail { record.chain.last() } else { record.chain.first() };
        // Some edges don't know the newest chain, so 10 % of the requests are sent to an arbitrary backend.
        let running_backends: Vec<u64> = cluster.backends().map(|(member, _)| member).collect();
        let is_misdirected = cluster.rng.u8(..100) < 10;
        let member =
            if is_misdirected { cluster.rng.choice(&running_backends).copied() } else { member.copied() };
        let epoch = if is_misdirected { 1 } else { record.epoch };
        let body = pending.request.clone();
        if let Some(member) = member {
            cluster.send_request(member, pending.partition, ClientRequest { caller, epoch, body });
        }
    }

    fn resend(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        let elapsed_ms = |since: Duration| (now - since).as_millis() as u64;
        let is_renewal =
            |pending: &PendingRequest| matches!(pending.request, JobsRequest::RenewDriverLeases { .. });
        self.requests.retain(|_, pending| {
            let max_age_ms = if is_renewal(pending) { RENEW_MS } else { REQUEST_TIMEOUT_MS };
            elapsed_ms(pending.first_sent) < max_age_ms
        });
        let is_due =
            |pending: &PendingRequest| elapsed_ms(pending.last_sent) >= RESEND_MS && !is_renewal(pending);
        let due: Vec<u64> =
            self.requests.iter().filter(|(_, pending)| is_due(pending)).map(|(number, _)| *number).collect();
        for number in due {
            if let Some(mut pending) = self.requests.remove(&number) {
                pending.last_sent = now;
                self.send(cluster, number, &pending);
                self.requests.insert(number, pending);
            }
        }
    }

    /// Handles a message to an edge.
    pub fn receive(&mut self, cluster: &Cluster, to: SocketAddr, message: JobsMessage) {
        let now = cluster.now;
        match message {
            JobsMessage::Response { request, body } => self.on_response(now, request, body),
            JobsMessage::AssignDriver { job, term, items_with_results, age_ms, .. } => {
                self.observations.on_age_received(now, &job.id, Duration::from_millis(age_ms));
                for item in items_with_results {
                    assert!((item as usize) < job.items.len());
                }
                self.observations.count("assignment");
                let receiver = self.edges.values_mut().find(|edge| edge.address == to);
                if let Some(edge) = receiver {
                    let driven_job = edge.driven_jobs.entry(job.id.clone()).or_insert((term, now));
                    if driven_job.0 < term {
                        *driven_job = (term, now);
                    }
                }
            }
            JobsMessage::StopDriver { job, .. } => {
                self.edges
                    .values_mut()
                    .find(|edge| edge.address == to)
                    .map(|edge| edge.driven_jobs.remove(&job));
            }
            JobsMessage::Request { .. } => unreachable!("backends send no requests"),
        }
    }

    fn on_response(&mut self, now: Duration, request: u64, response: JobsResponse) {
        if matches!(response, JobsResponse::Unavailable) {
            return;
        }
        let Some(pending) = self.requests.remove(&request) else { return };
        let PendingRequest { edge, job, request, first_sent: sent, .. } = pending;
        match (request, response) {
            (JobsRequest::CreateJob { .. }, JobsResponse::Created { driver_term }) => {
                self.observations.count("created");
                self.observations.jobs.get_mut(&job).unwrap().created.get_or_insert(now);
                if let (Some(term), Some(state)) = (driver_term, self.edges.get_mut(&edge)) {
                    state.driven_jobs.entry(job).or_insert((term, now));
                }
            }
            (JobsRequest::AppendResults { results, .. }, JobsResponse::Appended) => {
                self.observations.count("appended");
                let observed = self.observations.jobs.get_mut(&job).unwrap();
                observed.acknowledged_items.extend(results.iter().map(|result| result.item));
            }
            (JobsRequest::AppendResults { .. }, JobsResponse::Fenced | JobsResponse::Ended) => {}
            (JobsRequest::EndJob { .. }, JobsResponse::Ended) => {
                self.observations.count("ended");
                self.observations.jobs.get_mut(&job).unwrap().ended.get_or_insert(now);
            }
            (JobsRequest::ReadResults { start_after, .. }, JobsResponse::Results { total, results, .. }) => {
                self.observations.count(if results.is_empty() { "empty page" } else { "page" });
                assert_eq!(total, self.observations.jobs[&job].record.items.len() as u64);
                self.observations.on_results(now, sent, &job, start_after, &results);
            }
            (JobsRequest::ReadItemBody { item, .. }, JobsResponse::ItemBody(body)) => {
                self.observations.count("body");
                let record = &self.observations.jobs[&job].record;
                let expected = record.items.iter().find(|candidate| candidate.id == item);
                assert_eq!(Some(&body), expected.map(|item| &item.body));
            }
            (JobsRequest::ReadItemBody { item, .. }, JobsResponse::NotFound) => {
                self.on_item_body_not_found(sent, &job, &item);
            }
            (JobsRequest::RenewDriverLeases { jobs }, JobsResponse::Renewed(states)) => {
                for ((job, term), state) in jobs.into_iter().zip(states) {
                    self.on_lease_state(now, sent, edge, &job, term, state);
                }
            }
            (_, JobsResponse::NotFound) => self.observations.on_not_found(sent, &job),
            (request, response) => panic!("{request:?} got the response {response:?}"),
        }
    }

    /// Checks a response without a body: the item has a result or does not exist, or its batch job is ended or was never
    /// acknowledged.
    fn on_item_body_not_found(&mut self, sent: Duration, job: &str, item: &str) {
        let observed = &self.observations.jobs[job];
        let index = observed.record.items.iter().position(|candidate| candidate.id == item);
        let is_acknowledged = observed.created.is_some_and(|at| at < sent);
        let may_have_result = index.is_none_or(|index| observed.sent.contains(&(index as u32)));
        assert!(!is_acknowledged || observed.end_requested || may_have_result, "{item} has no body");
    }

    fn on_lease_state(
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
                self.observations.count("lease held");
                self.observations.on_lease_held(now, sent, job, term);
            }
            DriverLeaseState::Ended | DriverLeaseState::Fenced => {
                if let Some(state) = self.edges.get_mut(&edge) {
                    if state.driven_jobs.get(job).is_some_and(|(current_term, _)| *current_term == term) {
                        state.driven_jobs.remove(job);
                    }
                }
            }
        }
    }

    /// Whether any running edge drives a batch job.
    pub fn is_driven(&self, job: &str) -> bool {
        self.edges.values().any(|edge| edge.driven_jobs.contains_key(job))
    }
}
