//! The driver leases of this edge on the batch jobs that it drives: renewed at the heads of their partitions.
//!
//! A lease counts from the moment its renewal was sent (Gray & Cheriton 1989), so it ends here before the head may let the end of the
//! batch job take effect without this edge's acknowledgement.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{
    partition_of, ControlMessage, DriverLeaseState, DriverTerm, Envelope, JobId, JobRecord, JobsRequest,
    JobsResponse,
};

use super::backend_client::ChainMember;
use crate::Shared;

/// The duration of a lease in percent of `cancelMs`, counted from when its renewal was sent. The end of a batch job that was
/// acknowledged after that renewal may stay unknown here for so long and no longer.
///
/// The heads replace a silent driver sooner, after half of `cancelMs`. So a batch job may have two drivers for a moment, of which only
/// the results of the later term are accepted; but a driver whose head is lost continues until there is another head.
const LEASE_PERCENT: u32 = 90;
/// Renewals in `cancelMs`: three before a head replaces a driver.
const RENEWALS: u32 = 6;

/// How long a lease is valid from when its renewal was sent.
pub(super) fn lease_duration(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().bounds.cancel_ms) * LEASE_PERCENT / 100
}

/// The time between renewals, and the time-out of each.
fn renewal_period(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().bounds.cancel_ms) / RENEWALS
}

/// Renews for as long as the process lives.
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

/// Sends one renewal to each head concerned; a lost one is made up for by the next.
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

/// Reports to the coordinator how a batch job uses the weights of its model. The message may be lost, or the coordinator replaced, so it
/// is repeated with each renewal.
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
    let lease = lease_duration(&shared);
    let timeout = renewal_period(&shared);
    let body = JobsRequest::RenewDriverLeases { jobs: jobs.clone() };
    let backends = &shared.rollout.backends;
    let outcome = backends.request_partition(&shared, partition, ChainMember::Head, body, timeout).await;
    let Some(JobsResponse::Renewed(states)) = outcome.response else { return };
    let running = &shared.rollout.jobs;
    for ((job, term), state) in jobs.into_iter().zip(states) {
        match state {
            DriverLeaseState::Held => running.extend_lease(&job, term, sent_at + lease, shared.now()),
            DriverLeaseState::Ended | DriverLeaseState::Fenced => {
                running.stop(&job, term, state, shared.now());
            }
        }
    }
}
