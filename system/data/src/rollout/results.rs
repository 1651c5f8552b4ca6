//! Hands results in at the head of a batch job's partition, several at a time, until they are kept.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverLeaseState, JobRecord, JobsRequest, JobsResponse, ResultRecord};

use super::backend_client::Member;
use super::drive::{Drive, DriveKey, Outcome};
use super::driver;
use crate::Shared;

/// Results that come within that time go in together.
const GATHER: Duration = Duration::from_millis(20);
/// How long one question is asked before the hold is looked at again.
const PATIENCE: Duration = Duration::from_millis(800);
/// The pause after a backend that has no room, or without a hold.
const PAUSE: Duration = Duration::from_millis(100);

/// Hands in what there is, unless a hand-in of this batch job is under way; what comes meanwhile goes with the next.
pub(super) fn hand_in(shared: &Rc<Shared>, key: DriveKey, drive: &mut Drive) {
    if drive.appending || drive.results.is_empty() {
        return;
    }
    drive.appending = true;
    let (shared, job, term) = (Rc::clone(shared), Arc::clone(drive.plan.job()), drive.term);
    drive.tasks.spawn_local(async move {
        tokio::time::sleep(GATHER).await;
        let results = gathered(&shared, key);
        if !append(&shared, key, &job, term, results).await {
            return;
        }
        driver::tell(&shared, Outcome::Appended { drive: key });
    });
}

fn gathered(shared: &Shared, key: DriveKey) -> Vec<ResultRecord> {
    let mut drives = shared.rollout.drives.borrow_mut();
    drives.all.get_mut(key).map_or_else(Vec::new, |drive| std::mem::take(&mut drive.results))
}

/// Says whether the results are kept; if not, the drive is over. While there is no hold it waits; the drive's end ends it too.
async fn append(
    shared: &Rc<Shared>,
    key: DriveKey,
    job: &JobRecord,
    term: u64,
    results: Vec<ResultRecord>,
) -> bool {
    loop {
        if !driver::may_send(shared, key) {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let body = JobsRequest::AppendResults { job: job.id.clone(), term, results: results.clone() };
        let asked = shared.rollout.backends.ask(shared, &job.id, Member::Head, body, PATIENCE).await;
        let over = match asked.answer {
            Some(JobsResponse::Appended) => return true,
            Some(JobsResponse::Fenced) => DriverLeaseState::Fenced,
            Some(JobsResponse::Ended) => DriverLeaseState::Ended,
            Some(_) => {
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            None => continue,
        };
        driver::stop(shared, &job.id, term, over);
        return false;
    }
}
