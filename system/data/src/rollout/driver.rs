//! Carries out the plans of all batch jobs that this edge drives, in one task: takes in what ended, places what can be placed,
//! starts generations and reward calls, and hands results in.
//!
//! Before anything is sent, and before results are handed in, the edge's hold on the batch job is looked at. When the hold ends,
//! all that is under way for the batch job is dropped, and with it its connections.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::Route;
use gingerledge_wire::{DriverLeaseState, DriverTerm, JobRecord, PartialText};
use tokio::task::JoinSet;

use super::drive::{Carried, Drive, DriveKey, KeptSince, Outcome, MAX_DRIVES};
use super::generation::{self, Order};
use super::hold;
use super::job_route::{deployment, rules, service_of, target};
use super::plan::{priority, Ended, JobPlan, Placement, Rules, Step};
use super::saving::{self, Saving};
use super::timeline::Timeline;
use super::watch::Watch;
use super::{results, reward, stores};
use crate::index::KnownStore;
use crate::stores::CountGuard;
use crate::Shared;

/// The least time between two turns.
const GATHER: Duration = Duration::from_millis(4);
/// Work that waits for room at the stores is looked at again that often, since a place may fall free without this edge's doing.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Drives for as long as the process lives.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let next = turn(&shared);
        // What ends meanwhile is taken in together: each turn looks at whole batch jobs.
        tokio::time::sleep(GATHER).await;
        let wake = shared.rollout.wake.notified();
        match next {
            None => wake.await,
            Some(next) => {
                let pause = next.saturating_sub(shared.now()).max(Duration::from_millis(1));
                tokio::select! {
                    () = wake => {}
                    () = tokio::time::sleep(pause) => {}
                }
            }
        }
    }
}

/// A batch job that this edge is to drive.
pub(super) struct Assignment {
    /// The batch job.
    pub(super) job: Arc<JobRecord>,
    /// The term under which this edge drives it.
    pub(super) term: DriverTerm,
    /// Items that have results.
    pub(super) listed: Vec<u32>,
    /// Texts that the driver before has saved.
    pub(super) saved: Vec<PartialText>,
    /// How long it has been kept: at least that long.
    pub(super) age: Duration,
}

impl Assignment {
    /// A batch job that this edge has just handed in.
    pub(super) fn of_new(job: Arc<JobRecord>, term: DriverTerm) -> Self {
        Self { job, term, listed: Vec::new(), saved: Vec::new(), age: Duration::ZERO }
    }
}

/// This edge is to drive a batch job: it took it, or the head of its partition says so. Nothing is sent before `held_until` is in
/// the future, which the first renewal sees to.
pub(super) fn begin(shared: &Rc<Shared>, assignment: Assignment, held_until: Duration) {
    let Assignment { job, term, listed, saved, age } = assignment;
    let now = shared.now();
    let mut drives = shared.rollout.drives.borrow_mut();
    if let Some(key) = drives.of(&job.id) {
        if drives.all.get(key).is_some_and(|drive| drive.term >= term) {
            return;
        }
        // Its tasks keep their texts for the next term as they are dropped.
        let before = drives.remove(key);
        drop(drives);
        keep(shared, before);
        drives = shared.rollout.drives.borrow_mut();
    }
    if drives.all.len() >= MAX_DRIVES {
        log::warn!("batch job {} is not driven here: too many are", job.id);
        return;
    }
    let kept_since = KeptSince { at: now, age };
    let target = target(shared, &job);
    let due = kept_since.reaches_age(target);
    let plan = JobPlan::new(job, &listed, fastrand::u64(..));
    drives.insert(Drive {
        timeline: Timeline::new(now, &plan, &listed),
        plan,
        kept_since,
        term,
        held_until,
        given_up_at: now + hold::hold_time(shared),
        target,
        due,
        rules: None,
        results: Vec::new(),
        appending: false,
        next_spare_look: now,
        watch: Watch::default(),
        saved_before: saved,
        saving: Saving::new(now, shared.settings().limits.cpu_share),
        tasks: JoinSet::new(),
    });
    shared.rollout.renew.notify_one();
    shared.rollout.wake.notify_one();
}

/// A renewal succeeded.
pub(super) fn held(shared: &Rc<Shared>, job: &str, term: DriverTerm, until: Duration) {
    let mut drives = shared.rollout.drives.borrow_mut();
    let Some(key) = drives.of(job) else { return };
    let Some(drive) = drives.all.get_mut(key).filter(|drive| drive.term == term) else { return };
    let first = drive.held_until <= shared.now();
    drive.held_until = drive.held_until.max(until);
    drive.given_up_at = drive.held_until;
    if first {
        shared.rollout.wake.notify_one();
    }
}

