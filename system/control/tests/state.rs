//! The durable state: what each command leads to, also when it comes again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use gingerledge_control::state::{ControlState, APPLIED_HISTORY, MAX_BACKENDS, REJECTED_HISTORY};
use gingerledge_protocol::ConfigurationDocument;
use gingerledge_wire::{
    Command, CommandOutcome, Key, PartitionRecord, RetirementState, Value, PARTITION_COUNT,
};
use yare::parameterized;

fn replace(base: u64, version: u64, text: &str) -> Command {
    Command::ReplaceConfiguration { base, version, json: Arc::new(text.as_bytes().to_vec()) }
}

fn update(base: u64, version: u64, mark: &str) -> Command {
    let json =
        format!(r#"{{"version":{version},"upsert":{{"services":[{{"name":"s","healthPath":"{mark}"}}]}}}}"#);
    Command::UpdateConfiguration { base, version, json: Arc::new(json.into_bytes()) }
}

/// An update that removes the service that a route of [`routed`] needs.
fn dangling(base: u64, version: u64) -> Command {
    let json = format!(r#"{{"version":{version},"remove":{{"services":["s"]}}}}"#);
    Command::UpdateConfiguration { base, version, json: Arc::new(json.into_bytes()) }
}

fn routed(base: u64, version: u64) -> Command {
    let routes =
        r#"[{"name":"r","host":"h","pathPrefix":"/","routeKind":"idempotent","timeoutMs":9,"service":"s"}]"#;
    replace(
        base,
        version,
        &format!(r#"{{"version":{version},"routes":{routes},"services":[{{"name":"s"}}]}}"#),
    )
}

fn name(version: u64) -> Command {
    Command::NameVersion { model: "m".to_owned(), version }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7380))
}

fn take_fence(last: u8, incarnation: u64) -> Command {
    Command::AllocateFencingToken { incarnation, address: address(last) }
}

fn set(epoch: u64, chain: &[u64], in_sync: &[u64], fencing_token: u64) -> Command {
    let record = PartitionRecord { epoch, chain: chain.to_vec(), in_sync: in_sync.to_vec() };
    Command::SetPartition { partition: 3, record, fencing_token }
}

/// Applies commands in order and returns the outcome of the last.
fn outcome(commands: &[Command]) -> (ControlState, CommandOutcome) {
    let mut state = ControlState::default();
    let mut last = CommandOutcome::Applied;
    for (at, command) in commands.iter().enumerate() {
        last = state.apply(at as u64 + 1, command);
    }
    (state, last)
}

const CONFLICT_AT_5: CommandOutcome = CommandOutcome::Conflict { current: 5 };

#[parameterized(
    first = { &[replace(0, 5, "a")], CommandOutcome::Applied },
    on_top = { &[replace(0, 5, "a"), replace(5, 9, "b")], CommandOutcome::Applied },
    again = { &[replace(0, 5, "a"), replace(0, 5, "a")], CommandOutcome::Applied },
    again_when_superseded = { &[replace(0, 5, "a"), replace(5, 9, "b"), replace(0, 5, "a")], CommandOutcome::Applied },
    lost_race = { &[replace(0, 5, "a"), replace(0, 6, "b")], CONFLICT_AT_5 },
    same_number_other_text = { &[replace(0, 5, "a"), replace(0, 5, "b")], CONFLICT_AT_5 },
    base_unknown_yet = { &[replace(0, 5, "a"), replace(7, 9, "b")], CONFLICT_AT_5 },
    refused_stays_refused = {
        &[replace(0, 5, "a"), replace(7, 9, "b"), replace(5, 7, "c"), replace(7, 9, "b")],
        CommandOutcome::Conflict { current: 7 }
    },
)]
fn configurations(commands: &[Command], expected: CommandOutcome) {
    assert_eq!(outcome(commands).1, expected);
}

#[parameterized(
    on_top = { &[routed(0, 5), update(5, 9, "a")], CommandOutcome::Applied },
    again = { &[routed(0, 5), update(5, 9, "a"), update(5, 9, "a")], CommandOutcome::Applied },
    again_when_superseded = {
        &[routed(0, 5), update(5, 9, "a"), routed(9, 11), update(11, 12, "b"), update(5, 9, "a")], CommandOutcome::Applied
    },
    lost_race = { &[routed(0, 5), update(5, 9, "a"), update(5, 8, "b")], CommandOutcome::Conflict { current: 9 } },
    lost_to_a_replacement = { &[routed(0, 5), routed(5, 9), update(5, 9, "a")], CommandOutcome::Conflict { current: 9 } },
    refused_stays_refused = {
        &[routed(0, 5), update(7, 9, "a"), update(5, 7, "b"), update(7, 9, "a")], CommandOutcome::Conflict { current: 7 }
    },
    invalid_again_once_it_is_passed = {
        &[routed(0, 5), dangling(5, 9), update(5, 9, "a"), dangling(5, 9)], CommandOutcome::Conflict { current: 9 }
    },
)]
fn updates(commands: &[Command], expected: CommandOutcome) {
    assert_eq!(outcome(commands).1, expected);
}

