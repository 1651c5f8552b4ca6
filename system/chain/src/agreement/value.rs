//! The membership that follows from a set of promises.

use std::collections::BTreeMap;

use crate::{MemberId, Membership, ProposalNumber};

/// What a voter reported with its promise.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    pub accepted: Option<(ProposalNumber, Membership)>,
    /// Whether it counted in the chain of the present membership.
    pub in_sync: bool,
}

/// A member to be added to the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Addition {
    pub member: MemberId,
    /// The voter that it replaces, if it isn't a voter itself and there are enough.
    pub replaces: Option<MemberId>,
}

/// The next membership. None unless a member is among the promises that counted in the present chain: only such a one
/// is sure to hold everything that was acknowledged.
///
/// Members of the chain keep their order, those that count first, so that each log begins with the next one's.
pub(super) fn next_membership(
    present: &Membership,
    promises: &BTreeMap<MemberId, Promise>,
    is_left_out: impl Fn(MemberId) -> bool,
    addition: Option<Addition>,
) -> Option<Membership> {
    let is_in_sync = |member: &MemberId| promises.get(member).is_some_and(|promise| promise.in_sync);
    let can_stay = |member: &MemberId| promises.contains_key(member) && !is_left_out(*member);
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

/// Adds other voters to a chain too short to commit: it loses nothing by waiting until they have caught up.
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
