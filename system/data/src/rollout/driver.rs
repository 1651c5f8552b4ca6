//! The driver's loop, one task for all batch jobs: handles the outcomes of tasks, places what can be placed, and starts generations,
//! scoring calls, appends of results and checkpoints.
//!
//! The driver lease of a batch job is checked before anything is sent for it, results included. When it ends, the execution and its tasks
//! are dropped, and with them their connections.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::Route;
use gingerledge_wire::{DriverTerm, JobRecord, PartialText};

use super::generation::{self, GenerationContext, GenerationRequest};
use super::job_age::JobAge;
use super::job_execution::{DriverLease, ExecutionStart, JobExecution, TaskOutcome};
use super::job_route::{deployment, rules, service_of, target};
use super::plan::{priority, GenerationOutcome, JobPlan, Placement, Rules, ScoringOutcome};
use super::results::{self, AppendOutcome};
use super::running_jobs::{Admission, ExecutionKey, ReportedOutcome};
use super::store_views::ServiceStores;
use super::streams::InFlightText;
use super::{checkpoint, driver_lease, scoring, store_views};
use crate::index::KnownStore;
use crate::stores::InFlightGuard;
use crate::Shared;

/// The least time between two rounds. Outcomes that arrive meanwhile are handled together, since each round looks at whole batch jobs.
const MIN_BATCHING_DELAY: Duration = Duration::from_millis(4);
/// Where an edge has a small share of a core, rounds are so far apart that they take a twentieth of it: one takes some 50 us of a core.
const BATCHING_DELAY_OF_A_CORE: Duration = Duration::from_millis(1);
/// The longest time between two rounds of a driver that has something to do.
const MAX_BATCHING_DELAY: Duration = Duration::from_millis(40);
/// Work that waits for capacity is tried again that often, since a slot may become free without an event at this edge.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest sleep until a timer.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Runs for as long as the process lives.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let next_timer = run_round(&shared);
        tokio::time::sleep(batching_delay(shared.settings().limits.cpu_share)).await;
        let work = shared.rollout.jobs.work();
        match next_timer {
            None => work.await,
            Some(next_timer) => {
                let sleep = next_timer.saturating_sub(shared.now()).max(MIN_SLEEP);
                tokio::select! {
                    () = work => {}
                    () = tokio::time::sleep(sleep) => {}
                }
            }
        }
    }
}

/// The least time between two rounds of an edge with this share of a core.
fn batching_delay(cpu_share: f64) -> Duration {
    let delay = BATCHING_DELAY_OF_A_CORE.as_secs_f64() / cpu_share;
    let delay = Duration::try_from_secs_f64(delay).unwrap_or(MAX_BATCHING_DELAY);
    delay.clamp(MIN_BATCHING_DELAY, MAX_BATCHING_DELAY)
}

/// A batch job that this edge is to drive.
pub(super) struct Assignment {
    /// The batch job.
    pub(super) job: Arc<JobRecord>,
    /// The term under which this edge drives it.
    pub(super) term: DriverTerm,
    /// Items that have results.
    pub(super) finished_items: Vec<u32>,
    /// Texts that the driver of an earlier term checkpointed.
    pub(super) checkpoints: Vec<PartialText>,
    /// The age of the batch job, or less.
    pub(super) age: Duration,
}

impl Assignment {
    /// A batch job that was just submitted through this edge.
    pub(super) fn of_new(job: Arc<JobRecord>, term: DriverTerm) -> Self {
        Self { job, term, finished_items: Vec::new(), checkpoints: Vec::new(), age: Duration::ZERO }
    }
}

/// Starts driving a batch job that was submitted here, or assigned by the head of its partition.
///
/// Nothing is sent while `lease_valid_until` is not in the future; the first renewal extends it.
pub(super) fn start_job(shared: &Rc<Shared>, assignment: Assignment, lease_valid_until: Duration) {
    let Assignment { job, term, finished_items, checkpoints, age } = assignment;
    let now = shared.now();
    match shared.rollout.jobs.admit(&job.id, term, now) {
        Admission::Granted => {}
        Admission::TermIsNotNewer => return,
        Admission::LimitReached => {
            log::warn!(job = job.id.as_str(), term; "batch job not started: limit of running jobs reached");
            return;
        }
    }
    let target = target(shared, &job);
    let start = ExecutionStart {
        plan: JobPlan::new(job, &finished_items, fastrand::u64(..)),
        finished_items,
        checkpoints,
        age: JobAge { at: now, age },
        lease: DriverLease::new(term, lease_valid_until, now + driver_lease::lease_duration(shared)),
        target,
        cpu_share: shared.settings().limits.cpu_share,
    };
    shared.rollout.jobs.insert(JobExecution::new(now, start));
}

