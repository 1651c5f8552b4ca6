//! The limits and durations of a replica and of the control group.

use std::time::Duration;

/// Limits and durations of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Length of the shortest chain that commits: one more than the number of disks that may be lost at once.
    pub min_chain_length: usize,
    /// Maximum number of entries in one message.
    pub batch_entries: usize,
    /// Maximum size of the commands in one message, in bytes. A single larger command is sent alone.
    pub batch_bytes: usize,
    /// Maximum number of entries in flight to a follower without acknowledgement.
    pub max_inflight_entries: u64,
    /// Size of the entries in flight to a follower from which on no more are sent, in bytes.
    pub max_inflight_bytes: usize,
    /// Maximum number of uncommitted entries at the head; further commands are rejected as busy.
    pub max_uncommitted_entries: u64,
    /// Maximum size of the commands at the head that are not committed and applied, in bytes; further commands are rejected as
    /// busy.
    pub max_uncommitted_bytes: usize,
    /// Number of applied entries kept in memory for members that return.
    pub retain_entries: usize,
    /// Size of the applied entries kept in memory for members that return, in bytes.
    pub retain_bytes: usize,
    /// Size of one chunk of a snapshot, in bytes. Each message holds one chunk.
    pub chunk_bytes: usize,
    /// Largest snapshot accepted from another member, in bytes.
    pub max_snapshot_bytes: usize,
    /// Time after which a message that has not been acknowledged is sent again.
    pub resend_interval: Duration,
    /// Timeout of a read: it fails if it is not confirmed within this time.
    pub read_timeout: Duration,
    /// Maximum number of reads in progress; further reads fail.
    pub max_reads: usize,
    /// Maximum number of learners that a tail serves.
    pub max_learners: usize,
    /// Interval between the numbered barriers that the head sends through the chain; `None` if it sends none.
    pub barrier_interval: Option<Duration>,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            min_chain_length: 2,
            batch_entries: 256,
            batch_bytes: 256 * 1024,
            max_inflight_entries: 2048,
            max_inflight_bytes: 512 * 1024,
            max_uncommitted_entries: 4096,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            retain_entries: 1024,
            retain_bytes: 4 * 1024 * 1024,
            chunk_bytes: 128 * 1024,
            max_snapshot_bytes: 64 * 1024 * 1024,
            resend_interval: Duration::from_millis(200),
            read_timeout: Duration::from_millis(1000),
            max_reads: 1024,
            max_learners: 4,
            barrier_interval: None,
        }
    }
}

/// Limits and durations of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlChainSettings {
    /// Number of disks that may be lost at once: `faultTolerance.machines` of the deployment.
    pub fault_tolerance: usize,
    /// Target number of voters; at least `2 * fault_tolerance + 1`.
    pub target_voters: usize,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// A member from which no heartbeat has arrived for this time is left out of the chain.
    pub suspect_timeout: Duration,
    /// Additional time, on top of `suspect_timeout`, that the other members have for their first heartbeat after this process has
    /// started.
    pub startup_grace_period: Duration,
    /// A voter from which no heartbeat has arrived for this time is replaced, if a spare member is available.
    pub replace_after: Duration,
    /// A disk that has not completed a write for this time counts as unresponsive, and its member is left out of the chain.
    pub disk_timeout: Duration,
    /// Time that a proposer with a majority of promises waits for the promises of the other live voters.
    pub promise_grace_period: Duration,
    /// Time after which an attempt to change the membership is abandoned. It doubles with each failed attempt, up to four times
    /// this value.
    pub attempt_timeout: Duration,
    /// Minimum backoff before the next attempt; the actual backoff is random, between this and three times this. Also the
    /// additional delay with which each member of the chain proposes after the live member before it.
    pub retry_backoff: Duration,
    /// A learner is added to the chain once it lacks at most this number of committed entries.
    pub learner_max_lag: u64,
    /// Maximum number of known members that are not voters.
    pub max_non_voters: usize,
    /// Limits and durations of the replica. `min_chain_length` is derived from `fault_tolerance` instead.
    pub replica: ReplicaSettings,
}

impl ControlChainSettings {
    /// The default settings for a fault tolerance.
    #[must_use]
    pub fn new(fault_tolerance: usize) -> Self {
        let replica = ReplicaSettings {
            min_chain_length: fault_tolerance + 1,
            barrier_interval: Some(Duration::from_millis(250)),
            ..ReplicaSettings::default()
        };
        Self {
            fault_tolerance,
            target_voters: 2 * fault_tolerance + 1,
            heartbeat_interval: Duration::from_millis(150),
            suspect_timeout: Duration::from_millis(700),
            startup_grace_period: Duration::from_millis(700),
            replace_after: Duration::from_secs(3),
            disk_timeout: Duration::from_secs(1),
            promise_grace_period: Duration::from_millis(200),
            attempt_timeout: Duration::from_millis(700),
            retry_backoff: Duration::from_millis(150),
            learner_max_lag: 256,
            max_non_voters: 16,
            replica,
        }
    }
}
