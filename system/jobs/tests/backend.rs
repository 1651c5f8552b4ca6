//! One backend alone: what its head and its tail answer, when, and what they keep.

mod bench;

use std::time::Duration;

use bench::{
    address, append, create, end, listed, read, renew, save, settings, Bench, EDGE, ME, NEXT_LIFE,
    OTHER_EDGE, PARTITION,
};
use gingerledge_chain::{LogRecord, MemberId};
use gingerledge_jobs::backend::{Backend, BackendEvent, DiskContent};
use gingerledge_jobs::partition::EdgeState;
use gingerledge_wire::{DriverLeaseState, JobsMessage, JobsRequest, JobsResponse, PartitionRecord};
use yare::parameterized;

#[test]
fn nothing_is_acknowledged_before_it_is_on_the_disk() {
    let mut bench = Bench::new(0);
    bench.ask_only(EDGE, create(10));
    assert!(bench.answers().is_empty());
    bench.sync();
    assert!(matches!(bench.answers()[..], [JobsResponse::Created { driver_term: Some(1) }]));
}

#[test]
fn a_chain_that_is_too_short_acknowledges_nothing() {
    let mut bench = Bench::new(1);
    assert!(bench.ask(create(10)).is_empty());
    bench.pass(5_000);
    assert!(bench.answers().is_empty());
}

#[test]
fn a_repeated_hand_in_waits_for_the_first_and_is_answered_too() {
    let mut bench = Bench::new(0);
    bench.ask_only(EDGE, create(10));
    bench.ask_only(OTHER_EDGE, create(10));
    assert!(bench.answers().is_empty());
    bench.sync();
    let answers = bench.answers();
    let drives: Vec<_> = answers
        .iter()
        .map(|answer| matches!(answer, JobsResponse::Created { driver_term: Some(_) }))
        .collect();
    assert_eq!(drives.iter().filter(|drives| **drives).count(), 1, "{answers:?}");
    assert_eq!(answers.len(), 2);
}

#[parameterized(fits = { 1_000, false }, too_large = { 8 * 1024 * 1024, true })]
fn what_does_not_fit_is_refused_before_it_is_proposed(body_bytes: usize, refused: bool) {
    let mut bench = Bench::new(0);
    let records = bench.records.len();
    let answers = bench.ask(create(body_bytes));
    assert_eq!(matches!(answers[..], [JobsResponse::CapacityExceeded]), refused, "{answers:?}");
    assert_eq!(bench.records.len() == records, refused);
}

#[test]
fn a_stalled_disk_takes_nothing_and_says_so() {
    let mut bench = Bench::new(0);
    bench.ask_only(EDGE, create(10));
    bench.now += Duration::from_millis(1_500);
    assert!(bench.backend.report(bench.now).disk_stalled);
    bench.ask_only(EDGE, JobsRequest::EndJob { job: "other".to_owned() });
    assert!(matches!(bench.answers()[..], [JobsResponse::Unavailable]));
    bench.sync();
    assert!(!bench.backend.report(bench.now).disk_stalled);
}

#[test]
fn a_read_waits_for_a_result() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    assert!(bench.ask(read(0, 1_000)).is_empty());
    bench.pass(500);
    let answers = bench.ask(append(1, 1));
    assert!(answers
        .iter()
        .any(|answer| matches!(answer, JobsResponse::Results { results, .. } if results.len() == 1)));
}

#[test]
fn a_read_is_answered_once_it_has_waited_long_enough() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    assert!(bench.ask(read(0, 400)).is_empty());
    bench.pass(390);
    assert!(bench.answers().is_empty());
    bench.pass(20);
    assert_eq!(listed(&bench.answers()), Some(0));
}

#[test]
fn nobody_waits_for_what_cannot_come() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.ask(append(1, 0));
    bench.ask(end());
    assert_eq!(listed(&bench.ask(read(1, 1_000))), Some(0));
    assert!(matches!(
        bench.ask(JobsRequest::ReadResults {
            job: "nothing".to_owned(),
            start_after: 0,
            wait_ms: 1_000,
            max_bytes: 1
        })[..],
        [JobsResponse::NotFound]
    ));
}

#[test]
fn a_driver_that_renews_stays_and_a_silent_one_is_replaced() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    for _ in 0..10 {
        bench.pass(1_000);
        assert!(
            matches!(&bench.ask(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
        );
    }
    bench.pass(1_600);
    let drive = bench.sent.iter().find_map(|message| match message {
        JobsMessage::AssignDriver { term, items_with_results, job, .. } => {
            Some((*term, items_with_results.len(), job.items.len()))
        }
        _ => None,
    });
    assert_eq!(drive, Some((2, 0, 2)));
    bench.sent.clear();
    assert!(
        matches!(&bench.ask(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Fenced])
    );
    assert!(matches!(bench.ask(append(1, 0))[..], [JobsResponse::Fenced]));
    assert!(matches!(bench.ask(append(2, 0))[..], [JobsResponse::Appended]));
}

#[test]
fn a_driver_that_is_taken_to_be_silent_by_mistake_drives_on() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.handle(BackendEvent::Edge { incarnation: EDGE, state: EdgeState::Silent });
    for _ in 0..10 {
        bench.pass(500);
        assert!(bench.told_terms().is_empty());
        assert!(
            matches!(&bench.ask(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
        );
        bench.edge_is_there(EDGE, address(EDGE));
    }
}

#[test]
fn nothing_is_driven_by_an_edge_that_is_silent() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.handle(BackendEvent::Edge { incarnation: OTHER_EDGE, state: EdgeState::Silent });
    bench.edge_is_there(NEXT_LIFE, address(NEXT_LIFE));
    bench.pass(1_600);
    let job = bench.backend.partition(PARTITION).and_then(|partition| partition.store().job("j"));
    assert_eq!(job.map(|job| job.driver().incarnation), Some(NEXT_LIFE));
}

#[test]
fn a_driver_that_said_that_it_ends_is_replaced_at_once() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.handle(BackendEvent::Edge { incarnation: EDGE, state: EdgeState::Ended });
    bench.sync();
    assert!(bench.sent.iter().any(|message| matches!(message, JobsMessage::AssignDriver { term: 2, .. })));
}

