//! The driver's loop, one task for all batch jobs: it handles the outcomes of tasks, places the items that can start, and starts
//! generations, scoring calls, appends of results and checkpoints.
//!
//! The driver lease of a batch job is checked before anything is sent for it, results included. When the lease ends, the execution and
//! its tasks are dropped, which closes their connections.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::Route;
use gingerledge_wire::{DriverTerm, JobRecord, PartialText};

use super::generation::{self, GenerationContext, GenerationRequest};
use super::job_age::JobAge;
use super::job_execution::{DriverLease, ExecutionStart, JobExecution, TaskOutcome};
use super::job_route::{deployment_route, rules, service_for, target_completion};
use super::plan::{priority, GenerationOutcome, JobPlan, JobRules, Placement, ScoringOutcome};
use super::results::{self, AppendOutcome};
use super::running_jobs::{Admission, ExecutionKey, ReportedOutcome};
use super::store_views::ServiceStores;
use super::streams::InFlightText;
use super::{checkpoint, driver_lease, scoring, store_views};
use crate::index::KnownStore;
use crate::stores::InFlightGuard;
use crate::Shared;

/// The minimum time between two rounds. Outcomes that arrive in this time are handled together, because each round processes all items of
/// a batch job.
const MIN_BATCHING_DELAY: Duration = Duration::from_millis(4);
/// The time between two rounds of an edge with a whole core. With a smaller share, it is longer in inverse proportion, but within
/// [`MIN_BATCHING_DELAY`] and [`MAX_BATCHING_DELAY`]. A round takes about 50 us of a core, so rounds use a twentieth of the share.
const BATCHING_DELAY_ON_WHOLE_CORE: Duration = Duration::from_millis(1);
/// The maximum time between two rounds while the driver has work.
const MAX_BATCHING_DELAY: Duration = Duration::from_millis(40);
/// The interval of attempts to place items that wait for capacity, because a slot may become free without an event at this edge.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum duration of a sleep until a timer expires.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Runs the driver's loop for the lifetime of the process.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let next_timer = run_round(&shared);
        tokio::time::sleep(batching_delay(shared.settings().limits.cpu_share)).await;
        let work_available = shared.rollout.jobs.work_available();
        match next_timer {
            None => work_available.await,
            Some(next_timer) => {
                let delay = next_timer.saturating_sub(shared.now()).max(MIN_SLEEP);
                tokio::select! {
                    () = work_available => {}
                    () = tokio::time::sleep(delay) => {}
                }
            }
        }
    }
}

/// The time that a round waits for further outcomes, on an edge with this share of a core.
fn batching_delay(cpu_share: f64) -> Duration {
    let delay = BATCHING_DELAY_ON_WHOLE_CORE.as_secs_f64() / cpu_share;
    let delay = Duration::try_from_secs_f64(delay).unwrap_or(MAX_BATCHING_DELAY);
    delay.clamp(MIN_BATCHING_DELAY, MAX_BATCHING_DELAY)
}

/// The assignment of a batch job to this edge.
pub(super) struct Assignment {
    pub(super) job: Arc<JobRecord>,
    /// The term under which this edge drives the batch job.
    pub(super) term: DriverTerm,
    /// The indices of the items that have results.
    pub(super) finished_items: Vec<u32>,
    /// Texts that the driver of an earlier term checkpointed.
    pub(super) checkpoints: Vec<PartialText>,
    /// A lower bound of the batch job's age.
    pub(super) min_age: Duration,
}

impl Assignment {
    /// The assignment of a batch job that was just submitted through this edge.
    pub(super) fn for_new_job(job: Arc<JobRecord>, term: DriverTerm) -> Self {
        Self { job, term, finished_items: Vec::new(), checkpoints: Vec::new(), min_age: Duration::ZERO }
    }
}

/// Starts driving a batch job that was submitted to this edge or assigned to it.
///
/// The driver lease is valid until `lease_valid_until`. If that is not in the future, nothing is sent until the first renewal succeeds.
pub(super) fn start_job(shared: &Rc<Shared>, assignment: Assignment, lease_valid_until: Duration) {
    let Assignment { job, term, finished_items, checkpoints, min_age } = assignment;
    let now = shared.now();
    match shared.rollout.jobs.admit(&job.id, term, now) {
        Admission::Granted => {}
        Admission::TermIsNotNewer => return,
        Admission::LimitReached => {
            log::warn!(job = job.id.as_str(), term; "batch job not started: limit of running jobs reached");
            return;
        }
    }
    let target_completion = target_completion(shared, &job);
    let start = ExecutionStart {
        plan: JobPlan::new(job, &finished_items, fastrand::u64(..)),
        finished_items,
        checkpoints,
        age: JobAge { received_at: now, min_age },
        lease: DriverLease::new(term, lease_valid_until, now + driver_lease::lease_duration(shared)),
        target_completion,
        cpu_share: shared.settings().limits.cpu_share,
    };
    shared.rollout.jobs.insert(JobExecution::new(now, start));
}

