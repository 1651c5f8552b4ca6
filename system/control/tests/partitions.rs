//! The planner of partitions: which chains change when backends come, go, or are to be emptied.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerledge_control::coordinator::backends::{BackendReports, BackendSettings};
use gingerledge_control::coordinator::partitions::{Backend, BackendCondition, Backends, ChainChange};
use gingerledge_control::state::ControlState;
use gingerledge_wire::{
    BackendReport, Command, CommandOutcome, NodeRecord, PartitionRecord, Role, PARTITION_COUNT,
};
use yare::parameterized;

use BackendCondition::{Failed, Retiring, Unknown, Usable};

const FAULT_TOLERANCE: usize = 1;

fn backend(member: u64, zone: &str, condition: BackendCondition) -> Backend {
    Backend { member, zone: zone.to_owned(), condition }
}

fn backends(conditions: &[BackendCondition]) -> Backends {
    let all = conditions
        .iter()
        .enumerate()
        .map(|(at, condition)| backend(at as u64 + 1, &format!("zone-{at}"), *condition));
    Backends::new(all, FAULT_TOLERANCE)
}

fn record(epoch: u64, chain: &[u64], in_sync: &[u64]) -> PartitionRecord {
    PartitionRecord { epoch, chain: chain.to_vec(), in_sync: in_sync.to_vec() }
}

/// The change of partition 0, if it is the only one with a chain.
fn change_of(backends: &Backends, current: &PartitionRecord) -> Option<PartitionRecord> {
    let all = |_| Some(current);
    backends.plan(all).into_iter().find(|change| change.partition == 0).map(|change| change.record)
}

#[test]
fn the_first_chains_are_spread_evenly_over_zones() {
    let found = backends(&[Usable; 4]).plan(|_| None);
    assert_eq!(found.len(), usize::from(PARTITION_COUNT));
    let mut chains: BTreeMap<u64, usize> = BTreeMap::new();
    for ChainChange { record, .. } in &found {
        assert_eq!((record.epoch, record.chain.len(), record.in_sync.len()), (1, 2, 2));
        for member in &record.chain {
            *chains.entry(*member).or_default() += 1;
        }
    }
    let even = usize::from(PARTITION_COUNT) * 2 / 4;
    assert!(chains.values().all(|count| *count == even), "{chains:?}");
}

#[test]
fn two_backends_of_one_zone_are_taken_together_only_if_there_is_no_other() {
    let crowded = [backend(1, "a", Usable), backend(2, "a", Usable), backend(3, "b", Usable)];
    for ChainChange { record, .. } in Backends::new(crowded.clone(), FAULT_TOLERANCE).plan(|_| None) {
        assert!(record.chain.contains(&3), "{record:?}");
    }
    assert!(!Backends::new(crowded.into_iter().take(2), FAULT_TOLERANCE).plan(|_| None).is_empty());
}

#[parameterized(
    one_backend = { &[Usable], &[] },
    healthy = { &[Usable, Usable, Usable], &[] },
    not_known_yet = { &[Usable, Unknown, Usable], &[] },
    second_lost = { &[Usable, Failed, Usable], &[1, 3] },
    first_lost = { &[Failed, Usable, Usable], &[2, 3] },
    both_lost = { &[Failed, Failed, Usable, Usable], &[] },
    no_replacement = { &[Usable, Failed], &[] },
    replacement_retires = { &[Usable, Failed, Retiring], &[] },
    second_retires = { &[Usable, Retiring, Usable], &[1, 2, 3] },
    both_retire = { &[Retiring, Retiring, Usable, Usable], &[1, 2, 3, 4] },
    one_lost_one_retires = { &[Failed, Retiring, Usable, Usable], &[2, 3, 4] },
)]
fn a_chain_of_two_full_members_is_repaired(conditions: &[BackendCondition], expected: &[u64]) {
    let current = record(5, &[1, 2], &[1, 2]);
    let next = change_of(&backends(conditions), &current);
    let chain = next.as_ref().map(|next| next.chain.clone()).unwrap_or_default();
    assert_eq!(chain.iter().collect::<BTreeSet<_>>(), expected.iter().collect::<BTreeSet<_>>());
    if let Some(next) = next {
        assert_eq!(next.epoch, 6);
        let stay_full: Vec<u64> = next.chain.iter().copied().filter(|member| *member <= 2).collect();
        assert_eq!(next.in_sync, stay_full, "members that were full stay so and stand first");
        assert_eq!(&next.chain[..next.in_sync.len()], next.in_sync);
    }
}

