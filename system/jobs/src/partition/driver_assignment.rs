//! Messages by which the head of a chain starts and stops the driver of a batch job.

use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobsMessage};

use crate::store::Job;

/// The message that makes an edge the driver of a batch job, with all data that it needs to continue the batch job.
pub(super) fn assign_message(job: &Job, age: Duration) -> JobsMessage {
    JobsMessage::AssignDriver {
        job: Arc::new(job.record().clone()),
        term: job.term(),
        items_with_results: job.items_with_results(),
        texts: job.partial_texts(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// The message that stops the driver of an ended batch job.
pub(super) fn stop_message(id: &str, term: DriverTerm) -> JobsMessage {
    JobsMessage::StopDriver { job: id.to_owned(), term }
}