/// Handles everything that is due; returns when the next timer expires.
fn run_round(shared: &Rc<Shared>) -> Option<Duration> {
    let now = shared.now();
    let jobs = &shared.rollout.jobs;
    for key in jobs.abandoned(now) {
        log::info!("driver lease expired without a renewal");
        jobs.remove(key, now);
    }
    for reported in jobs.take_outcomes() {
        on_task_ended(shared, now, reported);
    }
    let keys = jobs.by_deadline();
    let timers: Vec<_> = keys.into_iter().filter_map(|key| advance(shared, now, key)).collect();
    timers.into_iter().min()
}

fn on_task_ended(shared: &Rc<Shared>, now: Duration, reported: ReportedOutcome) {
    let ReportedOutcome { execution: key, outcome } = reported;
    shared.rollout.jobs.update(key, |execution| {
        if let Some(item) = execution.on_task_ended(now, outcome) {
            spawn_scoring(shared, key, execution, item);
        }
    });
}

/// Starts what one batch job needs now; returns when its next timer expires.
fn advance(shared: &Rc<Shared>, now: Duration, key: ExecutionKey) -> Option<Duration> {
    let jobs = &shared.rollout.jobs;
    let is_finished = jobs.update(key, |execution| {
        execution.reap_tasks();
        execution.is_finished()
    })?;
    if is_finished {
        jobs.remove(key, now);
        return None;
    }
    jobs.update(key, |execution| advance_unfinished(shared, now, key, execution))?
}

fn advance_unfinished(
    shared: &Rc<Shared>,
    now: Duration,
    key: ExecutionKey,
    execution: &mut JobExecution,
) -> Option<Duration> {
    if !execution.lease.is_valid(now) {
        return Some(execution.abandoned_at());
    }
    let waits_for_capacity = match shared.configuration() {
        Some(configuration) => match deployment(&configuration, execution.job()) {
            Some(route) => run_by_route(shared, now, key, execution, route),
            None => {
                execution.on_route_missing();
                true
            }
        },
        None => false,
    };
    if execution.start_append() {
        spawn_append(shared, key, execution);
    }
    if let Some(parts) = execution.start_checkpoint(now) {
        spawn_checkpoint(shared, key, execution, parts);
    }
    let capacity_poll = waits_for_capacity.then_some(now + CAPACITY_POLL_INTERVAL);
    let average_interval = average_interval(shared);
    [capacity_poll, execution.next_timer(now, average_interval)].into_iter().flatten().min()
}

/// Starts scoring calls and generations by the rules of the route; returns whether work waits for capacity.
fn run_by_route(
    shared: &Rc<Shared>,
    now: Duration,
    key: ExecutionKey,
    execution: &mut JobExecution,
    route: &Route,
) -> bool {
    let rules = rules(shared, execution.age(), route);
    execution.on_rules(now, rules, &mut shared.rollout.jobs.partial_texts().borrow_mut());
    for item in execution.take_due_scorings(now) {
        spawn_scoring(shared, key, execution, item);
    }
    let window_end = execution.streams_mut().window_end(average_interval(shared));
    let has_window_ended = window_end.is_some_and(|end| end <= now);
    if !has_window_ended && !execution.has_items_to_place(now) && !execution.is_surplus_check_due(now) {
        return false;
    }
    let job = Arc::clone(execution.job());
    let mut service = store_views::current(shared, service_of(route, &job.id), &job.model);
    if has_window_ended {
        migrate_slow_streams(shared, execution, &service, rules);
    }
    for placement in execution.place(now, &mut service.views, rules) {
        if let Some(store) = service.stores.get(placement.store) {
            spawn_generation(shared, key, execution, placement, Rc::clone(store), rules);
        }
    }
    execution.has_items_to_place(now)
}

