//! Checkpoints of a batch job's texts: sent to its partition from time to time, so that a driver of a later term resumes from there.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobId, JobsRequest, JobsResponse, PartialText};

use super::backend_client::ChainMember;
use super::plan::CheckpointedTexts;
use crate::Shared;

/// The time between two checkpoints. What came since the last one is generated again after a loss.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(800);
/// An edge with a smaller share of a core than this has a longer interval, in proportion.
const FULL_RATE_CORE_SHARE: f64 = 0.2;
/// The interval is at most so many times [`CHECKPOINT_INTERVAL`].
const MAX_SLOWDOWN: f64 = 5.0;
/// The most bytes of texts in one checkpoint.
pub(super) const MAX_CHECKPOINT_BYTES: usize = 512 * 1024;
/// How long a checkpoint is sent again until it is acknowledged.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Parts of texts in a checkpoint, with the size of each text including its part.
#[derive(Clone, Debug)]
pub(super) struct CheckpointParts {
    pub(super) parts: Vec<PartialText>,
    pub(super) sizes: Vec<usize>,
}

/// When the texts of one batch job are checkpointed, and what its partition has.
#[derive(Debug)]
pub(super) struct CheckpointSchedule {
    texts: CheckpointedTexts,
    interval: Duration,
    next_at: Duration,
    is_in_flight: bool,
}

impl CheckpointSchedule {
    /// A schedule without any checkpoint, for an edge with a share of a core.
    pub(super) fn new(now: Duration, cpu_share: f64) -> Self {
        let slowdown = (FULL_RATE_CORE_SHARE / cpu_share.max(f64::EPSILON)).clamp(1.0, MAX_SLOWDOWN);
        let interval = CHECKPOINT_INTERVAL.mul_f64(slowdown);
        Self { texts: CheckpointedTexts::default(), interval, next_at: now + interval, is_in_flight: false }
    }

    /// The batch job was assigned with checkpoints of an earlier term.
    pub(super) fn on_restored(&mut self, texts: &[PartialText]) {
        let sizes: Vec<usize> = texts.iter().map(|text| text.data.len()).collect();
        self.texts.on_acknowledged(texts, &sizes);
    }

    /// When the next checkpoint is due; `None` while one is in flight.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        (!self.is_in_flight).then_some(self.next_at)
    }

    /// The next checkpoint is due: `unsaved` selects its parts. `None` if there is nothing new.
    pub(super) fn start(
        &mut self,
        now: Duration,
        unsaved: impl FnOnce(&CheckpointedTexts) -> Vec<PartialText>,
    ) -> Option<CheckpointParts> {
        self.next_at = now + self.interval;
        let parts = unsaved(&self.texts);
        if parts.is_empty() {
            return None;
        }
        let sizes = self.texts.sizes_with(&parts);
        self.texts.on_sent(&parts);
        self.is_in_flight = true;
        Some(CheckpointParts { parts, sizes })
    }

    /// The checkpoint in flight was acknowledged, or (`None`) not within its time.
    pub(super) fn on_ended(&mut self, now: Duration, acknowledged: Option<CheckpointParts>) {
        self.is_in_flight = false;
        self.next_at = now + self.interval;
        if let Some(CheckpointParts { parts, sizes }) = acknowledged {
            self.texts.on_acknowledged(&parts, &sizes);
        }
    }
}

/// Sends a checkpoint to the head of the batch job's partition; returns its parts if they were acknowledged.
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