/// Runs one round: handles all outcomes and expired timers. Returns the time at which the next timer expires.
fn run_round(shared: &Rc<Shared>) -> Option<Duration> {
    let now = shared.now();
    let jobs = &shared.rollout.jobs;
    for key in jobs.keys_with_overdue_renewal(now) {
        log::info!("driver lease expired without a renewal");
        jobs.remove(key, now);
    }
    for reported in jobs.take_outcomes() {
        on_task_ended(shared, now, reported);
    }
    let keys = jobs.keys_by_deadline();
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

/// Starts the tasks of one batch job that are due; returns the time at which its next timer expires.
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
        return Some(execution.renewal_deadline());
    }
    let waits_for_capacity = match shared.configuration() {
        Some(configuration) => match deployment_route(&configuration, execution.job()) {
            Some(route) => start_scorings_and_generations(shared, now, key, execution, route),
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

/// Starts the scoring calls and generations that the rules of the route permit; returns whether items wait for capacity.
fn start_scorings_and_generations(
    shared: &Rc<Shared>,
    now: Duration,
    key: ExecutionKey,
    execution: &mut JobExecution,
    route: &Route,
) -> bool {
    let rules = rules(shared, execution.age(), route);
    execution.apply_rules(now, rules, &mut shared.rollout.jobs.partial_texts().borrow_mut());
    for item in execution.take_due_scorings(now) {
        spawn_scoring(shared, key, execution, item);
    }
    let window_end = execution.streams_mut().window_end(average_interval(shared));
    let has_window_ended = window_end.is_some_and(|end| end <= now);
    if !has_window_ended && !execution.has_items_to_place(now) && !execution.is_surplus_check_due(now) {
        return false;
    }
    let job = Arc::clone(execution.job());
    let mut service = store_views::service_stores(shared, service_for(route, &job.id), &job.model);
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

/// Ends the observation window of the streams, and cancels the slow ones that are to be resumed at another store.
fn migrate_slow_streams(
    shared: &Shared,
    execution: &mut JobExecution,
    service: &ServiceStores,
    rules: JobRules,
) {
    let now = shared.now();
    let min_version = execution.job().min_version;
    let average_interval = average_interval(shared);
    let streams = execution.streams_mut();
    for slow in streams.end_window(now, average_interval, service, min_version, rules.single_version) {
        let id = &slow.stream.store.target.id;
        let mut rates = shared.rollout.store_observations.progress_rates.borrow_mut();
        rates.record_migration(id, slow.new_events, slow.window, now);
        shared.health.on_failure(id, now);
        slow.stream.migration_request.notify_one();
    }
}

fn average_interval(shared: &Shared) -> Duration {
    shared.rollout.store_observations.progress_rates.borrow().average_interval()
}

/// Starts a generation at the store where it was placed.
fn spawn_generation(
    shared: &Rc<Shared>,
    key: ExecutionKey,
    execution: &mut JobExecution,
    placement: Placement,
    store: Rc<KnownStore>,
    rules: JobRules,
) {
    let job = Arc::clone(execution.job());
    let Some(item) = job.items.get(placement.item as usize) else { return };
    let in_flight = InFlightGuard::new(&store.in_flight_requests);
    let observations = &shared.rollout.store_observations;
    observations.weight_loading.borrow_mut().on_sent(&store.target.id, &job.model, shared.now());
    let stream = execution.start_stream(shared.now(), placement.item, store, placement.text);
    let partial_texts = shared.rollout.jobs.partial_texts();
    let text = InFlightText::new(partial_texts, &job.model, &item.id, Rc::clone(&stream));
    let request = GenerationRequest {
        item: placement.item,
        stream,
        required_version: placement.required_version,
        single_version: rules.single_version,
        retention_left: rules.abandon_after.map(|deadline| deadline.saturating_sub(shared.now())),
        average_interval: average_interval(shared),
        priority: priority(execution.progress(shared.now()), placement.is_surplus),
        job,
    };
    let shared = Rc::clone(shared);
    execution.spawn(async move {
        let jobs = &shared.rollout.jobs;
        let outcome = if jobs.may_send(key, shared.now()) {
            generation::run(&GenerationContext::new(&shared), &request).await
        } else {
            GenerationOutcome::NeverRan
        };
        drop(in_flight);
        jobs.report(key, TaskOutcome::Generation { item: request.item, text, outcome });
    });
}

/// Starts the scoring call of an item whose text is complete. An item that needs no scoring call gets an empty score.
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

/// Starts an append of the collected results. Results that are added before the request is sent are appended with it.
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