/// Ends the observation window of the streams, and cancels those that are to be resumed at another store.
fn migrate_slow_streams(
    shared: &Shared,
    execution: &mut JobExecution,
    service: &ServiceStores,
    rules: Rules,
) {
    let now = shared.now();
    let min_version = execution.job().min_version;
    let average_interval = average_interval(shared);
    let streams = execution.streams_mut();
    for slow in streams.end_window(now, average_interval, service, min_version, rules.single_version) {
        let id = &slow.stream.store.target.id;
        let mut rates = shared.rollout.stores.progress_rates.borrow_mut();
        rates.record_migration(id, slow.events, slow.window, now);
        shared.health.on_failure(id, now);
        slow.stream.migration.notify_one();
    }
}

fn average_interval(shared: &Shared) -> Duration {
    shared.rollout.stores.progress_rates.borrow().average_interval()
}

/// Starts a generation where it was placed.
fn spawn_generation(
    shared: &Rc<Shared>,
    key: ExecutionKey,
    execution: &mut JobExecution,
    placement: Placement,
    store: Rc<KnownStore>,
    rules: Rules,
) {
    let job = Arc::clone(execution.job());
    let Some(item) = job.items.get(placement.item as usize) else { return };
    let in_flight = InFlightGuard::new(&store.in_flight_requests);
    let observations = &shared.rollout.stores;
    observations.weight_loading.borrow_mut().on_sent(&store.target.id, &job.model, shared.now());
    let stream = execution.start_stream(shared.now(), placement.item, store, placement.text);
    let partial_texts = shared.rollout.jobs.partial_texts();
    let text = InFlightText::new(partial_texts, &job.model, &item.id, Rc::clone(&stream));
    let request = GenerationRequest {
        item: placement.item,
        stream,
        required_version: placement.required_version,
        single_version: rules.single_version,
        retention_left: rules.abandon_after.map(|until| until.saturating_sub(shared.now())),
        average_interval: average_interval(shared),
        priority: priority(execution.progress(shared.now()), placement.is_surplus),
        job,
    };
    let shared = Rc::clone(shared);
    execution.spawn(async move {
        let jobs = &shared.rollout.jobs;
        let outcome = if jobs.may_send(key, shared.now()) {
            generation::run(&GenerationContext::of(&shared), &request).await
        } else {
            GenerationOutcome::NeverRan
        };
        drop(in_flight);
        jobs.report(key, TaskOutcome::Generation { item: request.item, text, outcome });
    });
}

/// Starts the scoring call of an item whose text is complete. An item without one has an empty score.
fn spawn_scoring(shared: &Rc<Shared>, key: ExecutionKey, execution: &mut JobExecution, item: u32) {
    let job = Arc::clone(execution.job());
    let shared = Rc::clone(shared);
    execution.spawn(async move {
        let jobs = &shared.rollout.jobs;
        let outcome = match job.items.get(item as usize).and_then(|item| item.scoring.as_ref()) {
            Some(call) if jobs.may_send(key, shared.now()) => scoring::score(&shared, call).await,
            Some(_) => ScoringOutcome::Other,
            None => ScoringOutcome::Scored(String::new()),
        };
        jobs.report(key, TaskOutcome::Scoring { item, outcome });
    });
}

/// Starts to append the results that there are; those that come until it is sent go with them.
fn spawn_append(shared: &Rc<Shared>, key: ExecutionKey, execution: &mut JobExecution) {
    let (shared, job, term) = (Rc::clone(shared), Arc::clone(execution.job()), execution.lease.term());
    execution.spawn(async move {
        let jobs = &shared.rollout.jobs;
        match results::append_collected(&shared, key, &job, term).await {
            AppendOutcome::Acknowledged => jobs.report(key, TaskOutcome::ResultsAppended),
            AppendOutcome::Stopped(reason) => jobs.stop(&job.id, term, reason, shared.now()),
        }
    });
}

fn spawn_checkpoint(
    shared: &Rc<Shared>,
    key: ExecutionKey,
    execution: &mut JobExecution,
    parts: checkpoint::CheckpointParts,
) {
    let (shared, job, term) = (Rc::clone(shared), Arc::clone(execution.job()), execution.lease.term());
    execution.spawn(async move {
        let acknowledged = checkpoint::save(&shared, &job.id, term, parts).await;
        shared.rollout.jobs.report(key, TaskOutcome::Checkpoint { acknowledged });
    });
}
