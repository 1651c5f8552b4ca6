//! Failure detection: the time of the last heartbeat of each member, and the status that it reported.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Heartbeat, MemberId, Membership};

/// The last reported status of another member.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// When the last heartbeat arrived; `None` if the member has only been announced.
    last_heard_at: Option<Duration>,
    epoch: u64,
    disk_ready: bool,
    sealed: bool,
    live_peers: Vec<MemberId>,
}

/// The status of the other members according to their heartbeats.
#[derive(Clone, Debug)]
pub(super) struct Liveness {
    peers: BTreeMap<MemberId, Peer>,
    /// Identities that will not return, because their address has announced another identity.
    replaced: BTreeSet<MemberId>,
    /// Maximum number of known members that are not voters, and of identities in `replaced`.
    max_non_voters: usize,
}

impl Liveness {
    pub(super) fn new(max_non_voters: usize) -> Self {
        Self { peers: BTreeMap::new(), replaced: BTreeSet::new(), max_non_voters }
    }

    /// Treats a voter from which no heartbeat has arrived as if its last one had arrived at `last_heard_at`.
    pub(super) fn expect_heartbeat(&mut self, voter: MemberId, last_heard_at: Duration) {
        let peer = self.peers.entry(voter).or_default();
        if peer.last_heard_at.is_none() {
            peer.last_heard_at = Some(last_heard_at);
            peer.disk_ready = true;
        }
    }

    pub(super) fn on_announced(&mut self, member: MemberId, membership: Option<&Membership>) {
        if self.admit(member, membership) {
            self.peers.entry(member).or_default();
        }
    }

    /// Returns whether a member may be tracked. Voters always are. If there are too many other members, the one with the oldest
    /// heartbeat is removed to make room.
    fn admit(&mut self, member: MemberId, membership: Option<&Membership>) -> bool {
        let is_voter = |member: &MemberId| membership.is_some_and(|membership| membership.is_voter(*member));
        if self.peers.contains_key(&member) || is_voter(&member) {
            return true;
        }
        let non_voters = self.peers.iter().filter(|(member, _)| !is_voter(member));
        if non_voters.clone().count() >= self.max_non_voters {
            let Some(oldest) =
                non_voters.min_by_key(|(_, peer)| peer.last_heard_at).map(|(member, _)| *member)
            else {
                return false;
            };
            self.peers.remove(&oldest);
        }
        true
    }

    /// Records that an identity will not return, because its address has announced another one.
    pub(super) fn mark_replaced(&mut self, member: MemberId) {
        self.replaced.insert(member);
        while self.replaced.len() > self.max_non_voters {
            self.replaced.pop_first();
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: MemberId,
        heartbeat: Heartbeat,
        membership: Option<&Membership>,
    ) {
        if !self.admit(from, membership) {
            return;
        }
        let peer = self.peers.entry(from).or_default();
        peer.last_heard_at = peer.last_heard_at.max(Some(now));
        peer.epoch = heartbeat.epoch;
        peer.disk_ready = heartbeat.disk_ready;
        peer.sealed = heartbeat.sealed;
        peer.live_peers = heartbeat.live_peers;
    }

    /// Restarts the time-outs of all members from which a heartbeat has ever arrived. Called after a pause of this process.
    pub(super) fn restart_timeouts(&mut self, now: Duration) {
        for peer in self.peers.values_mut().filter(|peer| peer.last_heard_at.is_some()) {
            peer.last_heard_at = peer.last_heard_at.max(Some(now));
        }
    }

    /// Whether the last heartbeat of a member is not older than `max_age`, and the member has not been replaced.
    pub(super) fn is_reachable(&self, now: Duration, member: MemberId, max_age: Duration) -> bool {
        let last_heard_at = self.peers.get(&member).and_then(|peer| peer.last_heard_at);
        !self.replaced.contains(&member) && last_heard_at.is_some_and(|at| at + max_age > now)
    }

    /// Whether a member is reachable, and its last heartbeat reported a responsive disk.
    pub(super) fn is_live(&self, now: Duration, member: MemberId, max_age: Duration) -> bool {
        self.is_reachable(now, member, max_age) && self.peers.get(&member).is_some_and(|peer| peer.disk_ready)
    }

    pub(super) fn is_replaced(&self, member: MemberId) -> bool {
        self.replaced.contains(&member)
    }

    /// Whether the last heartbeat of `member` lists `other` as live.
    pub(super) fn reports_live(&self, member: MemberId, other: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|peer| peer.live_peers.contains(&other))
    }

    /// Whether the last heartbeat of a member reported that it has sealed an epoch.
    pub(super) fn has_sealed(&self, member: MemberId, epoch: u64) -> bool {
        self.peers.get(&member).is_some_and(|peer| peer.sealed && peer.epoch == epoch)
    }

    pub(super) fn epoch_of(&self, member: MemberId) -> u64 {
        self.peers.get(&member).map_or(0, |peer| peer.epoch)
    }

    pub(super) fn live_peers(&self, now: Duration, max_age: Duration) -> Vec<MemberId> {
        self.peers.keys().copied().filter(|member| self.is_reachable(now, *member, max_age)).collect()
    }

    /// The receivers of heartbeats. A voter sends to all voters and to all reachable members; a member that is not a voter sends
    /// to all known members.
    pub(super) fn heartbeat_receivers(
        &self,
        now: Duration,
        local_id: MemberId,
        membership: Option<&Membership>,
        max_age: Duration,
    ) -> Vec<MemberId> {
        let mut receivers: BTreeSet<MemberId> =
            membership.iter().flat_map(|membership| membership.voters.iter().copied()).collect();
        let is_voter = receivers.contains(&local_id);
        receivers.extend(
            self.peers.keys().copied().filter(|member| !is_voter || self.is_reachable(now, *member, max_age)),
        );
        receivers.remove(&local_id);
        receivers.into_iter().collect()
    }
}
