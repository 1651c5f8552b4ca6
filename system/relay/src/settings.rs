//! The bounds and times of the tree.

use std::time::Duration;

use gingerledge_wire::Role;

const CONTROL_CHILDREN: usize = 24;
const EDGE_CHILDREN: usize = 8;

/// The bounds and times of the tree. All nodes of a system should have the same times.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// This node's zone; parents there are tried first. Empty if unknown.
    pub zone: String,
    /// The most children; 0 if this node accepts none.
    pub max_children: usize,
    /// A node is fresh while its newest tick is younger than this.
    pub freshness: Duration,
    /// A parent from which nothing has come for this long is left.
    pub parent_timeout: Duration,
    /// A child from which nothing has come for this long is dropped.
    pub child_timeout: Duration,
    /// A child gets at most one update in this time.
    pub update_interval: Duration,
    /// A child gets an update at least this often, also without changes.
    pub keepalive_interval: Duration,
    /// A child acknowledges at least this often.
    pub ack_interval: Duration,
    /// A child reports a change of its free slots at most this often.
    pub capacity_report_interval: Duration,
    /// How long a node waits for the response to a subscription.
    pub response_timeout: Duration,
    /// How long a node waits before it tries another parent as well.
    pub hedge_delay: Duration,
    /// The shortest backoff between rounds of attempts.
    pub min_backoff: Duration,
    /// The longest backoff between rounds of attempts.
    pub max_backoff: Duration,
    /// For how long an address that didn't respond is tried after all others.
    pub failure_penalty: Duration,
    /// A copy that is being sent in full may delay ticks for at most this long.
    pub snapshot_timeout: Duration,
    /// An update is not larger than about this, unless a single entry is.
    pub max_update_bytes: usize,
    /// The most bytes of entries in flight to one child.
    pub max_inflight_bytes: usize,
    /// The most changes kept for children; one further behind is dropped and subscribes again.
    pub max_logged_changes: usize,
    /// How long a tombstone is kept.
    pub tombstone_retention: Duration,
}

impl RelaySettings {
    /// The usual settings of a node with a role.
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
            freshness: Duration::from_millis(800),
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
