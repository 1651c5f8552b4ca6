//! How old the batch jobs of a partition are, as far as this replica is sure.
//!
//! Every age here is a lower bound: it is measured by the steady clock of this process from the moment at which the batch job, or a
//! command with its age, was applied, and the head sends its own ages along with its commands. So it never depends on the time of
//! day of any machine. A restart loses what no command has told since, which only makes a batch job look younger than it is.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::JobId;

use crate::store::{Job, Store};

#[derive(Clone, Copy, Debug)]
struct Observed {
    age: Duration,
    at: Duration,
}

impl Observed {
    fn age(self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.at)
    }
}

/// Lower bounds of the ages of batch jobs.
#[derive(Debug, Default)]
pub(super) struct Ages {
    by_job: BTreeMap<JobId, Observed>,
}

impl Ages {
    /// Takes up the age that a replicated batch job is known to have had at some time before `now`.
    pub fn observe(&mut self, now: Duration, id: &str, job: &Job) {
        let told = Observed { age: job.age(), at: now };
        match self.by_job.get_mut(id) {
            Some(known) if known.age(now) >= told.age => {}
            Some(known) => *known = told,
            None => {
                self.by_job.insert(id.to_owned(), told);
            }
        }
    }

    /// The state was replaced as a whole.
    pub fn observe_all(&mut self, now: Duration, store: &Store) {
        self.by_job.retain(|id, _| store.job(id).is_some());
        for (id, job) in store.jobs() {
            self.observe(now, id, job);
        }
    }

    /// The batch job is not there any more.
    pub fn forget(&mut self, id: &str) {
        self.by_job.remove(id);
    }

    /// How old a batch job is at least.
    pub fn age(&self, now: Duration, id: &str) -> Duration {
        self.by_job.get(id).map_or(Duration::ZERO, |observed| observed.age(now))
    }
}
