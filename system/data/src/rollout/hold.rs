//! The hold of this edge on the batch jobs that it drives: renewed at the heads of their partitions, and given up here before
//! another edge may be given it there.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{partition_of, DriverTerm, JobId, JobsAnswer, JobsRequest, RenewState};

use super::backend_client::Member;
use super::driver;
use crate::Shared;

/// The part of `cancelMs` for which a renewal holds, counted from when it was asked; the heads wait as long from when they were asked.
const HOLD_SHARE: u32 = 2;
/// Renewals in the time of one hold.
const RENEWALS: u32 = 3;

/// How long one renewal holds.
pub(super) fn hold_time(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings().bounds.cancel_ms) / HOLD_SHARE
}

/// Renews for as long as the process lives.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        if shared.rollout.drives.borrow().all.is_empty() {
            shared.rollout.renew.notified().await;
        } else {
            let period = hold_time(&shared) / RENEWALS;
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
        let job = &drive.plan.job().id;
        partitions.entry(partition_of(job)).or_default().push((job.clone(), drive.term));
    }
    for (partition, jobs) in partitions {
        tokio::task::spawn_local(renew(Rc::clone(shared), partition, jobs));
    }
}

async fn renew(shared: Rc<Shared>, partition: u16, jobs: Vec<(JobId, DriverTerm)>) {
    let asked_at = shared.now();
    let hold = hold_time(&shared);
    let patience = hold / RENEWALS;
    let body = JobsRequest::Renew { jobs: jobs.clone() };
    let asked = shared.rollout.backends.ask_partition(&shared, partition, Member::Head, body, patience).await;
    let Some(JobsAnswer::Renewed(states)) = asked.answer else { return };
    for ((job, term), state) in jobs.into_iter().zip(states) {
        match state {
            RenewState::Held => driver::held(&shared, &job, term, asked_at + hold),
            RenewState::Ended | RenewState::Fenced => driver::stop(&shared, &job, term, state),
        }
    }
}
