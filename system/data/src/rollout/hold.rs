//! The hold of this edge on the batch jobs that it drives: renewed at the heads of their partitions, and given up here before
//! an end of the batch job that this edge did not hear of has to show.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{
    partition_of, ControlMessage, DriverLeaseState, DriverTerm, Envelope, JobId, JobRecord, JobsRequest,
    JobsResponse,
};

use super::backend_client::Member;
use super::driver;
use crate::Shared;

/// The part of `cancelMs` for which a renewal holds, in percent, counted from when it was asked. An end that was acknowledged
/// after that renewal was taken may go unheard here for so long and no longer.
///
/// The heads give a silent driver up sooner, after half of `cancelMs`. So a batch job may have two drivers for a moment, of which
/// only the newer one's results are taken; but a driver whose head is lost goes on until there is another head.
const HOLD_PERCENT: u32 = 90;
/// Renewals in `cancelMs`: three before a head gives a driver up.
const RENEWALS: u32 = 6;

/// How long one renewal holds.
pub(super) fn hold_time(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().bounds.cancel_ms) * HOLD_PERCENT / 100
}

/// The time between renewals, and how long one is asked for.
fn renewal_period(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().bounds.cancel_ms) / RENEWALS
}

/// Renews for as long as the process lives.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        if shared.rollout.drives.borrow().all.is_empty() {
            shared.rollout.renew.notified().await;
        } else {
            let period = renewal_period(&shared);
            tokio::select! {
                () = shared.rollout.renew.notified() => {}
                () = tokio::time::sleep(period) => {}
            }
        }
        renew_all(&shared);
    }
}

/// Asks the heads once; a loss is made up for by the next renewal.
fn renew_all(shared: &Rc<Shared>) {
    let mut partitions: BTreeMap<u16, Vec<(JobId, DriverTerm)>> = BTreeMap::new();
    for (_, drive) in &shared.rollout.drives.borrow().all {
        let job = drive.plan.job();
        tell_model_use(shared, job);
        partitions.entry(partition_of(&job.id)).or_default().push((job.id.clone(), drive.term));
    }
    for (partition, jobs) in partitions {
        tokio::task::spawn_local(renew(Rc::clone(shared), partition, jobs));
    }
}

/// Tells the coordinator how a batch job uses the weights of its model. It may be lost, or the coordinator may change, so it is
/// told with each renewal.
pub(super) fn tell_model_use(shared: &Shared, job: &JobRecord) {
    let coordinator =
        shared.registry(|registry| registry.coordinator().map(|coordinator| coordinator.address));
    let Some(coordinator) = coordinator else { return };
    let use_of_model = ControlMessage::ModelUsed {
        model: job.model.clone(),
        host: job.host.clone(),
        path: job.path.clone(),
        min_version: job.min_version,
    };
    shared.send(coordinator, &Envelope::Control(use_of_model));
}

async fn renew(shared: Rc<Shared>, partition: u16, jobs: Vec<(JobId, DriverTerm)>) {
    let asked_at = shared.now();
    let hold = hold_time(&shared);
    let patience = renewal_period(&shared);
    let body = JobsRequest::RenewDriverLeases { jobs: jobs.clone() };
    let asked = shared.rollout.backends.ask_partition(&shared, partition, Member::Head, body, patience).await;
    let Some(JobsResponse::Renewed(states)) = asked.answer else { return };
    for ((job, term), state) in jobs.into_iter().zip(states) {
        match state {
            DriverLeaseState::Held => driver::held(&shared, &job, term, asked_at + hold),
            DriverLeaseState::Ended | DriverLeaseState::Fenced => driver::stop(&shared, &job, term, state),
        }
    }
}
