//! Members and views: identities of disks, the view of a chain, and the membership of the control group.

use serde::{Deserialize, Serialize};

/// The identity of a member's disk. It is drawn at random when the disk is first used and kept on it, so that a wiped
/// disk comes back as another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// The order in which the members of one group pass entries on, in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of the view; each view follows from the one with the number before.
    pub epoch: u64,
    /// The members, head first, tail last.
    pub chain: Vec<MemberId>,
}

impl View {
    /// The member that takes new commands.
    #[must_use]
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// The member whose disk commits.
    #[must_use]
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }

    /// Whether a member is in the chain.
    #[must_use]
    pub fn contains(&self, member: MemberId) -> bool {
        self.chain.contains(&member)
    }

    /// The member before this one in the chain.
    #[must_use]
    pub fn predecessor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|other| *other == member)?;
        self.chain.get(position.checked_sub(1)?).copied()
    }

    /// The member after this one in the chain.
    #[must_use]
    pub fn successor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|other| *other == member)?;
        self.chain.get(position + 1).copied()
    }
}

/// The membership of the control group in one epoch: who votes on the next one, and who keeps the state in this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Number of this membership.
    pub epoch: u64,
    /// The members whose majority decides the next membership.
    pub voters: Vec<MemberId>,
    /// The voters that replicate the state, head first.
    pub chain: Vec<MemberId>,
    /// How many disks may be lost at once. A chain of fewer than one more commits nothing.
    pub fault_tolerance: usize,
}

impl Membership {
    /// The chain as a view of a [`Replica`](crate::Replica).
    #[must_use]
    pub fn view(&self) -> View {
        View { epoch: self.epoch, chain: self.chain.clone() }
    }

    /// How many voters make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The shortest chain that commits.
    #[must_use]
    pub fn min_chain_length(&self) -> usize {
        self.fault_tolerance + 1
    }

    /// Whether a member votes.
    #[must_use]
    pub fn is_voter(&self, member: MemberId) -> bool {
        self.voters.contains(&member)
    }
}