#[parameterized(
    nothing_to_update = { &[update(0, 5, "a")] },
    a_service_in_use = { &[routed(0, 5), dangling(5, 9)] },
    a_service_in_use_again = { &[routed(0, 5), dangling(5, 9), dangling(5, 9)] },
    lower = { &[routed(0, 5), update(5, 3, "a")] },
    on_a_text_that_is_none = { &[replace(0, 5, "a"), update(5, 9, "a")] },
)]
fn invalid_updates_change_nothing(commands: &[Command]) {
    let (state, last) = outcome(commands);
    assert!(matches!(last, CommandOutcome::Invalid { .. }), "{last:?}");
    let (before, _) = outcome(&commands[..1]);
    assert_eq!(state.configuration().document(), before.configuration().document());
}

/// The same bytes under the same number are another change as an update than as a replacement.
#[test]
fn an_update_and_a_replacement_of_one_number_and_text_are_two_changes() {
    let Command::UpdateConfiguration { json, .. } = update(5, 9, "a") else { panic!("an update") };
    let replacement = Command::ReplaceConfiguration { base: 5, version: 9, json };
    assert_eq!(
        outcome(&[routed(0, 5), update(5, 9, "a"), replacement.clone()]).1,
        CommandOutcome::Conflict { current: 9 }
    );
    assert_eq!(
        outcome(&[routed(0, 5), replacement, update(5, 9, "a")]).1,
        CommandOutcome::Conflict { current: 9 }
    );
}