/// The batch job is ended, or another edge drives it under a later term.
pub(super) fn stop(shared: &Rc<Shared>, job: &str, term: DriverTerm, why: DriverLeaseState) {
    let key = shared.rollout.drives.borrow().of(job);
    let Some(key) = key else { return };
    let ours = shared.rollout.drives.borrow().all.get(key).is_some_and(|drive| drive.term <= term);
    if ours {
        log::debug!("batch job {job} is no longer driven here: {why:?}");
        remove(shared, key);
    }
}

/// The batch job is ended: whatever the term.
pub(super) fn ended(shared: &Rc<Shared>, job: &str) {
    stop(shared, job, DriverTerm::MAX, DriverLeaseState::Ended);
}

pub(super) fn remove(shared: &Rc<Shared>, key: DriveKey) {
    let drive = shared.rollout.drives.borrow_mut().remove(key);
    keep(shared, drive);
}

/// Ends a drive, and keeps the texts of its items. No table may be borrowed.
fn keep(shared: &Rc<Shared>, drive: Option<Drive>) {
    let Some(mut drive) = drive else { return };
    let job = Arc::clone(drive.plan.job());
    let left = drive.due.as_secs_f64() - shared.now().as_secs_f64();
    log::info!(
        "batch job {}, step {} of {}, {left:.1} s before it is due: {}",
        job.id,
        job.step,
        job.model,
        drive.timeline
    );
    let mut kept = shared.rollout.kept.borrow_mut();
    for (index, text) in drive.plan.take_texts() {
        if let Some(item) = job.items.get(index as usize) {
            kept.put(&job.model, &item.id, text);
        }
    }
    drop(kept);
    drop(drive);
}

/// Looks at everything once; says when to look again without being woken.
fn turn(shared: &Rc<Shared>) -> Option<Duration> {
    let now = shared.now();
    let lapsed: Vec<_> = {
        let drives = shared.rollout.drives.borrow();
        drives.all.iter().filter(|(_, drive)| drive.given_up_at <= now).map(|(key, _)| key).collect()
    };
    for key in lapsed {
        log::info!("the hold on a batch job was not renewed in time");
        remove(shared, key);
    }
    let outcomes = std::mem::take(&mut *shared.rollout.outcomes.borrow_mut());
    for outcome in outcomes {
        take_in(shared, now, outcome);
    }
    let keys = shared.rollout.drives.borrow().by_due();
    let nexts: Vec<_> = keys.into_iter().filter_map(|key| drive_on(shared, now, key)).collect();
    nexts.into_iter().min()
}

fn take_in(shared: &Rc<Shared>, now: Duration, outcome: Outcome) {
    let mut drives = shared.rollout.drives.borrow_mut();
    let (Outcome::Generation { drive: key, .. }
    | Outcome::Reward { drive: key, .. }
    | Outcome::Appended { drive: key }
    | Outcome::Saved { drive: key, .. }) = outcome;
    let Some(drive) = drives.all.get_mut(key) else { return };
    let Some(rules) = drive.rules else { return };
    let (item, step) = match outcome {
        Outcome::Generation { item, carried, ended, .. } => {
            drive.watch.end(item);
            drive.timeline.generation_ended(ended);
            (item, drive.plan.generation_ended(now, item, carried.take(), ended, rules))
        }
        Outcome::Reward { item, ended, .. } => (item, drive.plan.reward_ended(now, item, ended, rules)),
        Outcome::Appended { .. } => {
            drive.appending = false;
            return;
        }
        Outcome::Saved { kept, .. } => {
            drive.saving.ended(now, kept);
            return;
        }
    };
    match step {
        Step::Wait => {}
        Step::Reward => {
            drive.timeline.text_whole(now, item);
            reward::start(shared, key, drive, item);
        }
        Step::List(result) => {
            drive.timeline.listed(now, item);
            drive.results.push(result);
        }
    }
}

/// Places, calls and hands in for one batch job; says when to look again.
fn drive_on(shared: &Rc<Shared>, now: Duration, key: DriveKey) -> Option<Duration> {
    let mut drives = shared.rollout.drives.borrow_mut();
    let drive = drives.all.get_mut(key)?;
    while drive.tasks.try_join_next().is_some() {}
    if drive.plan.is_finished() && drive.results.is_empty() && !drive.appending {
        drop(drives);
        remove(shared, key);
        return None;
    }
    if now >= drive.held_until {
        return Some(drive.given_up_at);
    }
    let wanting = match shared.configuration() {
        Some(configuration) => {
            let job = Arc::clone(drive.plan.job());
            match deployment(&configuration, &job) {
                Some(route) => on_route(shared, now, key, drive, route),
                None => route_gone(drive),
            }
        }
        None => false,
    };
    results::hand_in(shared, key, drive);
    saving::save(shared, now, key, drive);
    let look = wanting.then_some(now + LOOK_AGAIN);
    let watch = drive.watch.due(shared.rollout.paces.borrow().usual());
    let save = drive.saving.due();
    [look, watch, save, drive.plan.next_due(now), Some(drive.held_until)].into_iter().flatten().min()
}

