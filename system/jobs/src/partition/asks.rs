//! Questions of edges to one partition.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::ReplicaEvent;
use gingerledge_wire::{DriverTerm, JobId, JobRecord, JobsRequest, JobsResponse};

use super::output::answer;
use super::reads::{Question, Wanted};
use super::{Context, Partition};
use crate::store::{record_bytes, Asker, Command, EdgeProcess, Job, Outcome};

/// The most renewals that wait for the chain at once.
const MOST_RENEWALS: usize = 256;

/// Renewals that wait for the chain's word that this is still the head.
#[derive(Debug, Default)]
pub(super) struct Renewals {
    waiting: BTreeMap<u64, (Asker, Vec<(JobId, DriverTerm)>)>,
}

impl Renewals {
    pub fn fail_all(&mut self) -> Vec<Asker> {
        std::mem::take(&mut self.waiting).into_values().map(|(asker, _)| asker).collect()
    }
}

/// What a partition may still take, as the whole backend sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Bytes of batch jobs.
    pub state_bytes: u64,
    /// Whether the disk keeps up.
    pub disk_keeps_up: bool,
}

impl Partition {
    /// A question of an edge that knows the chain of this epoch.
    pub fn ask(
        &mut self,
        context: &mut Context<'_>,
        asker: Asker,
        epoch: u64,
        request: JobsRequest,
        room: Room,
    ) {
        let at_tail = matches!(request, JobsRequest::ReadResults { .. } | JobsRequest::ReadItemBody { .. });
        let has_role = if at_tail { self.is_tail } else { self.is_head };
        if !has_role || epoch > self.replica.epoch() {
            context.out.push(answer(asker, JobsResponse::Unavailable));
            return;
        }
        match request {
            JobsRequest::CreateJob { job } => self.ask_create(context, asker, job, room),
            JobsRequest::AppendResults { job, term, results } => {
                let done = self.store.job(&job).and_then(|known| append_done(known, term, &results));
                let command = Command::Append { job, term, results };
                self.ask_write(context, asker, done, command, room);
            }
            JobsRequest::SaveCheckpoint { job, term, texts } => {
                let done = self.store.job(&job).and_then(|known| refused(known, term));
                let bytes = texts.iter().map(|text| text.data.len() as u64).sum::<u64>();
                let done = done.or((bytes > room.state_bytes).then_some(JobsResponse::CapacityExceeded));
                let command = Command::Save { job, term, texts };
                self.ask_write(context, asker, done, command, room);
            }
            JobsRequest::EndJob { job } => {
                let ended = self.store.job(&job).is_some_and(Job::is_ended);
                let done = ended.then_some(JobsResponse::Ended);
                self.ask_write(context, asker, done, Command::End { job }, room);
            }
            JobsRequest::ReadResults { job, start_after, wait_ms, max_bytes } => {
                let max_bytes = max_bytes.min(self.settings.page_bytes);
                let until = context.now + Duration::from_millis(wait_ms).min(self.settings.longest_wait);
                let wanted = Wanted::Page { start_after, max_bytes };
                self.ask_read(context, Question { asker, job, wanted, until });
            }
            JobsRequest::ReadItemBody { job, item } => {
                let question = Question { asker, job, wanted: Wanted::Body { item }, until: context.now };
                self.ask_read(context, question);
            }
            JobsRequest::RenewDriverLeases { jobs } => self.ask_renew(context, asker, jobs),
        }
    }

    fn ask_create(&mut self, context: &mut Context<'_>, asker: Asker, job: Arc<JobRecord>, room: Room) {
        if let Some(known) = self.store.job(&job.id) {
            let driver = known.needs_driver().then(|| (known.driver().incarnation, known.term()));
            context.out.push(answer(asker, Outcome::Created { driver }.answer(asker.edge)));
            return;
        }
        if self.creations.ask_again(&job.id, asker) {
            return;
        }
        let bytes = record_bytes(&job) + job.items.len() as u64 * self.settings.result_room_bytes;
        if bytes > room.state_bytes {
            context.out.push(answer(asker, JobsResponse::CapacityExceeded));
            return;
        }
        if room.disk_keeps_up {
            self.creations.insert(job.id.clone(), bytes);
        }
        let command =
            Command::Create { job, edge: EdgeProcess { incarnation: asker.edge, address: asker.reply_to } };
        self.ask_write(context, asker, None, command, room);
    }

    /// Proposes a command, unless it is known that nothing need be written any more.
    fn ask_write(
        &mut self,
        context: &mut Context<'_>,
        asker: Asker,
        done: Option<JobsResponse>,
        command: Command,
        room: Room,
    ) {
        match done {
            Some(done) => context.out.push(answer(asker, done)),
            None if room.disk_keeps_up => self.propose(context, Some(asker), command),
            None => context.out.push(answer(asker, JobsResponse::Unavailable)),
        }
    }

    fn ask_read(&mut self, context: &mut Context<'_>, question: Question) {
        if let Some(certain) = question.certain_answer(&self.store) {
            context.out.push(answer(question.asker, certain));
            return;
        }
        if self.reads.len() >= self.settings.waiting_reads {
            context.out.push(answer(question.asker, JobsResponse::Unavailable));
            return;
        }
        let token = self.next_read_token();
        self.reads.wait(token, question);
        self.replicate(context, ReplicaEvent::Read { token });
    }

    fn ask_renew(&mut self, context: &mut Context<'_>, asker: Asker, jobs: Vec<(JobId, DriverTerm)>) {
        if self.renewals.waiting.len() >= MOST_RENEWALS {
            context.out.push(answer(asker, JobsResponse::Unavailable));
            return;
        }
        let token = self.next_read_token();
        self.renewals.waiting.insert(token, (asker, jobs));
        self.replicate(context, ReplicaEvent::Read { token });
    }

    fn next_read_token(&mut self) -> u64 {
        self.next_read += 1;
        self.next_read
    }

    /// The chain has confirmed a read: what is applied here is the newest.
    pub(super) fn read_ready(&mut self, context: &mut Context<'_>, token: u64) {
        self.reads.confirm(token);
        if let Some((asker, jobs)) = self.renewals.waiting.remove(&token) {
            let states =
                jobs.iter().map(|(id, term)| self.holds.renew(context.now, id, *term, &self.store)).collect();
            context.out.push(answer(asker, JobsResponse::Renewed(states)));
        }
    }

    /// The chain could not confirm a read.
    pub(super) fn read_failed(&mut self, context: &mut Context<'_>, token: u64) {
        let renewal = self.renewals.waiting.remove(&token).map(|(asker, _)| asker);
        let askers = renewal.into_iter().chain(self.reads.fail(token));
        context.out.extend(askers.map(|asker| answer(asker, JobsResponse::Unavailable)));
    }
}

/// The answer to a driver that is none any more.
fn refused(job: &Job, term: DriverTerm) -> Option<JobsResponse> {
    if job.is_ended() {
        return Some(JobsResponse::Ended);
    }
    (term < job.term()).then_some(JobsResponse::Fenced)
}

/// The answer to results that need not be written: an older term, an ended batch job, or all of them are there.
fn append_done(
    job: &Job,
    term: DriverTerm,
    results: &[gingerledge_wire::ResultRecord],
) -> Option<JobsResponse> {
    let refused = refused(job, term);
    if refused.is_some() {
        return refused;
    }
    let listed = results.iter().all(|result| job.is_listed(result.item));
    (listed && term == job.term()).then_some(JobsResponse::Appended)
}
