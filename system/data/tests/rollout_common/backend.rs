//! A stand-in backend for all partitions: it keeps batch jobs and results in memory, and a test may have it answer otherwise.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gingerledge_transport::{Incoming, Network, NetworkSettings};
use gingerledge_wire::{
    DriverLeaseState, DriverTerm, Envelope, JobRecord, JobsMessage, JobsRequest, JobsResponse, PartialText,
    ResultRecord,
};

/// What the backend says to one question, in place of the proper answer.
#[derive(Clone, Debug)]
pub enum Says {
    /// Nothing; the question is lost.
    Nothing,
    /// It does what is asked, and the answer is lost.
    Loses,
    /// This.
    This(JobsResponse),
}

struct Kept {
    job: Arc<JobRecord>,
    term: DriverTerm,
    ended: bool,
    results: Vec<ResultRecord>,
    /// Parts of texts, as they came.
    saved: Vec<PartialText>,
}

type Script = Box<dyn Fn(&JobsRequest) -> Option<Says>>;

#[derive(Default)]
struct State {
    jobs: BTreeMap<String, Kept>,
    script: Option<Script>,
    heard: Vec<JobsRequest>,
    /// When renewals that were granted had come in.
    renewed: Vec<Instant>,
    /// How old drivers are told that batch jobs are.
    told_age: Duration,
}

/// A stand-in backend.
pub struct Backend {
    network: Network<Envelope>,
    state: Rc<RefCell<State>>,
}

impl Backend {
    pub async fn start() -> Backend {
        let (network, mut inbox) =
            Network::bind(NetworkSettings::new(super::loopback())).await.expect("network");
        let state = Rc::new(RefCell::new(State::default()));
        let (serving, answers) = (Rc::clone(&state), network.clone());
        tokio::task::spawn_local(async move {
            while let Some(incoming) = inbox.next().await {
                let Incoming::Message { message: Envelope::Jobs(message), .. } = incoming else { continue };
                let JobsMessage::Request { request, reply_to, body, .. } = message else { continue };
                if let Some(body) = serving.borrow_mut().answer(body) {
                    let answer = Envelope::Jobs(JobsMessage::Response { request, body });
                    assert!(answers.send(reply_to, &answer).is_queued());
                }
            }
        });
        Backend { network, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.network.local_address()
    }

    /// From now on, questions for which the script has something are answered so.
    pub fn says(&self, script: impl Fn(&JobsRequest) -> Option<Says> + 'static) {
        self.state.borrow_mut().script = Some(Box::new(script));
    }

    /// From now on, questions are answered properly.
    pub fn is_well(&self) {
        self.state.borrow_mut().script = None;
    }

    /// Tells an edge to drive a batch job, which is kept here from now on.
    pub fn tell_to_drive(&self, edge: SocketAddr, job: JobRecord, term: DriverTerm, listed: Vec<u32>) {
        self.tell_to_go_on(edge, job, term, listed, Vec::new());
    }

    /// The same, with texts that were saved before.
    pub fn tell_to_go_on(
        &self,
        edge: SocketAddr,
        job: JobRecord,
        term: DriverTerm,
        listed: Vec<u32>,
        texts: Vec<PartialText>,
    ) {
        let job = Arc::new(job);
        let results = listed.iter().map(|&item| listed_before(item)).collect();
        let kept = Kept { job: Arc::clone(&job), term, ended: false, results, saved: Vec::new() };
        self.state.borrow_mut().jobs.insert(job.id.clone(), kept);
        let age_ms = self.state.borrow().told_age.as_millis() as u64;
        self.send(edge, JobsMessage::AssignDriver { job, term, items_with_results: listed, texts, age_ms });
    }

    /// From now on, drivers are told that batch jobs are that old.
    pub fn tell_age(&self, age: Duration) {
        self.state.borrow_mut().told_age = age;
    }

    /// Parts of texts that were saved, in order.
    pub fn saved(&self, job: &str) -> Vec<PartialText> {
        self.state.borrow().jobs.get(job).map_or_else(Vec::new, |kept| kept.saved.clone())
    }

    pub fn send(&self, edge: SocketAddr, message: JobsMessage) {
        assert!(self.network.send(edge, &Envelope::Jobs(message)).is_queued());
    }

    /// Another edge drives the batch job from now on.
    pub fn give_to_another(&self, job: &str) {
        self.state.borrow_mut().jobs.get_mut(job).expect("the batch job").term += 1;
    }

    /// The batch job is ended.
    pub fn end(&self, job: &str) {
        self.state.borrow_mut().jobs.get_mut(job).expect("the batch job").ended = true;
    }

    pub fn results(&self, job: &str) -> Vec<ResultRecord> {
        self.state.borrow().jobs.get(job).map_or_else(Vec::new, |kept| kept.results.clone())
    }

    pub fn has(&self, job: &str) -> bool {
        self.state.borrow().jobs.contains_key(job)
    }

    pub fn heard(&self) -> Vec<JobsRequest> {
        self.state.borrow().heard.clone()
    }

    /// When the last renewal that was granted had come in.
    pub fn renewed(&self) -> Option<Instant> {
        self.state.borrow().renewed.last().copied()
    }
}

fn listed_before(item: u32) -> ResultRecord {
    ResultRecord { item, completed: true, text: Vec::new(), versions: vec![2], score: "before".to_owned() }
}

impl State {
    fn answer(&mut self, body: JobsRequest) -> Option<JobsResponse> {
        self.heard.push(body.clone());
        match self.script.as_ref().and_then(|script| script(&body)) {
            Some(Says::Nothing) => None,
            Some(Says::This(answer)) => Some(answer),
            Some(Says::Loses) => {
                self.properly(body);
                None
            }
            None => Some(self.properly(body)),
        }
    }