/// The route that this edge saw is gone. One that it never saw may be newer than its configuration.
fn route_gone(drive: &mut Drive) -> bool {
    if drive.rules.is_some() {
        let abandoned = drive.plan.abandon_open();
        drive.results.extend(abandoned);
    }
    true
}

/// Says whether work waits for room.
fn on_route(shared: &Rc<Shared>, now: Duration, key: DriveKey, drive: &mut Drive, route: &Route) -> bool {
    let job = Arc::clone(drive.plan.job());
    let rules = rules(shared, drive.kept_since, route);
    if drive.rules.is_none() {
        take_up_saved(now, drive, rules);
        take_up_kept(shared, drive, rules);
    }
    drive.rules = Some(rules);
    if rules.retained_until.is_some_and(|until| until <= now) {
        let abandoned = drive.plan.abandon_open();
        drive.results.extend(abandoned);
    }
    for item in drive.plan.due_rewards(now) {
        reward::start(shared, key, drive, item);
    }
    let usual_pause = shared.rollout.paces.borrow().usual();
    let look = drive.watch.due(usual_pause).is_some_and(|due| due <= now);
    if !look && !drive.plan.wants_places(now) && !drive.is_spare_look_due(now) {
        return false;
    }
    let (known, mut views) = stores::views(shared, service_of(route, &job.id), &job.model);
    if look {
        drive.watch.look(shared, &known, &views, job.min_version, rules);
    }
    for placement in drive.plan.place(now, &mut views, rules) {
        if let Some(store) = known.get(placement.store) {
            start(shared, key, drive, placement, Rc::clone(store), rules);
        }
    }
    drive.plan.wants_places(now)
}

/// Goes on from what the driver before has saved.
fn take_up_saved(now: Duration, drive: &mut Drive, rules: Rules) {
    let mut taken = std::mem::take(&mut drive.saved_before);
    taken.retain(|text| drive.plan.take_over(now, text.clone(), rules));
    drive.saving.begin_with(&taken);
}

fn take_up_kept(shared: &Shared, drive: &mut Drive, rules: Rules) {
    let job = Arc::clone(drive.plan.job());
    let mut kept = shared.rollout.kept.borrow_mut();
    for (index, item) in job.items.iter().enumerate() {
        if let Some(text) = kept.take(&job.model, &item.id) {
            drive.plan.keep_text(index as u32, text, rules);
        }
    }
}

/// Starts a generation where it was placed.
fn start(
    shared: &Rc<Shared>,
    key: DriveKey,
    drive: &mut Drive,
    placement: Placement,
    store: Rc<KnownStore>,
    rules: Rules,
) {
    let job = Arc::clone(drive.plan.job());
    let Some(item) = job.items.get(placement.item as usize) else { return };
    let counted = CountGuard::on(&store.out);
    drive.timeline.sent(shared.now());
    shared.rollout.loading.borrow_mut().tried(&store.target.id, &job.model, shared.now());
    let stream = drive.watch.begin(placement.item, store, placement.text);
    let carried = Carried::new(shared, &job.model, &item.id, Rc::clone(&stream));
    let order = Order {
        item: placement.item,
        stream,
        only_version: placement.only_version,
        single_version: rules.single_version,
        retained: rules.retained_until.map(|until| until.saturating_sub(shared.now())),
        usual_pause: shared.rollout.paces.borrow().usual(),
        priority: priority(drive.progress(shared.now()), placement.spare),
        job,
    };
    let shared = Rc::clone(shared);
    drive.tasks.spawn_local(async move {
        let ended = match may_send(&shared, key) {
            true => generation::run(&shared, &order).await,
            false => Ended::NeverRan,
        };
        drop(counted);
        tell(&shared, Outcome::Generation { drive: key, item: order.item, carried, ended });
    });
}

/// Whether this edge may still send for a drive.
pub(super) fn may_send(shared: &Shared, key: DriveKey) -> bool {
    let drives = shared.rollout.drives.borrow();
    drives.all.get(key).is_some_and(|drive| shared.now() < drive.held_until)
}

/// Something ended that the driver is to look at.
pub(super) fn tell(shared: &Shared, outcome: Outcome) {
    shared.rollout.outcomes.borrow_mut().push_back(outcome);
    shared.rollout.wake.notify_one();
}
