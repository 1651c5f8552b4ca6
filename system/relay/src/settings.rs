//! Settings of the relay tree.

use std::time::Duration;

use gingerledge_wire::Role;

/// Maximum number of children of a control node.
const CONTROL_CHILDREN: usize = 24;
/// Maximum number of children of an edge.
const EDGE_CHILDREN: usize = 8;

/// Bounds and durations of the relay tree. All nodes of a deployment should use the same durations.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Zone of this node; parents in the same zone are tried first. Empty if unknown.
    pub zone: String,
    /// Maximum number of children; 0 if this node accepts none.
    pub max_children: usize,
    /// A node is fresh while its newest tick is younger than this.
    pub max_tick_age: Duration,
    /// Time without messages after which a node ends the subscription to its parent.
    pub parent_timeout: Duration,
    /// Time without messages after which a child is removed.
    pub child_timeout: Duration,
    /// Minimum interval between updates to a child.
    pub update_interval: Duration,
    /// Maximum interval between updates to a child; updates without changes are sent if necessary.
    pub keepalive_interval: Duration,
    /// Maximum interval between acknowledgements of a child.
    pub ack_interval: Duration,
    /// Minimum interval between acknowledgements that only report a changed number of free slots.
    pub capacity_report_interval: Duration,
    /// Time that a node waits for the response to a subscription in the first round of a search.
    pub response_timeout: Duration,
    /// Time that a node waits for a response before it tries another parent in addition, in the first round of a search.
    pub hedge_delay: Duration,
    /// Minimum backoff between rounds of attempts, before jitter.
    pub min_backoff: Duration,
    /// Maximum backoff between rounds of attempts.
    pub max_backoff: Duration,
    /// Time for which an address that did not respond is tried after all others.
    pub failure_penalty: Duration,
    /// Maximum time for which the transfer of a full copy may delay the first tick.
    pub snapshot_timeout: Duration,
    /// Approximate maximum size of the entries in one update, in bytes; a single larger entry is still sent.
    pub max_update_bytes: usize,
    /// Maximum size of the unacknowledged entries in flight to one child, in bytes; the last update may exceed it.
    pub max_inflight_bytes: usize,
    /// Maximum number of changes kept for children; a child that is further behind is removed and has to subscribe again.
    pub max_logged_changes: usize,
    /// Time for which a tombstone is kept.
    pub tombstone_retention: Duration,
}

impl RelaySettings {
    /// The default settings of a node with a role.
    #[must_use]
    pub fn for_role(role: Role, zone: &str) -> Self {
        let max_children = match role {
            Role::Control => CONTROL_CHILDREN,
            Role::Edge => EDGE_CHILDREN,
            Role::Backend => 0,
        };
        Self { zone: zone.to_owned(), max_children, ..Self::default() }
    }
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            max_children: 0,
            max_tick_age: Duration::from_millis(800),
            parent_timeout: Duration::from_millis(600),
            child_timeout: Duration::from_secs(3),
            update_interval: Duration::from_millis(20),
            keepalive_interval: Duration::from_millis(300),
            ack_interval: Duration::from_secs(1),
            capacity_report_interval: Duration::from_millis(100),
            response_timeout: Duration::from_millis(300),
            hedge_delay: Duration::from_millis(100),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(500),
            failure_penalty: Duration::from_secs(5),
            snapshot_timeout: Duration::from_secs(5),
            max_update_bytes: 64 * 1024,
            max_inflight_bytes: 256 * 1024,
            max_logged_changes: 16_384,
            tombstone_retention: Duration::from_secs(120),
        }
    }
}
