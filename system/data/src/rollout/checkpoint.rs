//! Periodic checkpoints of a batch job's texts, sent to its partition so that a driver of a later term can resume from them.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobId, JobsRequest, JobsResponse, PartialText};

use super::backend_client::ChainMember;
use super::plan::CheckpointedTexts;
use crate::Shared;

/// The time between two checkpoints. If the driver is lost, events since the last checkpoint have to be generated again.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(800);
/// The share of a core from which on an edge uses [`CHECKPOINT_INTERVAL`]. With a smaller share, the interval is longer in inverse
/// proportion to the share.
const FULL_RATE_CORE_SHARE: f64 = 0.2;
/// The longest interval, as a multiple of [`CHECKPOINT_INTERVAL`].
const MAX_SLOWDOWN: f64 = 5.0;
/// The maximum size of the texts in one checkpoint, in bytes.
pub(super) const MAX_CHECKPOINT_BYTES: usize = 512 * 1024;
/// How long a checkpoint is retransmitted while it is not acknowledged.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// The parts of texts in a checkpoint.
#[derive(Clone, Debug)]
pub(super) struct CheckpointParts {
    pub(super) parts: Vec<PartialText>,
    /// The size of each part's text up to the end of the part, in bytes, in the order of `parts`.
    pub(super) sizes: Vec<usize>,
}

/// The schedule of one batch job's checkpoints, and the texts that its partition has stored.
#[derive(Debug)]
pub(super) struct CheckpointSchedule {
    checkpointed_texts: CheckpointedTexts,
    interval: Duration,
    next_at: Duration,
    is_in_flight: bool,
}

impl CheckpointSchedule {
    /// A schedule without any stored checkpoint, for an edge with this share of a core.
    pub(super) fn new(now: Duration, cpu_share: f64) -> Self {
        let slowdown = (FULL_RATE_CORE_SHARE / cpu_share.max(f64::EPSILON)).clamp(1.0, MAX_SLOWDOWN);
        let interval = CHECKPOINT_INTERVAL.mul_f64(slowdown);
        Self {
            checkpointed_texts: CheckpointedTexts::default(),
            interval,
            next_at: now + interval,
            is_in_flight: false,
        }
    }

    /// Records texts that were restored from checkpoints of an earlier term; the partition has stored them completely.
    pub(super) fn on_restored(&mut self, texts: &[PartialText]) {
        let sizes: Vec<usize> = texts.iter().map(|text| text.data.len()).collect();
        self.checkpointed_texts.on_acknowledged(texts, &sizes);
    }

    /// The time at which the next checkpoint is due; `None` while one is in flight.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        (!self.is_in_flight).then_some(self.next_at)
    }

    /// Starts the checkpoint that is due, of the parts that `select_parts` returns; `None` if there are no new parts.
    pub(super) fn start(
        &mut self,
        now: Duration,
        select_parts: impl FnOnce(&CheckpointedTexts) -> Vec<PartialText>,
    ) -> Option<CheckpointParts> {
        self.next_at = now + self.interval;
        let parts = select_parts(&self.checkpointed_texts);
        if parts.is_empty() {
            return None;
        }
        let sizes = self.checkpointed_texts.sizes_with(&parts);
        self.checkpointed_texts.on_sent(&parts);
        self.is_in_flight = true;
        Some(CheckpointParts { parts, sizes })
    }

    /// Ends the checkpoint in flight; `acknowledged` is `None` if there was no acknowledgement before the time-out.
    pub(super) fn on_ended(&mut self, now: Duration, acknowledged: Option<CheckpointParts>) {
        self.is_in_flight = false;
        self.next_at = now + self.interval;
        if let Some(CheckpointParts { parts, sizes }) = acknowledged {
            self.checkpointed_texts.on_acknowledged(&parts, &sizes);
        }
    }
}

/// Sends a checkpoint to the head of the batch job's partition; returns the checkpoint if it was acknowledged.
pub(super) async fn save(
    shared: &Rc<Shared>,
    job: &JobId,
    term: DriverTerm,
    checkpoint: CheckpointParts,
) -> Option<CheckpointParts> {
    let body = JobsRequest::SaveCheckpoint { job: job.clone(), term, texts: checkpoint.parts.clone() };
    let outcome =
        shared.rollout.backends.request(shared, job, ChainMember::Head, body, REQUEST_TIMEOUT).await;
    matches!(outcome.response, Some(JobsResponse::Appended)).then_some(checkpoint)
}
