//! The bounds and time spans of a replica and of the control group.

use std::time::Duration;

/// Bounds of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// The shortest chain that commits: one more than the disks that may be lost at once.
    pub min_chain_length: usize,
    /// Most entries in one message.
    pub batch_entries: usize,
    /// Most bytes of commands in one message (a single larger command goes alone).
    pub batch_bytes: usize,
    /// Most entries in flight to a follower without its acknowledgement.
    pub max_inflight_entries: u64,
    /// Most entries the head holds that aren't committed; more are rejected as busy.
    pub max_uncommitted_entries: u64,
    /// Most bytes of commands the head holds that aren't committed.
    pub max_uncommitted_bytes: usize,
    /// Committed entries kept in memory for members that come back.
    pub retain_entries: usize,
    /// Bytes of committed entries kept in memory for members that come back.
    pub retain_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Largest snapshot accepted from another member, in bytes.
    pub max_snapshot_bytes: usize,
    /// Sent again when not acknowledged for this long.
    pub resend_interval: Duration,
    /// A read that isn't confirmed by then fails.
    pub read_timeout: Duration,
    /// Most reads in progress at once; more fail.
    pub max_reads: usize,
    /// Most learners that a tail serves at once.
    pub max_learners: usize,
    /// Time between the numbered barriers that the head sends through the chain; none: it sends none.
    pub barrier_interval: Option<Duration>,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            min_chain_length: 2,
            batch_entries: 256,
            batch_bytes: 256 * 1024,
            max_inflight_entries: 2048,
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

/// Bounds and time spans of the control group. `fault_tolerance` is `faultTolerance.machines` of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlChainSettings {
    /// How many disks may be lost at once.
    pub fault_tolerance: usize,
    /// How many voters to strive for; at least `2 * fault_tolerance + 1`.
    pub target_voters: usize,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// A member not heard of for this long is left out of the chain.
    pub suspect_timeout: Duration,
    /// How much longer than `suspect_timeout` the others have after this process has started.
    pub startup_grace_period: Duration,
    /// A voter not heard of for this long is replaced, where a spare member is available.
    pub replace_after: Duration,
    /// A member whose disk hasn't completed a write for this long asks to leave the chain.
    pub disk_timeout: Duration,
    /// How long a proposer with a majority of promises waits for those of the other live voters.
    pub promise_grace_period: Duration,
    /// An attempt to change the view is abandoned after this; after failures, after up to four times this.
    pub attempt_timeout: Duration,
    /// Shortest backoff before the next attempt; it is drawn at random up to three times this. Also the lead of each member
    /// of the chain over the next one in proposing.
    pub retry_backoff: Duration,
    /// A learner that lacks at most this many committed entries is added to the chain.
    pub learner_max_lag: u64,
    /// Most known members that are no voters.
    pub max_non_voters: usize,
    /// Bounds of the replica. `min_chain_length` is taken from `fault_tolerance`.
    pub replica: ReplicaSettings,
}

impl ControlChainSettings {
    /// The usual settings for a fault tolerance.
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
