//! The messages by which the head starts and stops the driver of a batch job.

use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobsMessage};

use crate::store::Job;

/// Makes an edge the driver of a batch job, with all that it needs to continue it.
pub(super) fn assignment(job: &Job, age: Duration) -> JobsMessage {
    JobsMessage::AssignDriver {
        job: Arc::new(job.record().clone()),
        term: job.term(),
        items_with_results: job.items_with_results(),
        texts: job.partial_texts(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Stops the driver of a batch job that is ended.
pub(super) fn stop(id: &str, term: DriverTerm) -> JobsMessage {
    JobsMessage::StopDriver { job: id.to_owned(), term }
}