#[test]
fn an_updated_configuration_survives_a_snapshot_and_is_updated_further() {
    let (state, _) = outcome(&[routed(0, 5), update(5, 9, "a")]);
    let mut restored = ControlState::restore(&state.snapshot().expect("a snapshot")).expect("own snapshot");
    assert_eq!(restored, state);
    assert_eq!(restored.apply(7, &update(9, 10, "b")), CommandOutcome::Applied);
    assert_eq!(
        restored.apply(8, &update(5, 9, "a")),
        CommandOutcome::Applied,
        "it was taken before the snapshot"
    );
    let json = restored.configuration().document().expect("a configuration").to_json();
    let text = String::from_utf8_lossy(&json);
    assert!(text.contains(r#""version":10"#) && text.contains(r#""healthPath":"b""#), "{text}");
}

#[parameterized(zero_first = { 0, 0 }, same = { 5, 5 }, lower = { 5, 3 })]
fn a_version_that_does_not_rise_is_invalid(base: u64, version: u64) {
    let (_, last) = outcome(&[replace(0, base, "a"), replace(base, version, "b")]);
    assert!(matches!(last, CommandOutcome::Invalid { .. }), "{last:?}");
}

#[test]
fn the_newest_configuration_stays_complete() {
    let (state, _) =
        outcome(&[replace(0, 5, "a"), replace(5, 9, "b"), replace(5, 8, "c"), replace(0, 5, "a")]);
    assert_eq!(state.configuration().version(), 9);
    let json = state.configuration().document().map(ConfigurationDocument::to_json);
    assert_eq!(json.as_ref().map(|json| json.as_slice()), Some(b"b".as_slice()));
    assert_eq!(state.configuration().sequence(), 2);
}

#[test]
fn a_day_of_changes_is_remembered_and_bounded() {
    let mut state = ControlState::default();
    let changes = APPLIED_HISTORY as u64 + 10;
    for version in 1..=changes {
        assert_eq!(state.apply(version, &replace(version - 1, version, "text")), CommandOutcome::Applied);
    }
    assert_eq!(state.apply(changes + 1, &replace(20, 21, "text")), CommandOutcome::Applied);
    assert_eq!(
        state.apply(changes + 2, &replace(20, 21, "other")),
        CommandOutcome::Conflict { current: changes }
    );
    // The same call may come for the second time, or a rival's for the first: neither may be answered clearly any more.
    assert_eq!(state.apply(changes + 3, &replace(0, 1, "text")), CommandOutcome::Indeterminate);
    assert_eq!(state.apply(changes + 4, &replace(0, 1, "other")), CommandOutcome::Indeterminate);
}

#[test]
fn a_change_rejected_on_a_newer_base_is_never_applied_however_many_are_rejected() {
    let mut state = ControlState::default();
    let change = |number: u64| replace(7, 9, &format!("change {number}"));
    let refused = REJECTED_HISTORY as u64;
    for number in 1..=refused {
        assert_eq!(state.apply(number, &change(number)), CommandOutcome::Conflict { current: 0 });
    }
    let one_too_many = change(refused + 1);
    assert_eq!(
        state.apply(refused + 1, &one_too_many),
        CommandOutcome::Indeterminate,
        "it may still be taken"
    );
    assert_eq!(state.apply(refused + 2, &replace(0, 7, "base")), CommandOutcome::Applied);
    for number in [1, 2, refused / 2, refused] {
        assert_eq!(state.apply(refused + 3, &change(number)), CommandOutcome::Conflict { current: 7 });
    }
    assert_eq!(state.apply(refused + 4, &one_too_many), CommandOutcome::Applied);
    for number in [1, refused] {
        assert_eq!(state.apply(refused + 5, &change(number)), CommandOutcome::Conflict { current: 9 });
    }
}

/// What every call was answered, remembered for ever, against a state that forgets.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 })]
fn no_answer_is_ever_contradicted(seed: u64) {
    const CALLS: u64 = 30_000;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut state = ControlState::default();
    let mut sent: Vec<(u64, u64, u8)> = Vec::new();
    let mut clear: BTreeMap<(u64, u64, u8), bool> = BTreeMap::new();
    // Two replacements, two updates and an update that is never valid; the first configuration is a replacement.
    let command = |(base, version, form): (u64, u64, u8)| match form {
        _ if base == 0 => routed(base, version),
        0 => routed(base, version),
        1 => replace(base, version, &format!(r#"{{"version":{version},"services":[{{"name":"s"}}]}}"#)),
        2 => update(base, version, "a"),
        3 => update(base, version, "b"),
        _ => Command::UpdateConfiguration { base, version, json: Arc::new(br#"{"upsert":{}}"#.to_vec()) },
    };
    let mut taken_on = BTreeMap::new();
    let (mut unknown, mut repeated) = (0, 0);
    for sequence in 1..=CALLS {
        let current = state.configuration().version();
        let call = match random.u8(..10) {
            0..=5 => (current, current + random.u64(0..4), random.u8(..5)),
            6 => (current + random.u64(1..3), current + random.u64(1..6), random.u8(..5)),
            _ if sent.is_empty() => continue,
            7 => sent[random.usize(..sent.len())],
            _ => sent[sent.len() - 1 - random.usize(..sent.len().min(40))],
        };
        let base = call.0;
        sent.push(call);
        // A restart in between changes nothing.
        if random.u16(..200) == 0 {
            state = ControlState::restore(&state.snapshot().expect("a snapshot")).expect("own snapshot");
        }
        let outcome = state.apply(sequence, &command(call));
        let taken = match outcome {
            CommandOutcome::Applied => true,
            CommandOutcome::Conflict { .. } | CommandOutcome::Invalid { .. } => false,
            CommandOutcome::Indeterminate => {
                unknown += 1;
                continue;
            }
            CommandOutcome::FencingToken(_) => panic!("no token was asked for"),
        };
        let before = clear.insert(call, taken);
        repeated += u64::from(before.is_some());
        assert!(before.is_none_or(|before| before == taken), "{call:?} was {before:?}, then {outcome:?}");
        if taken {
            assert_eq!(*taken_on.entry(base).or_insert(call), call, "two changes on one base");
        }
    }
    assert!(unknown > 100 && repeated > 1_000, "{unknown} unknown, {repeated} repeated");
}

#[parameterized(
    first = { &[2], 2 }, in_order = { &[2, 3], 3 }, again = { &[2, 2], 2 }, older = { &[2, 3, 2], 3 }, gap = { &[2, 5], 5 }
)]
fn versions_only_rise(named: &[u64], expected: u64) {
    let commands: Vec<Command> = named.iter().copied().map(name).collect();
    let (state, last) = outcome(&commands);
    assert_eq!(last, CommandOutcome::Applied);
    assert_eq!(state.versions().get("m"), Some(&expected));
}

/// Which machine has to be waited for is known through any number of restarts of the one that follows, until that one has waited.
#[test]
fn fencing_tokens_rise_by_one_and_name_the_previous_owner_on_another_machine() {
    let mut state = ControlState::default();
    let mut previous = Vec::new();
    let takes = [(1, 10), (1, 10), (1, 11), (2, 20), (2, 20), (2, 21), (1, 12)];
    for (at, (machine, incarnation)) in takes.into_iter().enumerate() {
        assert_eq!(
            state.apply(at as u64 + 1, &take_fence(machine, incarnation)),
            CommandOutcome::FencingToken(at as u64 + 1)
        );
        previous.push(
            state.fencing().and_then(|fence| fence.previous_owner.as_ref()).map(|holder| holder.incarnation),
        );
    }
    assert_eq!(previous, [None, None, None, Some(11), Some(11), Some(11), Some(21)]);
}

#[test]
fn a_machine_that_has_completed_its_handover_needs_no_other_after_a_restart() {
    let previous =
        |state: &ControlState| state.fencing().and_then(|fence| fence.previous_owner.clone()).is_some();
    let settle = |token: u64| Command::CompleteHandover { token };
    let (mut state, _) = outcome(&[take_fence(1, 10), take_fence(2, 20)]);
    assert_eq!(state.apply(3, &settle(1)), CommandOutcome::Conflict { current: 2 }, "an older token");
    assert!(previous(&state));
    assert_eq!(state.apply(4, &settle(2)), CommandOutcome::Applied);
    assert_eq!(state.apply(5, &settle(2)), CommandOutcome::Applied);
    assert_eq!(state.apply(6, &take_fence(2, 21)), CommandOutcome::FencingToken(3));
    assert!(!previous(&state));
    assert_eq!(state.apply(7, &take_fence(1, 11)), CommandOutcome::FencingToken(4));
    assert!(previous(&state), "it is the other machine's turn that is near now");
}

#[parameterized(
    first = { &[set(1, &[1, 2], &[1, 2], 1)], CommandOutcome::Applied },
    again = { &[set(1, &[1, 2], &[1, 2], 1), set(1, &[1, 2], &[1, 2], 1)], CommandOutcome::Applied },
    next = { &[set(1, &[1, 2], &[1, 2], 1), set(2, &[1, 3], &[1], 1)], CommandOutcome::Applied },
    epoch_skipped = { &[set(1, &[1, 2], &[1, 2], 1), set(3, &[1, 3], &[1], 1)], CommandOutcome::Conflict { current: 1 } },
    epoch_taken = { &[set(1, &[1, 2], &[1, 2], 1), set(1, &[1, 3], &[1], 1)], CommandOutcome::Conflict { current: 1 } },
    older_fence = { &[take_fence(2, 2), set(1, &[1, 2], &[1, 2], 1)], CommandOutcome::Conflict { current: 2 } },
)]
fn partitions(commands: &[Command], expected: CommandOutcome) {
    let mut all = vec![take_fence(1, 1)];
    all.extend(commands.iter().cloned());
    assert_eq!(outcome(&all).1, expected);
}

#[parameterized(
    no_full_member_kept = { set(2, &[3, 4], &[], 1) },
    full_that_was_not = { set(2, &[1, 3], &[1, 3], 1) },
    full_outside_chain = { set(2, &[1, 3], &[1, 2], 1) },
    member_twice = { set(2, &[1, 1], &[1], 1) },
    empty = { set(2, &[], &[], 1) },
    no_such_partition = {
        Command::SetPartition {
            partition: PARTITION_COUNT,
            record: PartitionRecord { epoch: 1, chain: vec![1], in_sync: vec![1] },
            fencing_token: 1,
        }
    },
)]
fn a_chain_that_would_lose_data_is_never_taken(change: Command) {
    let (state, last) = outcome(&[take_fence(1, 1), set(1, &[1, 2], &[1, 2], 1), change]);
    assert!(matches!(last, CommandOutcome::Invalid { .. }), "{last:?}");
    assert_eq!(state.partitions().get(3).map(|record| record.epoch), Some(1));
}

