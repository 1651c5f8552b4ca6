//! The operator's series of configurations, and a trainer with its batch jobs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use gingerledge_protocol::{ItemState, ListedResult};
use hyper::{Method, StatusCode};
use tokio::time::{sleep, timeout};

use super::{soak_configuration, World, EVENTS, MODEL, PATIENCE};
use crate::{call, Operator, Step, Trainer};

/// How long the operator sends one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a trainer reads the results of a step.
const STEP_TIMEOUT: Duration = Duration::from_secs(8);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const GROUPS: usize = 3;
const GROUP_SIZE: usize = 4;

/// Sends the first configuration, and waits until each edge is ready and serves.
pub(super) async fn is_first_configuration_served(
    operator: &Operator,
    edges: &[SocketAddr],
    readiness: &[SocketAddr],
) -> bool {
    let taken = operator.replace(0, &soak_configuration(1), PATIENCE).await;
    if taken != Some(StatusCode::OK) {
        return false;
    }
    let all_serve = async {
        for &edge in readiness {
            until_success(edge, Method::GET, "/readiness").await;
        }
        for &edge in edges {
            until_success(edge, Method::POST, "/weights/first").await;
        }
    };
    timeout(PATIENCE, all_serve).await.is_ok()
}

async fn until_success(edge: SocketAddr, method: Method, path: &str) {
    let id = format!("first-{edge}");
    let headers = [("Host", "hives.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "1000")];
    loop {
        let answer = call(edge, method.clone(), path, &headers, Vec::new(), CALL_TIMEOUT).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// An operator who replaces the configuration again and again.
pub(super) struct ConfigurationSeries {
    world: Rc<World>,
    operator: Operator,
    rng: Rng,
    acknowledged: u64,
    last_sent: u64,
}

impl ConfigurationSeries {
    pub(super) fn new(world: &Rc<World>, operator: Operator, seed: u64) -> Self {
        let rng = Rng::with_seed(seed ^ 0xc0f1);
        Self { world: Rc::clone(world), operator, rng, acknowledged: 1, last_sent: 1 }
    }

    /// Sends configurations until the run is over.
    pub(super) async fn run(mut self) -> Self {
        while !self.world.is_over() {
            self.replace().await;
            sleep(Duration::from_millis(self.rng.u64(0..700))).await;
        }
        self
    }

    async fn replace(&mut self) {
        let next = self.last_sent + 1 + self.rng.u64(0..3);
        self.last_sent = next;
        let sent = self.operator.replace(self.acknowledged, &soak_configuration(next), CHANGE_TIMEOUT).await;
        match sent {
            Some(StatusCode::OK) => {
                self.acknowledged = next;
                self.world.report.borrow_mut().count("configurations");
            }
            // The change before had no clear answer, and may be in force.
            _ => self.follow_current().await,
        }
    }

    /// Goes on from the version that is in force, which must not be older than the last one that was acknowledged.
    async fn follow_current(&mut self) {
        self.world.report.borrow_mut().count("configurations without a clear answer");
        let Some(version) = self.read().await else { return };
        if version < self.acknowledged {
            let acknowledged = self.acknowledged;
            self.world.violation(format!("CONFIG version {version} is read, {acknowledged} is acknowledged"));
        }
        self.acknowledged = self.acknowledged.max(version);
    }

    async fn read(&self) -> Option<u64> {
        let answer = self.operator.read(PATIENCE).await?;
        let whole: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
        whole["version"].as_u64()
    }

    /// Checks that the configuration at the end is none older than the last one acknowledged.
    pub(super) async fn check_at_the_end(&self) {
        let acknowledged = self.acknowledged;
        match self.read().await {
            Some(version) if version >= acknowledged => {}
            read => self.world.violation(format!("LOST configuration {acknowledged}: {read:?} is read")),
        }
    }
}

/// A batch job that was accepted, with the results that were read.
pub(super) struct AcceptedJob {
    step: Step,
    results: Vec<ListedResult>,
    is_ended: bool,
}

/// Submits batch jobs and reads their results until the run is over; ends every other one.
pub(super) async fn train(world: Rc<World>, edges: Vec<SocketAddr>, seed: u64) -> Vec<AcceptedJob> {
    let trainer = Trainer::new(edges);
    let mut jobs = Vec::new();
    for number in 0_u64.. {
        if world.is_over() {
            break;
        }
        let step = Step {
            id: format!("{:016x}", (seed << 32) + number),
            step: number,
            model: MODEL.to_owned(),
            min_version: 1,
            groups: GROUPS,
            size: GROUP_SIZE,
            desired: GROUPS,
        };
        if !trainer.submit(&step, STEP_TIMEOUT).await {
            world.report.borrow_mut().count("batch jobs that were not accepted");
            continue;
        }
        let results = trainer.collect(&step, STEP_TIMEOUT).await;
        let is_complete = results.len() == GROUPS * GROUP_SIZE;
        let is_ended = number % 2 == 1 && trainer.end(&step.id, STEP_TIMEOUT).await;
        world.report.borrow_mut().count(if is_complete { "complete batch jobs" } else { "late batch jobs" });
        jobs.push(AcceptedJob { step, results, is_ended });
    }
    jobs
}

/// Checks that every accepted batch job can be read, with the results that were read before, that every text is whole, and that every
/// item that isn't listed gives its body.
pub(super) async fn check_results(world: &World, edges: &[SocketAddr], jobs: &[AcceptedJob]) {
    let trainer = Trainer::new(edges.to_vec());
    for job in jobs {
        let id = &job.step.id;
        let read = if job.is_ended {
            read_listed(&trainer, id).await
        } else {
            Some(trainer.collect(&job.step, STEP_TIMEOUT * 2).await)
        };
        let Some(results) = read else {
            world.violation(format!("LOST batch job {id} can't be read"));
            continue;
        };
        if !results.starts_with(&job.results) {
            world.violation(format!("LOST or TWICE results of batch job {id}"));
        }
        if !job.is_ended && results.len() < GROUPS * GROUP_SIZE {
            world.violation(format!("batch job {id} has {} results in the end", results.len()));
        }
        results.iter().for_each(|result| check_result(world, id, result));
        check_bodies(world, edges, job, &results).await;
    }
}

/// Reads the results that are listed, at one edge after the other; `None` if no edge gives them.
async fn read_listed(trainer: &Trainer, id: &str) -> Option<Vec<ListedResult>> {
    let mut results = Vec::new();
    let reading = async {
        for turn in 0.. {
            match trainer.read(turn, id, results.len() as u64).await {
                Some((StatusCode::OK, page)) if page.results.is_empty() => return,
                Some((StatusCode::OK, page)) => results.extend(page.results),
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    };
    timeout(STEP_TIMEOUT * 2, reading).await.ok()?;
    Some(results)
}

fn check_result(world: &World, job: &str, result: &ListedResult) {
    let events: Vec<String> = (1..=EVENTS).map(|event| format!("{} event {event}", result.id)).collect();
    if result.state == ItemState::Completed {
        if result.text != events.join("\n") {
            world.violation(format!("MIXED text of {} in {job}: {:?}", result.id, result.text));
        }
        return;
    }
    world.report.borrow_mut().count("abandoned items");
}

async fn check_bodies(world: &World, edges: &[SocketAddr], job: &AcceptedJob, results: &[ListedResult]) {
    if job.is_ended {
        return;
    }
    for (item, _) in job.step.items().filter(|(item, _)| results.iter().all(|result| result.id != *item)) {
        let path = format!("/items/{}?id={item}", job.step.id);
        let headers = [("Host", "hives.example")];
        let answer = call(edges[0], Method::GET, &path, &headers, Vec::new(), CALL_TIMEOUT).await;
        if !answer.is_ok_and(|answer| answer.body == format!("prompt of {item}").as_bytes()) {
            world.violation(format!("LOST body of {item}"));
        }
    }
}
