//! The commands of one partition, in the form in which its chain carries them, and what becomes of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobId, JobRecord, JobsResponse, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::codec;
use crate::error::{CommandSnafu, JobsError};

/// One life of an edge process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeProcess {
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// Where it takes messages; the next process of the machine takes them there too.
    pub address: SocketAddr,
}

/// A change of a partition's state, applied at every replica in the chain's order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Keep a batch job; the edge drives it with the first term.
    Create {
        /// The batch job.
        job: Arc<JobRecord>,
        /// The edge.
        edge: EdgeProcess,
    },
    /// Keep results.
    Append {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The results, in order.
        results: Vec<ResultRecord>,
    },
    /// Keep parts of texts.
    Save {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The parts, in order.
        texts: Vec<PartialText>,
    },
    /// End a batch job.
    End {
        /// The batch job.
        job: JobId,
    },
    /// Give a batch job another driver; taken only on top of the term before.
    Drive {
        /// The batch job.
        job: JobId,
        /// The new term.
        term: DriverTerm,
        /// The new driver.
        edge: EdgeProcess,
    },
    /// Drop an ended batch job whose retention is over.
    Forget {
        /// The batch job.
        job: JobId,
    },
    /// Keep the ages that batch jobs have reached, so that they outlast a restart.
    KeepAges {
        /// Batch jobs with their ages.
        ages: Vec<(JobId, Duration)>,
    },
}

/// Who waits for the outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asker {
    /// The edge's number for its question.
    pub request: u64,
    /// Where the answer goes.
    pub reply_to: SocketAddr,
    /// The edge's incarnation.
    pub edge: u64,
}

/// A command as it goes through the chain, with whoever is answered by the tail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Who asked; none for commands of the head itself.
    pub asker: Option<Asker>,
    /// The age that the command's batch job has certainly reached.
    pub age: Duration,
    /// The command.
    pub command: Command,
}

impl Proposal {
    /// The bytes that the chain carries.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(CommandSnafu)
    }

    /// Reads the bytes that the chain carries.
    pub fn decode(bytes: &[u8]) -> Result<Self, JobsError> {
        codec::decode(bytes).context(CommandSnafu)
    }
}

/// What became of a command: the same at every replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The batch job is kept, now or before.
    Created {
        /// Its driver and term; none once it has ended or all its results are there.
        driver: Option<(u64, DriverTerm)>,
    },
    /// The results are kept, now or before; or the parts of texts that fitted.
    Appended,
    /// The term is not the current one.
    Fenced,
    /// The batch job is ended, now or before.
    Ended {
        /// The driver that it had until now; none if it was ended before.
        stopped: Option<(u64, DriverTerm)>,
    },
    /// The new driver holds it.
    Driven,
    /// It is dropped.
    Forgotten,
    /// The ages are kept.
    Kept,
    /// Nothing changed, because there is no such batch job or the command does not apply any more.
    Unknown,
}

impl Outcome {
    /// What an edge is told.
    pub fn answer(&self, edge: u64) -> JobsResponse {
        match self {
            Self::Created { driver } => JobsResponse::Created {
                driver_term: driver.filter(|(holder, _)| *holder == edge).map(|(_, term)| term),
            },
            Self::Appended => JobsResponse::Appended,
            Self::Fenced => JobsResponse::Fenced,
            Self::Ended { .. } => JobsResponse::Ended,
            Self::Driven | Self::Forgotten | Self::Kept | Self::Unknown => JobsResponse::NotFound,
        }
    }
}

impl Command {
    /// The batch job that it is about, if it is about one.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::KeepAges { .. } => None,
            Self::Create { job, .. } => Some(&job.id),
            Self::Append { job, .. }
            | Self::Save { job, .. }
            | Self::End { job }
            | Self::Drive { job, .. }
            | Self::Forget { job } => Some(job),
        }
    }
}
