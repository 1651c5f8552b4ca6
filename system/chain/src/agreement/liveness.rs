//! Who has been heard of, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Heartbeat, MemberId, Membership};

#[derive(Clone, Debug, Default)]
struct Peer {
    /// When it was heard of; none if it was only announced.
    heard_at: Option<Duration>,
    epoch: u64,
    ready: bool,
    sealed: bool,
    hears: Vec<MemberId>,
}

/// Heartbeats of the others.
#[derive(Clone, Debug)]
pub(super) struct Liveness {
    peers: BTreeMap<MemberId, Peer>,
    gone: BTreeSet<MemberId>,
    /// Most members known beside the voters.
    candidates: usize,
}

impl Liveness {
    pub fn new(candidates: usize) -> Self {
        Self { peers: BTreeMap::new(), gone: BTreeSet::new(), candidates }
    }

    /// A voter that was never heard of counts as heard of at a time.
    pub fn expect(&mut self, voter: MemberId, heard_at: Duration) {
        let peer = self.peers.entry(voter).or_default();
        if peer.heard_at.is_none() {
            peer.heard_at = Some(heard_at);
            peer.ready = true;
        }
    }

    pub fn announce(&mut self, member: MemberId, members: Option<&Membership>) {
        if self.has_room(member, members) {
            self.peers.entry(member).or_default();
        }
    }

    /// Voters always have room; of the others, the one silent the longest makes room.
    fn has_room(&mut self, member: MemberId, members: Option<&Membership>) -> bool {
        let is_voter = |member: &MemberId| members.is_some_and(|members| members.is_voter(*member));
        if self.peers.contains_key(&member) || is_voter(&member) {
            return true;
        }
        let others = self.peers.iter().filter(|(member, _)| !is_voter(member));
        if others.clone().count() >= self.candidates {
            let Some(oldest) = others.min_by_key(|(_, peer)| peer.heard_at).map(|(member, _)| *member) else {
                return false;
            };
            self.peers.remove(&oldest);
        }
        true
    }

    /// An identity won't come back.
    pub fn gone(&mut self, member: MemberId) {
        self.gone.insert(member);
        while self.gone.len() > self.candidates {
            self.gone.pop_first();
        }
    }

    pub fn heard(
        &mut self,
        now: Duration,
        from: MemberId,
        heartbeat: Heartbeat,
        members: Option<&Membership>,
    ) {
        if !self.has_room(from, members) {
            return;
        }
        let peer = self.peers.entry(from).or_default();
        peer.heard_at = peer.heard_at.max(Some(now));
        peer.epoch = heartbeat.epoch;
        peer.ready = heartbeat.disk_ready;
        peer.sealed = heartbeat.sealed;
        peer.hears = heartbeat.live_peers;
    }

    /// This process was paused: all that were heard of get another chance.
    pub fn excuse(&mut self, now: Duration) {
        for peer in self.peers.values_mut().filter(|peer| peer.heard_at.is_some()) {
            peer.heard_at = peer.heard_at.max(Some(now));
        }
    }

    /// Whether a member was heard of within a span and is not known to be gone.
    pub fn is_heard(&self, now: Duration, member: MemberId, within: Duration) -> bool {
        let heard_at = self.peers.get(&member).and_then(|peer| peer.heard_at);
        !self.gone.contains(&member) && heard_at.is_some_and(|at| at + within > now)
    }

    /// Whether a member was heard of within a span, and its disk answers.
    pub fn is_live(&self, now: Duration, member: MemberId, within: Duration) -> bool {
        self.is_heard(now, member, within) && self.peers.get(&member).is_some_and(|peer| peer.ready)
    }

    pub fn is_gone(&self, member: MemberId) -> bool {
        self.gone.contains(&member)
    }

    /// Whether a member says that it hears another.
    pub fn hears_other(&self, member: MemberId, other: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|peer| peer.hears.contains(&other))
    }

    /// Whether a member says that it has sealed an epoch.
    pub fn is_sealed(&self, member: MemberId, epoch: u64) -> bool {
        self.peers.get(&member).is_some_and(|peer| peer.sealed && peer.epoch == epoch)
    }

    pub fn epoch_of(&self, member: MemberId) -> u64 {
        self.peers.get(&member).map_or(0, |peer| peer.epoch)
    }

    pub fn hears(&self, now: Duration, within: Duration) -> Vec<MemberId> {
        self.peers.keys().copied().filter(|member| self.is_heard(now, *member, within)).collect()
    }

    /// Who gets heartbeats: the voters, and others that are there; from a member that knows no voters, everybody.
    pub fn receivers(
        &self,
        now: Duration,
        me: MemberId,
        members: Option<&Membership>,
        within: Duration,
    ) -> Vec<MemberId> {
        let mut receivers: BTreeSet<MemberId> =
            members.iter().flat_map(|members| members.voters.iter().copied()).collect();
        let is_voter = receivers.contains(&me);
        receivers.extend(
            self.peers.keys().copied().filter(|member| !is_voter || self.is_heard(now, *member, within)),
        );
        receivers.remove(&me);
        receivers.into_iter().collect()
    }
}