    fn properly(&mut self, body: JobsRequest) -> JobsResponse {
        match body {
            JobsRequest::CreateJob { job } => {
                let (results, saved) = (Vec::new(), Vec::new());
                let kept = Kept { job: Arc::clone(&job), term: 1, ended: false, results, saved };
                let kept = self.jobs.entry(job.id.clone()).or_insert(kept);
                JobsResponse::Created { driver_term: (!kept.ended).then_some(kept.term) }
            }
            JobsRequest::AppendResults { job, term, results } => self.append(&job, term, results),
            JobsRequest::SaveCheckpoint { job, term, texts } => match self.jobs.get_mut(&job) {
                Some(kept) if kept.term == term => {
                    kept.saved.extend(texts);
                    JobsResponse::Appended
                }
                _ => JobsResponse::Fenced,
            },
            JobsRequest::EndJob { job } => match self.jobs.get_mut(&job) {
                Some(kept) => {
                    kept.ended = true;
                    JobsResponse::Ended
                }
                None => JobsResponse::NotFound,
            },
            JobsRequest::ReadResults { job, start_after, .. } => match self.jobs.get(&job) {
                Some(kept) => {
                    let from = kept.results.iter().skip(start_after as usize);
                    let name = |result: &ResultRecord| kept.job.items[result.item as usize].id.clone();
                    JobsResponse::Results {
                        total: kept.job.items.len() as u64,
                        results: from.map(|result| (name(result), result.clone())).collect(),
                        ended: kept.ended,
                    }
                }
                None => JobsResponse::NotFound,
            },
            JobsRequest::ReadItemBody { job, item } => {
                let items = self.jobs.get(&job).map(|kept| kept.job.items.iter());
                let found = items.and_then(|mut items| items.find(|known| known.id == item));
                found.map_or(JobsResponse::NotFound, |item| JobsResponse::ItemBody(item.body.clone()))
            }
            JobsRequest::RenewDriverLeases { jobs } => {
                let states: Vec<_> = jobs.iter().map(|(job, term)| self.renew(job, *term)).collect();
                if states.contains(&DriverLeaseState::Held) {
                    self.renewed.push(Instant::now());
                }
                JobsResponse::Renewed(states)
            }
        }
    }

    fn append(&mut self, job: &str, term: DriverTerm, results: Vec<ResultRecord>) -> JobsResponse {
        let Some(kept) = self.jobs.get_mut(job) else { return JobsResponse::Unavailable };
        if kept.ended {
            return JobsResponse::Ended;
        }
        if kept.term != term {
            return JobsResponse::Fenced;
        }
        for result in results {
            if kept.results.iter().all(|known| known.item != result.item) {
                kept.results.push(result);
            }
        }
        JobsResponse::Appended
    }

    fn renew(&self, job: &str, term: DriverTerm) -> DriverLeaseState {
        match self.jobs.get(job) {
            Some(kept) if kept.ended || kept.results.len() == kept.job.items.len() => DriverLeaseState::Ended,
            Some(kept) if kept.term == term => DriverLeaseState::Held,
            _ => DriverLeaseState::Fenced,
        }
    }
}
