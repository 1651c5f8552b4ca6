//! What the head does about drivers of batch jobs, and about batch jobs that nobody needs any more.

use std::sync::Arc;

use gingerledge_wire::JobsMessage;

use super::holds::{HoldAction, Timeouts};
use super::{Context, Partition, PartitionAction};
use crate::store::{Command, Outcome};

impl Partition {
    /// What the head does once a command is committed.
    pub(super) fn follow_driver(&mut self, context: &mut Context<'_>, id: &str, outcome: &Outcome) {
        match (self.store.job(id), outcome) {
            (Some(job), Outcome::Ended { stopped: Some((_, term)) }) => {
                self.holds.drop(id);
                let message = JobsMessage::StopDriver { job: id.to_owned(), term: *term };
                context.out.push(PartitionAction::SendEdge { to: job.driver().address, message });
            }
            (Some(job), _) => {
                if self.holds.follow(context.now, id, job) {
                    self.tell_driver(context, id);
                }
            }
            (None, _) => self.holds.drop(id),
        }
    }

    pub(super) fn look_after_holds(&mut self, context: &mut Context<'_>) {
        for action in self.holds.due(context.now, self.timeouts(), context.edges) {
            match action {
                HoldAction::Replace { job, term, edge } => {
                    let command = Command::Drive { job, term, edge };
                    self.propose(context, None, command);
                }
                HoldAction::Tell { job } => self.tell_driver(context, &job),
            }
        }
    }

    pub(super) fn look_for_forgotten(&mut self, context: &mut Context<'_>) {
        if context.now < self.next_forget {
            return;
        }
        self.next_forget = context.now + self.settings.forget_every;
        let ended = self.store.jobs().filter(|(_, job)| job.is_ended());
        let over = ended.filter(|(id, _)| self.ages.age(context.now, id) > self.settings.retention);
        let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        for job in over {
            self.propose(context, None, Command::Forget { job });
        }
        self.keep_ages(context);
    }

    /// Ended batch jobs get no commands that would tell their age, so it is kept now and then: without it, restarts that come
    /// again and again would keep them for ever.
    fn keep_ages(&mut self, context: &mut Context<'_>) {
        if context.now < self.next_keep_ages {
            return;
        }
        self.next_keep_ages = context.now + self.settings.keep_ages_every;
        let ended = self.store.jobs().filter(|(_, job)| job.is_ended());
        let ages: Vec<_> = ended.map(|(id, _)| (id.clone(), self.ages.age(context.now, id))).collect();
        if !ages.is_empty() {
            self.propose(context, None, Command::KeepAges { ages });
        }
    }

    pub(super) fn tell_driver(&mut self, context: &mut Context<'_>, id: &str) {
        let Some(job) = self.store.job(id) else { return };
        self.holds.told(context.now, id);
        if let Some(to) = context.edges.address(job.driver().incarnation) {
            let record = Arc::new(job.record().clone());
            let (items_with_results, texts) = (job.listed_items(), job.texts());
            let age_ms = u64::try_from(self.ages.age(context.now, id).as_millis()).unwrap_or(u64::MAX);
            let message = JobsMessage::AssignDriver {
                job: record,
                term: job.term(),
                items_with_results,
                texts,
                age_ms,
            };
            context.out.push(PartitionAction::SendEdge { to, message });
        }
    }

    pub(super) fn timeouts(&self) -> Timeouts {
        Timeouts { driver: self.settings.driver_timeout, tell_again: self.settings.drive_again }
    }
}