#[parameterized(
    member = { 2, 3, CommandOutcome::Applied, 2 },
    of_an_older_epoch = { 1, 3, CommandOutcome::Conflict { current: 2 }, 1 },
    full_already = { 2, 1, CommandOutcome::Applied, 1 },
)]
fn a_member_becomes_full(epoch: u64, member: u64, expected: CommandOutcome, in_sync: usize) {
    let mark = Command::ReplicaInSync { partition: 3, epoch, member };
    let (state, last) =
        outcome(&[take_fence(1, 1), set(1, &[1, 2], &[1, 2], 1), set(2, &[1, 3], &[1], 1), mark]);
    assert_eq!(last, expected);
    assert_eq!(state.partitions().get(3).map(|record| record.in_sync.len()), Some(in_sync));
}

#[test]
fn a_member_in_sync_raises_the_version_of_the_partitions_entry() {
    let (state, _) = outcome(&[take_fence(1, 1), set(1, &[1, 2], &[1, 2], 1), set(2, &[1, 3], &[1], 1)]);
    let before = state.changed_entries(&set(2, &[1, 3], &[1], 1));
    let mut state = state;
    let mark = Command::ReplicaInSync { partition: 3, epoch: 2, member: 3 };
    state.apply(9, &mark);
    let after = state.changed_entries(&mark);
    assert!(after[0].version > before[0].version);
    let next = set(3, &[1, 3], &[1, 3], 1);
    state.apply(10, &next);
    assert!(state.changed_entries(&next)[0].version > after[0].version);
}