#[test]
fn the_last_member_in_sync_is_never_removed() {
    let current = record(5, &[1, 3], &[1]);
    assert_eq!(change_of(&backends(&[Failed, Usable, Usable]), &current), None);
}

#[test]
fn a_member_that_was_filling_and_is_lost_is_replaced() {
    let current = record(5, &[1, 3], &[1]);
    let next = change_of(&backends(&[Usable, Usable, Failed]), &current).expect("a change");
    assert_eq!((next.chain, next.in_sync), (vec![1, 2], vec![1]));
}

#[test]
fn a_retiring_member_leaves_once_enough_others_are_in_sync() {
    let filling = record(5, &[1, 2, 3], &[1, 2]);
    let conditions = backends(&[Usable, Retiring, Usable]);
    assert_eq!(change_of(&conditions, &filling), None, "nothing changes while the third fills");
    let filled = record(5, &[1, 2, 3], &[1, 2, 3]);
    let next = change_of(&conditions, &filled).expect("a change");
    assert_eq!((next.chain, next.in_sync), (vec![1, 3], vec![1, 3]));
}

#[test]
fn a_retiring_member_keeps_its_position_before_the_members_in_sync_behind_it() {
    let current = record(4, &[2, 1], &[2, 1]);
    let next = change_of(&backends(&[Usable, Retiring, Usable]), &current).expect("a change");
    assert_eq!((next.chain, next.in_sync), (vec![2, 1, 3], vec![2, 1]));
}

#[parameterized(spared = { &[Usable, Usable, Usable], true }, needed = { &[Usable, Usable, Failed], false })]
fn a_backend_can_be_spared_only_if_enough_are_left(conditions: &[BackendCondition], spared: bool) {
    assert_eq!(backends(conditions).has_enough_without(1), spared);
}

/// Any course of losses, returns and emptyings, taken at random: every planned change is taken by the state, no chain is ever
/// without a full member that lives, and once all is calm all chains are whole and full.
#[test]
fn random_courses_never_lose_the_last_copy() {
    for seed in 0..60 {
        course(seed);
    }
}

fn course(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut state = ControlState::default();
    let mut sequence = 1;
    let fence = Command::AllocateFencingToken { incarnation: 1, address: ([10, 0, 0, 1], 1).into() };
    assert_eq!(state.apply(sequence, &fence), CommandOutcome::FencingToken(1));
    let mut conditions = [Usable; 5];
    for _ in 0..40 {
        disturb(&mut conditions, &mut random);
        carry_out(&mut state, &mut sequence, &conditions, seed);
        fill(&mut state, &mut sequence, &conditions, || random.u8(..3) > 0);
    }
    let calm = conditions.map(|condition| if condition == Failed { Usable } else { condition });
    for _ in 0..6 {
        carry_out(&mut state, &mut sequence, &calm, seed);
        fill(&mut state, &mut sequence, &calm, || true);
    }
    for (partition, record) in state.partitions().all() {
        let whole = record.chain.len() == FAULT_TOLERANCE + 1 && record.in_sync.len() == record.chain.len();
        let usable = record.chain.iter().all(|member| calm[*member as usize - 1] == Usable);
        assert!(whole && usable, "seed {seed}: partition {partition} ends as {record:?} under {calm:?}");
    }
}

/// One backend at most is lost at a time; one at most retires.
fn disturb(conditions: &mut [BackendCondition; 5], random: &mut fastrand::Rng) {
    for condition in conditions.iter_mut().filter(|condition| **condition == Failed) {
        *condition = Usable;
    }
    let at = random.usize(..conditions.len());
    let retires = conditions.contains(&Retiring);
    conditions[at] = match (conditions[at], random.u8(..4)) {
        (Retiring, _) => Retiring,
        (_, 0) if !retires => Retiring,
        (_, 1 | 2) => Failed,
        (condition, _) => condition,
    };
}

