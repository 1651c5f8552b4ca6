//! What the head does about drivers of batch jobs, and about batch jobs that nobody needs any more.

use std::sync::Arc;

use gingerledge_wire::JobsMessage;

use super::holds::{HoldAction, Timeouts};
use super::{Context, Partition, PartitionAction};
use crate::store::{Command, Outcome, Proposal};

impl Partition {
    /// What the head does once a command is committed.
    pub(super) fn follow_driver(&mut self, context: &mut Context<'_>, id: &str, outcome: &Outcome) {
        match (self.store.job(id), outcome) {
            (Some(job), Outcome::Ended { stopped: Some((_, term)) }) => {
                self.holds.drop(id);
                let message = JobsMessage::Stop { job: id.to_owned(), term: *term };
                context.out.push(PartitionAction::SendEdge { to: job.driver().address, message });
            }
            (Some(job), _) => {
                if self.holds.follow(context.now.steady, id, job) {
                    self.tell_driver(context, id);
                }
            }
            (None, _) => self.holds.drop(id),
        }
    }

    pub(super) fn look_after_holds(&mut self, context: &mut Context<'_>) {
        for action in self.holds.due(context.now.steady, self.timeouts(), context.edges) {
            match action {
                HoldAction::Replace { job, term, edge } => {
                    let command = Command::Drive { job, term, edge };
                    self.propose(context, Proposal { asker: None, command });
                }
                HoldAction::Tell { job } => self.tell_driver(context, &job),
            }
        }
    }

    pub(super) fn look_for_forgotten(&mut self, context: &mut Context<'_>) {
        if context.now.steady < self.next_forget {
            return;
        }
        self.next_forget = context.now.steady + self.settings.forget_every;
        let retention_ms = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        let over = self.store.jobs().filter(|(_, job)| {
            job.is_ended() && job.record().accepted_unix_ms.saturating_add(retention_ms) < context.now.unix_ms
        });
        let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        for job in over {
            self.propose(context, Proposal { asker: None, command: Command::Forget { job } });
        }
    }

    pub(super) fn tell_driver(&mut self, context: &mut Context<'_>, id: &str) {
        let Some(job) = self.store.job(id) else { return };
        self.holds.told(context.now.steady, id);
        if let Some(to) = context.edges.address(job.driver().incarnation) {
            let record = Arc::new(job.record().clone());
            let (listed, texts) = (job.listed_items(), job.texts());
            let message = JobsMessage::Drive { job: record, term: job.term(), listed, texts };
            context.out.push(PartitionAction::SendEdge { to, message });
        }
    }

    pub(super) fn timeouts(&self) -> Timeouts {
        Timeouts { driver: self.settings.driver_timeout, tell_again: self.settings.drive_again }
    }
}