#[test]
fn after_everything_has_started_again_the_drivers_machine_drives_on_at_once() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.restart();
    bench.edge_is_there(OTHER_EDGE, address(OTHER_EDGE));
    assert!(bench.told_terms().is_empty(), "the driver may still come");
    bench.edge_is_there(NEXT_LIFE, address(EDGE));
    assert_eq!(bench.told_terms(), [2]);
    let job = bench.backend.partition(PARTITION).and_then(|partition| partition.store().job("j"));
    assert_eq!(job.map(|job| job.driver().incarnation), Some(NEXT_LIFE));
    bench.pass(500);
    assert!(
        matches!(&bench.ask(renew(2))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
    );
}

#[test]
fn edges_that_were_there_before_the_head_began_are_not_forgotten() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.restart_before_the_chain_is_known();
    bench.edge_is_there(NEXT_LIFE, address(EDGE));
    bench.learn_chain();
    assert_eq!(bench.told_terms(), [2]);
}

#[test]
fn the_next_driver_is_told_the_texts_that_were_saved() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    assert!(matches!(bench.ask(save(1, None, 3, b"one"))[..], [JobsResponse::Appended]));
    assert!(matches!(bench.ask(save(1, Some(3), 4, b"two"))[..], [JobsResponse::Appended]));
    bench.restart();
    bench.edge_is_there(NEXT_LIFE, address(EDGE));
    let texts = bench.sent.iter().find_map(|message| match message {
        JobsMessage::AssignDriver { term: 2, texts, .. } => Some(texts.clone()),
        _ => None,
    });
    let texts: Vec<_> = texts.unwrap().into_iter().map(|text| (text.last_event_id, text.data)).collect();
    assert_eq!(texts, [(4, b"onetwo".to_vec())]);
    bench.sent.clear();
    assert!(matches!(bench.ask(save(1, Some(4), 5, b"late"))[..], [JobsResponse::Fenced]));
    bench.ask(end());
    assert!(matches!(bench.ask(save(2, Some(4), 5, b"late"))[..], [JobsResponse::Ended]));
}

#[test]
fn a_driver_that_is_still_there_drives_on_when_the_head_has_started_again() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.restart();
    bench.edge_is_there(EDGE, address(EDGE));
    bench.edge_is_there(OTHER_EDGE, address(OTHER_EDGE));
    bench.pass(1_400);
    assert!(bench.told_terms().is_empty());
    assert!(
        matches!(&bench.ask(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
    );
}

#[test]
fn the_end_stops_the_driver() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.ask_only(OTHER_EDGE, end());
    bench.sync();
    assert!(bench.sent.iter().any(|message| matches!(message, JobsMessage::StopDriver { term: 1, .. })));
    bench.sent.clear();
    assert!(
        matches!(&bench.ask(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Ended])
    );
    assert!(matches!(bench.ask(append(1, 0))[..], [JobsResponse::Ended]));
}

#[test]
fn a_checkpoint_holds_what_the_records_before_it_held() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.ask(append(1, 1));
    let store = |backend: &Backend| backend.partition(PARTITION).map(|partition| partition.store().clone());
    let checkpoint = bench.backend.checkpoint().unwrap().unwrap();
    for records in [bench.records.clone(), checkpoint] {
        let content = DiskContent::read(records).unwrap();
        let mut again = Backend::new(MemberId(ME), content, settings(0), 2);
        let moment = Duration::ZERO;
        again.handle(moment, BackendEvent::Started, &mut Vec::new());
        assert_eq!(store(&again), store(&bench.backend));
    }
}

#[test]
fn outside_the_chain_nothing_is_kept_in_memory_or_comes_back_from_the_disk() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    let record = PartitionRecord { epoch: 2, chain: vec![9], in_sync: vec![9] };
    bench.handle(BackendEvent::Chain { partition: PARTITION, record });
    bench.sync();
    assert_eq!(bench.backend.report(bench.now).bytes, 0);
    let again = Backend::new(MemberId(ME), DiskContent::read(bench.records).unwrap(), settings(0), 2);
    let mut kept = DiskContent::read(again.checkpoint().unwrap().unwrap()).unwrap();
    let kept = kept.partitions.remove(&PARTITION).unwrap();
    assert!(kept.iter().all(|record| !matches!(record, LogRecord::Entry { .. })), "{kept:?}");
    assert!(kept.iter().any(|record| matches!(record, LogRecord::Snapshot { index: 0, .. })), "{kept:?}");
    assert!(
        kept.iter().any(|record| matches!(record, LogRecord::View { view, .. } if view.epoch == 2)),
        "{kept:?}"
    );
}