fn carry_out(state: &mut ControlState, sequence: &mut u64, conditions: &[BackendCondition; 5], seed: u64) {
    let plan = backends(conditions).plan(|partition| state.partitions().get(partition));
    for ChainChange { partition, record } in plan {
        *sequence += 1;
        let live = record.in_sync.iter().any(|member| conditions[*member as usize - 1] != Failed);
        assert!(live, "seed {seed}: {record:?} keeps no full member that lives");
        if let Some(before) = state.partitions().get(partition) {
            assert!(full_in_order(before, &record), "seed {seed}: {before:?} to {record:?}");
        }
        let outcome = state.apply(*sequence, &Command::SetPartition { partition, record, fencing_token: 1 });
        assert_eq!(outcome, CommandOutcome::Applied, "seed {seed}");
    }
}

/// Whether members that are full before a change stand before all others, in the order that they had: each holds all that
/// the next one does, which would not hold the other way round.
fn full_in_order(before: &PartitionRecord, after: &PartitionRecord) -> bool {
    let in_sync =
        before.chain.iter().filter(|member| before.in_sync.contains(member) && after.chain.contains(member));
    let in_sync: Vec<_> = in_sync.collect();
    after.chain.iter().take(in_sync.len()).collect::<Vec<_>>() == in_sync
}

/// Members that live become full, those that `happens` picks.
fn fill(
    state: &mut ControlState,
    sequence: &mut u64,
    conditions: &[BackendCondition; 5],
    mut happens: impl FnMut() -> bool,
) {
    let filling: Vec<(u16, u64, u64)> = state
        .partitions()
        .all()
        .flat_map(|(partition, record)| {
            record.chain.iter().map(move |member| (partition, record.epoch, *member))
        })
        .filter(|(_, _, member)| conditions[*member as usize - 1] != Failed)
        .collect();
    for (partition, epoch, member) in filling {
        if happens() {
            *sequence += 1;
            state.apply(*sequence, &Command::ReplicaInSync { partition, epoch, member });
        }
    }
}

const REPORTS: BackendSettings = BackendSettings {
    report_timeout: Duration::from_millis(1_500),
    grace_period: Duration::from_millis(3_000),
    settling_time: Duration::from_millis(700),
};

fn node(member: u64) -> NodeRecord {
    NodeRecord {
        role: Role::Backend,
        name: format!("backend-{member}"),
        incarnation: member * 10,
        member,
        address: ([10, 2, 0, member as u8], 7380).into(),
        zone: format!("zone-{member}"),
    }
}

fn condition_at(reports: &BackendReports, now: u64, since: u64, member: u64) -> Option<BackendCondition> {
    let chain = record(1, &[1, 2], &[1, 2]);
    let (now, since) = (Duration::from_millis(now), Duration::from_millis(since));
    let address_of = |member| Some(node(member).address);
    let all = reports.conditions(now, since, std::iter::once(&chain), address_of, |member| member == 9);
    all.into_iter().find(|backend| backend.member == member).map(|backend| backend.condition)
}

#[parameterized(
    heard_lately = { 1, 11_400, Usable },
    silent = { 1, 11_600, Failed },
    never_heard = { 2, 11_600, Failed },
    stalled = { 3, 10_100, Failed },
    retiring = { 9, 10_100, Retiring },
)]
fn conditions_of_a_settled_coordinator(member: u64, now: u64, expected: BackendCondition) {
    let mut reports = BackendReports::new(REPORTS);
    let at = Duration::from_millis(10_000);
    reports.on_report(at, &node(1), BackendReport::default());
    reports.on_report(at, &node(3), BackendReport { disk_stalled: true, ..BackendReport::default() });
    reports.on_report(at, &node(9), BackendReport::default());
    assert_eq!(condition_at(&reports, now, 0, member), Some(expected));
}

#[parameterized(never_heard = { 2 }, heard_long_ago = { 1 })]
fn a_new_coordinator_calls_nobody_lost_before_all_could_report(member: u64) {
    let mut reports = BackendReports::new(REPORTS);
    reports.on_report(Duration::from_millis(1_000), &node(1), BackendReport::default());
    assert_eq!(condition_at(&reports, 12_900, 10_000, member), Some(Unknown));
    assert_eq!(condition_at(&reports, 13_100, 10_000, member), Some(Failed));
}

