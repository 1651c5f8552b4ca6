//! The commands of one partition, in the form in which its chain replicates them, and their outcomes.
//!
//! [`Command`] resembles [`gingerledge_wire::JobsRequest`] and is a type of its own on purpose. A request is what an edge sends,
//! and its encoding changes with the protocol between edges and backends; a command is what the log of a partition holds, on disks
//! and between replicas of different versions. Requests also contain reads and renewals, which are never replicated, and commands
//! contain changes that only the head makes. A command names the edge that becomes the driver, which the request's envelope does.
//! Both are encoded with the variants' positions: never reorder variants or fields here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobId, JobRecord, JobsResponse, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::codec;
use crate::error::{CommandSnafu, JobsError};

/// One incarnation of an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeProcess {
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// Its internal address, which the next incarnation of the same edge has too.
    pub address: SocketAddr,
}

/// A change of a partition's state, applied by every replica in the order of the chain's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Create a batch job; the edge becomes its driver with the first term.
    Create {
        /// The batch job.
        job: Arc<JobRecord>,
        /// The first driver.
        edge: EdgeProcess,
    },
    /// Append results. Those of items that have one already are ignored.
    AppendResults {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The results, in the order of their positions.
        results: Vec<ResultRecord>,
    },
    /// Save texts of items that have no result yet.
    SaveCheckpoint {
        /// The batch job.
        job: JobId,
        /// The driver's term.
        term: DriverTerm,
        /// The texts, in order.
        texts: Vec<PartialText>,
    },
    /// End a batch job.
    End {
        /// The batch job.
        job: JobId,
    },
    /// Give a batch job another driver; applies only if the term is the one after the present term.
    AssignDriver {
        /// The batch job.
        job: JobId,
        /// The new term.
        term: DriverTerm,
        /// The new driver.
        edge: EdgeProcess,
    },
    /// Delete an ended batch job whose retention is over.
    Delete {
        /// The batch job.
        job: JobId,
    },
    /// Record the ages that batch jobs have reached, so that they survive a restart.
    RecordAges {
        /// Batch jobs with their ages.
        ages: Vec<(JobId, Duration)>,
    },
}

/// The client that waits for the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The client's number for its request.
    pub request: u64,
    /// The client's internal address.
    pub reply_to: SocketAddr,
    /// The client's incarnation.
    pub edge: u64,
}

/// A command as the chain replicates it, with the caller to whom the tail responds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Who requested it; none for commands that the head proposes itself.
    pub caller: Option<Caller>,
    /// The age that the command's batch job has certainly reached.
    pub age: Duration,
    /// The command.
    pub command: Command,
}

impl Proposal {
    /// The bytes of an entry in the log.
    ///
    /// # Errors
    ///
    /// The proposal can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(CommandSnafu)
    }

    /// Reads the bytes of an entry in the log.
    ///
    /// # Errors
    ///
    /// The bytes are not exactly one proposal.
    pub fn decode(bytes: &[u8]) -> Result<Self, JobsError> {
        codec::decode(bytes).context(CommandSnafu)
    }
}

/// The outcome of a command: the same at every replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The batch job exists, by this command or an earlier one.
    Created {
        /// Incarnation and term of its driver; none once it has ended or all its items have results.
        driver: Option<(u64, DriverTerm)>,
    },
    /// The results are stored, by this command or an earlier one; or the texts that continue the stored ones are.
    Appended,
    /// The term is not the present one.
    Fenced,
    /// The batch job is ended, by this command or an earlier one.
    Ended {
        /// Incarnation and term of the driver that this command has stopped; none if the batch job was ended before.
        stopped: Option<(u64, DriverTerm)>,
    },
    /// The new driver is assigned.
    DriverAssigned,
    /// The batch job is deleted.
    Deleted,
    /// The ages are recorded.
    AgesRecorded,
    /// Nothing has changed: there is no such batch job, or the command does not apply to its present state.
    NotApplicable,
}

impl Outcome {
    /// The response to the edge with this incarnation.
    #[must_use]
    pub fn response(&self, edge: u64) -> JobsResponse {
        match self {
            Self::Created { driver } => JobsResponse::Created {
                driver_term: driver.filter(|(incarnation, _)| *incarnation == edge).map(|(_, term)| term),
            },
            Self::Appended => JobsResponse::Appended,
            Self::Fenced => JobsResponse::Fenced,
            Self::Ended { .. } => JobsResponse::Ended,
            Self::DriverAssigned | Self::Deleted | Self::AgesRecorded | Self::NotApplicable => {
                JobsResponse::NotFound
            }
        }
    }
}

impl Command {
    /// The batch job that it changes, if it changes just one.
    #[must_use]
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::RecordAges { .. } => None,
            Self::Create { job, .. } => Some(&job.id),
            Self::AppendResults { job, .. }
            | Self::SaveCheckpoint { job, .. }
            | Self::End { job }
            | Self::AssignDriver { job, .. }
            | Self::Delete { job } => Some(job),
        }
    }
}
