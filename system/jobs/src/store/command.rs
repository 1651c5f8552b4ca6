//! The commands of one partition, as its chain replicates them, and their outcomes.
//!
//! [`Command`] resembles [`gingerledge_wire::JobsRequest`] but is a separate type on purpose. A request is sent by an edge, and its
//! encoding changes with the protocol between edges and backends. A command is stored in the log of a partition, on disks and
//! between replicas of different versions. Requests include reads and renewals, which are never replicated; commands include
//! changes that only the head makes. A command contains the edge that becomes the driver; with a request, the envelope does.
//! Both types are encoded with the positions of variants and fields: never reorder variants or fields here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobId, JobRecord, JobsResponse, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::codec;
use crate::error::{CommandSnafu, JobsError};

/// One process of an edge, identified by its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeProcess {
    /// Incarnation of the edge, drawn at random at each start of the process.
    pub incarnation: u64,
    /// Internal address of the edge, which stays the same for its next incarnation.
    pub address: SocketAddr,
}

/// A change of a partition's state, applied by every replica in the order of the chain's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Create a batch job; `edge` becomes its driver in the first term.
    Create {
        /// The batch job.
        job: Arc<JobRecord>,
        /// The first driver.
        edge: EdgeProcess,
    },
    /// Append results. Results of items that have one already are ignored.
    AppendResults {
        /// Id of the batch job.
        job: JobId,
        /// Term of the driver.
        term: DriverTerm,
        /// The results, in the order of their positions.
        results: Vec<ResultRecord>,
    },
    /// Save texts of items that have no result yet.
    SaveCheckpoint {
        /// Id of the batch job.
        job: JobId,
        /// Term of the driver.
        term: DriverTerm,
        /// The texts, in order.
        texts: Vec<PartialText>,
    },
    /// End a batch job.
    End {
        /// Id of the batch job.
        job: JobId,
    },
    /// Assign another driver to a batch job; applied only if `term` is one higher than the current term.
    AssignDriver {
        /// Id of the batch job.
        job: JobId,
        /// The new term.
        term: DriverTerm,
        /// The new driver.
        edge: EdgeProcess,
    },
    /// Delete an ended batch job whose retention period has passed.
    Delete {
        /// Id of the batch job.
        job: JobId,
    },
    /// Record the ages that batch jobs have reached, so that they survive a restart.
    RecordAges {
        /// Ids of batch jobs, with lower bounds of their ages.
        ages: Vec<(JobId, Duration)>,
    },
}

/// The client that waits for the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Number by which the client identifies its request.
    pub request: u64,
    /// Internal address of the client, to which the response is sent.
    pub reply_to: SocketAddr,
    /// Incarnation of the client, which is an edge.
    pub edge: u64,
}

/// A command as the chain replicates it, with the caller to which the tail responds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The client that requested the command; `None` for commands that the head proposes itself.
    pub caller: Option<Caller>,
    /// Lower bound of the age of the command's batch job when the command was proposed.
    pub age: Duration,
    /// The command.
    pub command: Command,
}

impl Proposal {
    /// Encodes the proposal as the content of a log entry.
    ///
    /// # Errors
    ///
    /// The proposal can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, JobsError> {
        codec::encode(self).context(CommandSnafu)
    }

    /// Decodes the content of a log entry.
    ///
    /// # Errors
    ///
    /// The bytes are not exactly one proposal.
    pub fn decode(bytes: &[u8]) -> Result<Self, JobsError> {
        codec::decode(bytes).context(CommandSnafu)
    }
}

/// The outcome of a command, which is the same at every replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The batch job exists, by this command or an earlier one.
    Created {
        /// Incarnation and term of the driver; `None` once the batch job is ended or all its items have results.
        driver: Option<(u64, DriverTerm)>,
    },
    /// The results are stored, by this command or an earlier one. For a checkpoint: the texts that continue the stored ones are
    /// stored.
    Appended,
    /// The command is rejected, because its term is not the current one (or, for an assignment, not the next one).
    Fenced,
    /// The batch job is ended, by this command or an earlier one.
    Ended {
        /// Incarnation and term of the driver that this command stops; `None` if the batch job was ended before.
        stopped: Option<(u64, DriverTerm)>,
    },
    /// The new driver is assigned.
    DriverAssigned,
    /// The batch job is deleted.
    Deleted,
    /// The ages are recorded.
    AgesRecorded,
    /// The state is unchanged: there is no such batch job, or the command does not apply to its current state.
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
    /// Id of the batch job that the command changes, if it changes exactly one.
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
