//! Saves the texts so far of a batch job with its partition now and then, so that whoever drives it next goes on from there.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{JobsRequest, JobsResponse, PartialText};

use super::backend_client::Member;
use super::drive::{Drive, DriveKey, Outcome};
use super::driver;
use super::plan::SavedTexts;
use crate::Shared;

/// Texts are saved that often. What came since is made again after a loss.
const SAVE_EVERY: Duration = Duration::from_millis(800);
/// An edge with less of a core than this saves less often, in proportion.
const CORE_SHARE_TO_SAVE: f64 = 0.2;
/// However little of a core an edge has, texts are saved that often.
const MOST_TIMES_SLOWER: f64 = 5.0;
/// The most bytes of texts that are saved at once.
const MOST_BYTES: usize = 512 * 1024;
/// How long one question is asked.
const PATIENCE: Duration = Duration::from_millis(800);

/// What is saved of one batch job.
#[derive(Debug)]
pub(super) struct Saving {
    texts: SavedTexts,
    every: Duration,
    next: Duration,
    under_way: bool,
}

impl Saving {
    /// Nothing is saved yet; the edge has that share of a core.
    pub(super) fn new(now: Duration, cpu_share: f64) -> Self {
        let slower = (CORE_SHARE_TO_SAVE / cpu_share.max(f64::EPSILON)).clamp(1.0, MOST_TIMES_SLOWER);
        let every = SAVE_EVERY.mul_f64(slower);
        Self { texts: SavedTexts::default(), every, next: now + every, under_way: false }
    }

    /// Texts that the batch job came with.
    pub(super) fn begin_with(&mut self, texts: &[PartialText]) {
        let sizes: Vec<usize> = texts.iter().map(|text| text.data.len()).collect();
        self.texts.kept(texts, &sizes);
    }

    /// When texts are to be saved next; none while some are on their way.
    pub(super) fn due(&self) -> Option<Duration> {
        (!self.under_way).then_some(self.next)
    }

    /// What was sent has been answered, or not.
    pub(super) fn ended(&mut self, now: Duration, kept: Option<(Vec<PartialText>, Vec<usize>)>) {
        self.under_way = false;
        self.next = now + self.every;
        if let Some((parts, sizes)) = kept {
            self.texts.kept(&parts, &sizes);
        }
    }
}

/// Saves what is new, if it is time.
pub(super) fn save(shared: &Rc<Shared>, now: Duration, key: DriveKey, drive: &mut Drive) {
    if drive.saving.due().is_none_or(|due| due > now) {
        return;
    }
    drive.saving.next = now + drive.saving.every;
    let parts = drive.unsaved_texts(&drive.saving.texts, MOST_BYTES);
    if parts.is_empty() {
        return;
    }
    let sizes = drive.saving.texts.sizes(&parts);
    drive.saving.texts.sent(&parts);
    drive.saving.under_way = true;
    let (shared, job, term) = (Rc::clone(shared), Arc::clone(drive.plan.job()), drive.term);
    drive.tasks.spawn_local(async move {
        let body = JobsRequest::SaveCheckpoint { job: job.id.clone(), term, texts: parts.clone() };
        let asked = shared.rollout.backends.ask(&shared, &job.id, Member::Head, body, PATIENCE).await;
        let kept = matches!(asked.answer, Some(JobsResponse::Appended)).then_some((parts, sizes));
        driver::tell(&shared, Outcome::Saved { drive: key, kept });
    });
}
