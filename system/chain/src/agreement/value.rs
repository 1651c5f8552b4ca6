//! Computation of the next membership from a set of promises.

use std::collections::BTreeMap;

use crate::{MemberId, Membership, ProposalNumber};

/// The content of a voter's promise.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    /// The value that the voter has accepted, with its proposal number.
    pub accepted: Option<(ProposalNumber, Membership)>,
    /// Whether the voter was in sync in the chain of the current membership.
    pub in_sync: bool,
}

/// A member to be added to the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Addition {
    pub member: MemberId,
    /// The voter that it replaces, if it is not a voter yet and the target number of voters has been reached.
    pub replaces: Option<MemberId>,
}

/// The next membership. `None` unless a member that was in sync in the current chain has promised: only such a member is certain
/// to hold everything that was acknowledged.
///
/// The members that stay in the chain keep their order, with those in sync first. The log of each member therefore begins with
/// the log of its successor.
pub(super) fn next_membership(
    present: &Membership,
    promises: &BTreeMap<MemberId, Promise>,
    is_excluded: impl Fn(MemberId) -> bool,
    addition: Option<Addition>,
) -> Option<Membership> {
    let is_in_sync = |member: &MemberId| promises.get(member).is_some_and(|promise| promise.in_sync);
    let can_stay = |member: &MemberId| promises.contains_key(member) && !is_excluded(*member);
    let staying = || present.chain.iter().copied().filter(can_stay);
    let mut chain: Vec<MemberId> = staying().filter(is_in_sync).collect();
    if chain.is_empty() {
        return None;
    }
    chain.extend(staying().filter(|member| !is_in_sync(member)));
    let mut voters = present.voters.clone();
    if let Some(Addition { member, replaces }) = addition {
        add_voter(&mut voters, member, replaces);
        chain.retain(|other| voters.contains(other));
        if !chain.contains(&member) {
            chain.push(member);
        }
    }
    extend_to_min_chain(&mut chain, present, &can_stay, &voters);
    Some(Membership { epoch: present.epoch + 1, voters, chain, fault_tolerance: present.fault_tolerance })
}

fn add_voter(voters: &mut Vec<MemberId>, member: MemberId, replaces: Option<MemberId>) {
    if voters.contains(&member) {
        return;
    }
    match replaces.and_then(|replaced| voters.iter_mut().find(|voter| **voter == replaced)) {
        Some(voter) => *voter = member,
        None => voters.push(member),
    }
}

/// Extends a chain that is too short to commit with other voters. It cannot commit until they have caught up, but without them it
/// could not commit either.
fn extend_to_min_chain(
    chain: &mut Vec<MemberId>,
    present: &Membership,
    can_stay: &impl Fn(&MemberId) -> bool,
    voters: &[MemberId],
) {
    for voter in voters.iter().filter(|voter| can_stay(voter)) {
        if chain.len() >= present.min_chain_length() {
            return;
        }
        if !chain.contains(voter) {
            chain.push(*voter);
        }
    }
}
