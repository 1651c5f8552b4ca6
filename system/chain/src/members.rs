//! Member identities, the view of a chain, and the membership of the control group.

use serde::{Deserialize, Serialize};

/// The identity of a member, bound to its disk. It is generated at random when the disk is first used and stored on it; a member
/// whose disk was wiped therefore returns with another identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// The chain of a group in one epoch: the members in the order in which they replicate entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of the view. Each view is derived from the one with the preceding number.
    pub epoch: u64,
    /// The members, head first, tail last.
    pub chain: Vec<MemberId>,
}

impl View {
    /// The head of the chain, which accepts new commands.
    #[must_use]
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// The tail of the chain: an entry is committed once it is durable there.
    #[must_use]
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }

    /// Whether a member is in the chain.
    #[must_use]
    pub fn contains(&self, member: MemberId) -> bool {
        self.chain.contains(&member)
    }

    /// The member before `member` in the chain.
    #[must_use]
    pub fn predecessor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|other| *other == member)?;
        self.chain.get(position.checked_sub(1)?).copied()
    }

    /// The member after `member` in the chain.
    #[must_use]
    pub fn successor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|other| *other == member)?;
        self.chain.get(position + 1).copied()
    }
}

/// The membership of the control group in one epoch: the voters that decide the next membership, and the chain that replicates
/// the state in this epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Number of the membership.
    pub epoch: u64,
    /// The members whose majority decides the next membership.
    pub voters: Vec<MemberId>,
    /// The voters that replicate the state, head first.
    pub chain: Vec<MemberId>,
    /// Number of disks that may be lost at once. A chain of fewer than `fault_tolerance + 1` members commits nothing.
    pub fault_tolerance: usize,
}

impl Membership {
    /// The chain as a view of a [`Replica`](crate::Replica).
    #[must_use]
    pub fn view(&self) -> View {
        View { epoch: self.epoch, chain: self.chain.clone() }
    }

    /// The number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Length of the shortest chain that commits.
    #[must_use]
    pub fn min_chain_length(&self) -> usize {
        self.fault_tolerance + 1
    }

    /// Whether a member is a voter.
    #[must_use]
    pub fn is_voter(&self, member: MemberId) -> bool {
        self.voters.contains(&member)
    }
}
