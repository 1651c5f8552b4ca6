//! Batch jobs on their way through the chain, at the head: each is proposed once, whoever asks again meanwhile.

use std::collections::BTreeMap;

use gingerledge_wire::JobId;

use crate::store::Asker;

/// Bounds the askers remembered for one batch job; edges ask again anyway.
const MOST_ASKERS: usize = 8;

#[derive(Debug)]
struct Creation {
    bytes: u64,
    askers: Vec<Asker>,
}

/// Proposals to create a batch job that are not applied yet.
#[derive(Debug, Default)]
pub(crate) struct Creations {
    by_job: BTreeMap<JobId, Creation>,
    bytes: u64,
}

impl Creations {
    /// Bytes of all of them, as the budget counts them.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Remembers a proposal.
    pub fn insert(&mut self, job: JobId, bytes: u64) {
        self.bytes += bytes;
        self.by_job.insert(job, Creation { bytes, askers: Vec::new() });
    }

    /// Somebody asks for a batch job that is on its way. Says whether it is.
    pub fn ask_again(&mut self, job: &str, asker: Asker) -> bool {
        let Some(creation) = self.by_job.get_mut(job) else { return false };
        if !creation.askers.contains(&asker) && creation.askers.len() < MOST_ASKERS {
            creation.askers.push(asker);
        }
        true
    }

    /// It is applied, or won't be; gives those who asked meanwhile.
    pub fn remove(&mut self, job: &str) -> Vec<Asker> {
        let Some(creation) = self.by_job.remove(job) else { return Vec::new() };
        self.bytes -= creation.bytes;
        creation.askers
    }

    /// This replica is not the head any more; nobody is answered.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