#[test]
fn a_backend_is_complete_only_once_no_chain_has_it_and_all_have_their_copies() {
    let begin = Command::BeginRetirement { name: "b-1".to_owned(), member: 1 };
    let complete = Command::CompleteRetirement { name: "b-1".to_owned(), member: 1, replicas: 2 };
    let (mut state, last) =
        outcome(&[take_fence(1, 1), set(1, &[1, 2], &[1, 2], 1), begin.clone(), complete.clone()]);
    assert!(matches!(last, CommandOutcome::Invalid { .. }));
    assert_eq!(state.retirements().get("b-1").map(|retiring| retiring.state), Some(RetirementState::Active));
    // It was silent for a moment and lost its place; only one member holds everything until its replacement is filled.
    assert_eq!(state.apply(8, &set(2, &[2, 3], &[2], 1)), CommandOutcome::Applied);
    assert!(matches!(state.apply(9, &complete), CommandOutcome::Invalid { .. }));
    let full = Command::ReplicaInSync { partition: 3, epoch: 2, member: 3 };
    assert_eq!(state.apply(10, &full), CommandOutcome::Applied);
    assert_eq!(state.apply(11, &complete), CommandOutcome::Applied);
    assert_eq!(state.apply(12, &begin), CommandOutcome::Applied);
    assert_eq!(
        state.retirements().get("b-1").map(|retiring| retiring.state),
        Some(RetirementState::Completed)
    );
}

#[test]
fn registered_backends_are_kept_and_bounded() {
    let note = |member: u64, last: u8| Command::RegisterBackend { member, address: address(last) };
    let (mut state, last) = outcome(&[take_fence(1, 1), set(1, &[1, 2], &[1, 2], 1), note(1, 1), note(1, 2)]);
    assert_eq!(last, CommandOutcome::Applied);
    assert_eq!(state.backends().get(1), Some(address(2)));
    for member in 2..MAX_BACKENDS as u64 + 10 {
        assert_eq!(state.apply(member + 10, &note(member, 3)), CommandOutcome::Applied);
    }
    assert_eq!(state.backends().get(1), Some(address(2)), "it keeps a partition");
    assert_eq!(state.backends().get(100), None, "it keeps none");
}

#[test]
fn a_snapshot_brings_everything_back() {
    let (state, _) = outcome(&[
        take_fence(1, 1),
        replace(0, 5, "a"),
        replace(7, 8, "never"),
        name(2),
        set(1, &[1, 2], &[1, 2], 1),
        Command::BeginRetirement { name: "b-1".to_owned(), member: 1 },
    ]);
    let mut restored = ControlState::restore(&state.snapshot().expect("a snapshot")).expect("own snapshot");
    assert_eq!(restored, state);
    assert_eq!(restored.apply(9, &replace(0, 5, "a")), CommandOutcome::Applied);
    let keys: Vec<Key> = restored.registry_entries().into_iter().map(|entry| entry.key).collect();
    assert_eq!(
        keys,
        [Key::Configuration, Key::NamedVersion("m".to_owned()), Key::Partition(3), Key::Coordinator]
    );
}

#[test]
fn a_damaged_snapshot_is_an_error() {
    assert!(ControlState::restore(&[0xff; 3]).is_err());
    assert_eq!(ControlState::restore(&[]).expect("empty"), ControlState::default());
}

#[test]
fn the_entry_of_the_configuration_carries_the_bytes_as_sent() {
    let command = replace(0, 5, "{ \"as\" : \"sent\" }");
    let (state, _) = outcome(&[Command::Noop, command.clone()]);
    let entries = state.changed_entries(&command);
    assert_eq!(entries[0].version, 2);
    assert!(
        matches!(&entries[0].value, Value::Configuration(document) if document.to_json().as_slice() == b"{ \"as\" : \"sent\" }")
    );
}
