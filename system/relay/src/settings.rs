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
    /// The most children; 0 if this node never takes any.
    pub max_children: usize,
    /// A node is fresh while its newest tick is younger than this.
    pub freshness: Duration,
    /// A parent that has sent nothing for this long is given up.
    pub parent_silence: Duration,
    /// A child that has sent nothing for this long is dropped.
    pub child_silence: Duration,
    /// A child gets at most one update in this time.
    pub update_interval: Duration,
    /// A child gets an update at least this often, also without news.
    pub keepalive: Duration,
    /// A child says at least this often that it lives.
    pub received_interval: Duration,
    /// A child says at most this often how much room it has.
    pub room_interval: Duration,
    /// How long a node waits for the answer to a subscription.
    pub answer_timeout: Duration,
    /// How long a node waits before it asks another as well.
    pub hedge_after: Duration,
    /// The shortest pause between rounds of attempts.
    pub retry_least: Duration,
    /// The longest pause between rounds of attempts.
    pub retry_most: Duration,
    /// For how long an address that didn't answer is asked after all others.
    pub failure_memory: Duration,
    /// A copy that is being sent in full may delay ticks for at most this long.
    pub snapshot_timeout: Duration,
    /// An update is not larger than about this, unless a single entry is.
    pub update_bytes: usize,
    /// The most bytes of entries on their way to one child.
    pub window_bytes: usize,
    /// The most changes kept for children; one further behind is dropped and subscribes again.
    pub max_pending: usize,
    /// How long an entry that says "gone" is kept.
    pub tombstone_retention: Duration,
}

impl RelaySettings {
    /// The usual settings of a node with a role.
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
            parent_silence: Duration::from_millis(600),
            child_silence: Duration::from_secs(3),
            update_interval: Duration::from_millis(20),
            keepalive: Duration::from_millis(300),
            received_interval: Duration::from_secs(1),
            room_interval: Duration::from_millis(100),
            answer_timeout: Duration::from_millis(300),
            hedge_after: Duration::from_millis(100),
            retry_least: Duration::from_millis(50),
            retry_most: Duration::from_millis(500),
            failure_memory: Duration::from_secs(5),
            snapshot_timeout: Duration::from_secs(5),
            update_bytes: 64 * 1024,
            window_bytes: 256 * 1024,
            max_pending: 16_384,
            tombstone_retention: Duration::from_secs(120),
        }
    }
}