/// Member 1 was at an address from which another disk reports: it is not waited for. One that is back there itself is what counts.
#[parameterized(
    another_disk = { &[(50, 1)], Failed },
    another_disk_after_it = { &[(1, 1), (50, 1)], Failed },
    another_disk_before_it = { &[(50, 1), (1, 1)], Usable },
    another_disk_elsewhere = { &[(50, 7)], Unknown },
)]
fn a_new_coordinator_calls_a_disk_lost_at_once_if_another_is_in_its_place(
    heard: &[(u64, u64)],
    expected: BackendCondition,
) {
    let mut reports = BackendReports::new(REPORTS);
    for (at, &(member, place)) in (10_010u64..).zip(heard) {
        let record = NodeRecord { address: node(place).address, ..node(member) };
        reports.on_report(Duration::from_millis(at), &record, BackendReport::default());
    }
    assert_eq!(condition_at(&reports, 10_100, 10_000, 1), Some(expected));
}

#[test]
fn disks_are_registered_at_the_address_they_report_from() {
    let mut reports = BackendReports::new(REPORTS);
    for member in [1, 2, 3] {
        reports.on_report(Duration::ZERO, &node(member), BackendReport::default());
    }
    let registered = |member| match member {
        1 => Some(node(1).address),
        2 => Some(node(7).address),
        _ => None,
    };
    assert_eq!(reports.unregistered(registered), [(2, node(2).address), (3, node(3).address)]);
}

#[test]
fn a_process_that_stood_still_calls_nobody_lost() {
    let mut reports = BackendReports::new(REPORTS);
    reports.on_report(Duration::from_millis(1_000), &node(1), BackendReport::default());
    reports.restart_timeouts(Duration::from_millis(20_000));
    assert_eq!(condition_at(&reports, 20_100, 0, 1), Some(Usable));
}

#[test]
fn the_first_partitions_wait_for_more_backends() {
    let mut reports = BackendReports::new(REPORTS);
    assert!(!reports.has_settled(Duration::from_secs(9)));
    reports.on_report(Duration::from_secs(9), &node(1), BackendReport::default());
    assert!(!reports.has_settled(Duration::from_millis(9_600)));
    assert!(reports.has_settled(Duration::from_millis(9_700)));
}

#[parameterized(
    news = { 2, 3, 1 }, of_an_older_epoch = { 1, 3, 0 }, known = { 2, 1, 0 }, outside_the_chain = { 2, 7, 0 },
    behind_one_that_is_not_known_to_be_full = { 2, 4, 0 }
)]
fn members_in_sync_are_reported_once_and_in_the_order_of_the_chain(epoch: u64, member: u64, expected: usize) {
    let mut reports = BackendReports::new(REPORTS);
    let report = BackendReport { in_sync: vec![(4, epoch)], ..BackendReport::default() };
    reports.on_report(Duration::ZERO, &node(member), report);
    let current = record(2, &[1, 3, 4], &[1]);
    let full = reports.newly_in_sync(|partition| (partition == 4).then_some(&current));
    assert_eq!(full.len(), expected);
}

#[parameterized(
    reordered = { &[2, 1], &[2, 1], false },
    a_new_one_before_those_that_stay = { &[1, 3, 2], &[1, 2], false },
    full_ones_not_first = { &[1, 3], &[3], false },
    a_new_one_behind = { &[1, 2, 3], &[1, 2], true },
    one_left = { &[2, 3], &[2], true },
)]
fn a_chain_that_gives_up_the_order_of_its_members_is_refused(chain: &[u64], in_sync: &[u64], taken: bool) {
    let mut state = ControlState::default();
    let fence = Command::AllocateFencingToken { incarnation: 1, address: ([10, 0, 0, 1], 1).into() };
    assert_eq!(state.apply(1, &fence), CommandOutcome::FencingToken(1));
    let first = Command::SetPartition { partition: 4, record: record(1, &[1, 2], &[1, 2]), fencing_token: 1 };
    assert_eq!(state.apply(2, &first), CommandOutcome::Applied);
    let second = Command::SetPartition { partition: 4, record: record(2, chain, in_sync), fencing_token: 1 };
    assert_eq!(state.apply(3, &second) == CommandOutcome::Applied, taken);
}
