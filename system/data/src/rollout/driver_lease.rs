//! Renewal of this edge's driver leases, at the heads of the partitions of the batch jobs that it drives.
//!
//! The duration of a lease counts from the moment when its renewal was sent (Gray & Cheriton 1989). So the lease expires at this edge
//! before the head may put the end of the batch job into effect without this edge's acknowledgement.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{
    partition_of, ControlMessage, DriverLeaseState, DriverTerm, Envelope, JobId, JobRecord, JobsRequest,
    JobsResponse,
};

use super::backend_client::ChainMember;
use crate::Shared;

/// The duration of a lease in percent of `cancelMs`, counted from when its renewal was sent. This bounds how long this edge may be unaware
/// that a batch job has ended, if the end was acknowledged after that renewal.
///
/// The heads replace a driver that does not renew sooner, after half of `cancelMs`. So a batch job may have two drivers for a short time,
/// of which only the results of the later term are accepted. In return, a driver whose head is lost can continue until there is another
/// head.
const LEASE_PERCENT: u32 = 90;
/// The number of renewals in `cancelMs`. Three of them are due before a head replaces a driver.
const RENEWALS_PER_CANCEL_TIME: u32 = 6;

/// The duration of a lease, counted from when its renewal was sent.
pub(super) fn lease_duration(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().bounds.cancel_ms) * LEASE_PERCENT / 100
}

/// The time between two renewals, and the time-out of each.
fn renewal_period(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().bounds.cancel_ms) / RENEWALS_PER_CANCEL_TIME
}

/// Renews the driver leases for the lifetime of the process.
pub(super) async fn run(shared: Rc<Shared>) {
    let jobs = &shared.rollout.jobs;
    loop {
        if jobs.is_empty() {
            jobs.renewal_requested().await;
        } else {
            let period = renewal_period(&shared);
            tokio::select! {
                () = jobs.renewal_requested() => {}
                () = tokio::time::sleep(period) => {}
            }
        }
        renew_all(&shared);
    }
}

/// Sends one renewal for each partition with batch jobs that this edge drives. If a renewal times out, that of the
/// next period replaces it.
fn renew_all(shared: &Rc<Shared>) {
    let mut partitions: BTreeMap<u16, Vec<(JobId, DriverTerm)>> = BTreeMap::new();
    shared.rollout.jobs.for_each(|execution| {
        let job = execution.job();
        report_model_use(shared, job);
        partitions.entry(partition_of(&job.id)).or_default().push((job.id.clone(), execution.lease.term()));
    });
    for (partition, jobs) in partitions {
        tokio::task::spawn_local(renew(Rc::clone(shared), partition, jobs));
    }
}

/// Reports to the coordinator that a batch job uses its model, by which route, and the lowest version of the weights that it allows. The
/// report is repeated with each renewal, because the message may be lost or the coordinator replaced.
pub(super) fn report_model_use(shared: &Shared, job: &JobRecord) {
    let coordinator =
        shared.registry(|registry| registry.coordinator().map(|coordinator| coordinator.address));
    let Some(coordinator) = coordinator else { return };
    let model_used = ControlMessage::ModelUsed {
        model: job.model.clone(),
        host: job.host.clone(),
        path: job.path.clone(),
        min_version: job.min_version,
    };
    shared.send(coordinator, &Envelope::Control(model_used));
}

async fn renew(shared: Rc<Shared>, partition: u16, jobs: Vec<(JobId, DriverTerm)>) {
    let sent_at = shared.now();
    let duration = lease_duration(&shared);
    let timeout = renewal_period(&shared);
    let body = JobsRequest::RenewDriverLeases { jobs: jobs.clone() };
    let backends = &shared.rollout.backends;
    let outcome = backends.request_partition(&shared, partition, ChainMember::Head, body, timeout).await;
    let Some(JobsResponse::Renewed(states)) = outcome.response else { return };
    let running_jobs = &shared.rollout.jobs;
    for ((job, term), state) in jobs.into_iter().zip(states) {
        match state {
            DriverLeaseState::Held => running_jobs.extend_lease(&job, term, sent_at + duration, shared.now()),
            DriverLeaseState::Ended | DriverLeaseState::Fenced => {
                running_jobs.stop(&job, term, state, shared.now());
            }
        }
    }
}
