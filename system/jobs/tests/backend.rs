//! Tests of a single backend that is the whole chain: its responses as head and tail, the time of each response, and the stored
//! data.

mod common;

use std::time::Duration;

use common::single_backend::{
    address, append, create, end, read, renew, result_count, save_checkpoint, settings, SingleBackend, EDGE,
    MEMBER, NEXT_INCARNATION, OTHER_EDGE, PARTITION,
};
use gingerledge_chain::{LogRecord, MemberId};
use gingerledge_jobs::backend::{Backend, BackendEvent, DiskContent};
use gingerledge_jobs::partition::EdgeState;
use gingerledge_wire::{DriverLeaseState, JobsMessage, JobsRequest, JobsResponse, PartitionRecord};
use yare::parameterized;

#[test]
fn a_creation_is_not_acknowledged_before_it_is_durable() {
    let mut host = SingleBackend::new(0);
    host.send(EDGE, create(10));
    assert!(host.take_responses().is_empty());
    host.sync();
    assert!(matches!(host.take_responses()[..], [JobsResponse::Created { driver_term: Some(1) }]));
}

#[test]
fn a_chain_shorter_than_the_fault_tolerance_acknowledges_nothing() {
    let mut host = SingleBackend::new(1);
    assert!(host.request(create(10)).is_empty());
    host.advance(5_000);
    assert!(host.take_responses().is_empty());
}

#[test]
fn a_submission_during_a_pending_creation_gets_its_response_after_the_commit() {
    let mut host = SingleBackend::new(0);
    host.send(EDGE, create(10));
    host.send(OTHER_EDGE, create(10));
    assert!(host.take_responses().is_empty());
    host.sync();
    let responses = host.take_responses();
    let driver_flags: Vec<_> = responses
        .iter()
        .map(|response| matches!(response, JobsResponse::Created { driver_term: Some(_) }))
        .collect();
    assert_eq!(driver_flags.iter().filter(|is_driver| **is_driver).count(), 1, "{responses:?}");
    assert_eq!(responses.len(), 2);
}

#[parameterized(fits = { 1_000, false }, too_large = { 8 * 1024 * 1024, true })]
fn a_creation_beyond_the_capacity_is_rejected_without_a_proposal(body_bytes: usize, rejected: bool) {
    let mut host = SingleBackend::new(0);
    let records = host.records.len();
    let responses = host.request(create(body_bytes));
    assert_eq!(matches!(responses[..], [JobsResponse::CapacityExceeded]), rejected, "{responses:?}");
    assert_eq!(host.records.len() == records, rejected);
}

#[test]
fn a_stalled_disk_rejects_writes_and_is_reported() {
    let mut host = SingleBackend::new(0);
    host.send(EDGE, create(10));
    host.now += Duration::from_millis(1_500);
    assert!(host.backend.report(host.now).disk_stalled);
    host.send(EDGE, JobsRequest::EndJob { job: "other".to_owned() });
    assert!(matches!(host.take_responses()[..], [JobsResponse::Unavailable]));
    host.sync();
    assert!(!host.backend.report(host.now).disk_stalled);
}

#[test]
fn a_read_without_results_waits_for_the_next_one() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    assert!(host.request(read(0, 1_000)).is_empty());
    host.advance(500);
    let responses = host.request(append(1, 1));
    assert!(responses
        .iter()
        .any(|response| matches!(response, JobsResponse::Results { results, .. } if results.len() == 1)));
}

#[test]
fn a_read_without_results_returns_none_when_its_wait_is_over() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    assert!(host.request(read(0, 400)).is_empty());
    host.advance(390);
    assert!(host.take_responses().is_empty());
    host.advance(20);
    assert_eq!(result_count(&host.take_responses()), Some(0));
}

#[test]
fn a_read_of_an_ended_or_unknown_job_does_not_wait() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.request(append(1, 0));
    host.request(end());
    assert_eq!(result_count(&host.request(read(1, 1_000))), Some(0));
    assert!(matches!(
        host.request(JobsRequest::ReadResults {
            job: "nothing".to_owned(),
            start_after: 0,
            wait_ms: 1_000,
            max_bytes: 1
        })[..],
        [JobsResponse::NotFound]
    ));
}

#[test]
fn a_driver_that_renews_stays_and_one_that_stops_renewing_is_replaced() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    for _ in 0..10 {
        host.advance(1_000);
        assert!(
            matches!(&host.request(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
        );
    }
    host.advance(1_600);
    let assignment = host.sent.iter().find_map(|message| match message {
        JobsMessage::AssignDriver { term, items_with_results, job, .. } => {
            Some((*term, items_with_results.len(), job.items.len()))
        }
        _ => None,
    });
    assert_eq!(assignment, Some((2, 0, 2)));
    host.sent.clear();
    assert!(
        matches!(&host.request(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Fenced])
    );
    assert!(matches!(host.request(append(1, 0))[..], [JobsResponse::Fenced]));
    assert!(matches!(host.request(append(2, 0))[..], [JobsResponse::Appended]));
}

#[test]
fn an_unreachable_driver_that_still_renews_keeps_its_lease() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.handle(BackendEvent::EdgeChanged { incarnation: EDGE, state: EdgeState::Unreachable });
    for _ in 0..10 {
        host.advance(500);
        assert!(host.assigned_terms().is_empty());
        assert!(
            matches!(&host.request(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
        );
        host.edge_is_reachable(EDGE, address(EDGE));
    }
}

#[test]
fn an_unreachable_edge_is_not_chosen_as_driver() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.handle(BackendEvent::EdgeChanged { incarnation: OTHER_EDGE, state: EdgeState::Unreachable });
    host.edge_is_reachable(NEXT_INCARNATION, address(NEXT_INCARNATION));
    host.advance(1_600);
    let job = host.backend.partition(PARTITION).and_then(|partition| partition.store().job("j"));
    assert_eq!(job.map(|job| job.driver().incarnation), Some(NEXT_INCARNATION));
}

#[test]
fn a_driver_that_announces_its_shutdown_is_replaced_without_a_timeout() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.handle(BackendEvent::EdgeChanged { incarnation: EDGE, state: EdgeState::Ended });
    host.sync();
    assert!(host.sent.iter().any(|message| matches!(message, JobsMessage::AssignDriver { term: 2, .. })));
}

#[test]
fn after_a_restart_of_all_processes_the_next_incarnation_of_the_driver_is_assigned() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.restart();
    host.edge_is_reachable(OTHER_EDGE, address(OTHER_EDGE));
    assert!(host.assigned_terms().is_empty(), "the driver may still restart");
    host.edge_is_reachable(NEXT_INCARNATION, address(EDGE));
    assert_eq!(host.assigned_terms(), [2]);
    let job = host.backend.partition(PARTITION).and_then(|partition| partition.store().job("j"));
    assert_eq!(job.map(|job| job.driver().incarnation), Some(NEXT_INCARNATION));
    host.advance(500);
    assert!(
        matches!(&host.request(renew(2))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
    );
}

#[test]
fn a_new_head_assigns_edges_that_were_reachable_before_it_became_head() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.restart_without_chain();
    host.edge_is_reachable(NEXT_INCARNATION, address(EDGE));
    host.install_chain();
    assert_eq!(host.assigned_terms(), [2]);
}

#[test]
fn the_next_driver_receives_the_saved_texts() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    assert!(matches!(host.request(save_checkpoint(1, None, 3, b"one"))[..], [JobsResponse::Appended]));
    assert!(matches!(host.request(save_checkpoint(1, Some(3), 4, b"two"))[..], [JobsResponse::Appended]));
    host.restart();
    host.edge_is_reachable(NEXT_INCARNATION, address(EDGE));
    let texts = host.sent.iter().find_map(|message| match message {
        JobsMessage::AssignDriver { term: 2, texts, .. } => Some(texts.clone()),
        _ => None,
    });
    let texts: Vec<_> = texts.unwrap().into_iter().map(|text| (text.last_event_id, text.data)).collect();
    assert_eq!(texts, [(4, b"onetwo".to_vec())]);
    host.sent.clear();
    assert!(matches!(host.request(save_checkpoint(1, Some(4), 5, b"late"))[..], [JobsResponse::Fenced]));
    host.request(end());
    assert!(matches!(host.request(save_checkpoint(2, Some(4), 5, b"late"))[..], [JobsResponse::Ended]));
}

#[test]
fn a_reachable_driver_keeps_its_lease_over_a_restart_of_the_head() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.restart();
    host.edge_is_reachable(EDGE, address(EDGE));
    host.edge_is_reachable(OTHER_EDGE, address(OTHER_EDGE));
    host.advance(1_400);
    assert!(host.assigned_terms().is_empty());
    assert!(
        matches!(&host.request(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Held])
    );
}

#[test]
fn ending_a_job_stops_its_driver() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.send(OTHER_EDGE, end());
    host.sync();
    assert!(host.sent.iter().any(|message| matches!(message, JobsMessage::StopDriver { term: 1, .. })));
    host.sent.clear();
    assert!(
        matches!(&host.request(renew(1))[..], [JobsResponse::Renewed(states)] if states == &[DriverLeaseState::Ended])
    );
    assert!(matches!(host.request(append(1, 0))[..], [JobsResponse::Ended]));
}

#[test]
fn a_checkpoint_recovers_the_same_state_as_the_records_before_it() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.request(append(1, 1));
    let store = |backend: &Backend| backend.partition(PARTITION).map(|partition| partition.store().clone());
    let checkpoint = host.backend.checkpoint().unwrap().unwrap();
    for records in [host.records.clone(), checkpoint] {
        let content = DiskContent::read(records).unwrap();
        let mut recovered = Backend::new(MemberId(MEMBER), content, settings(0), 2);
        let now = Duration::ZERO;
        recovered.handle(now, BackendEvent::Started, &mut Vec::new());
        assert_eq!(store(&recovered), store(&host.backend));
    }
}

#[test]
fn a_member_outside_the_chain_has_no_state_in_memory_or_on_disk() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    let record = PartitionRecord { epoch: 2, chain: vec![9], in_sync: vec![9] };
    host.handle(BackendEvent::ChainChanged { partition: PARTITION, record });
    host.sync();
    assert_eq!(host.backend.report(host.now).bytes, 0);
    let restarted = Backend::new(MemberId(MEMBER), DiskContent::read(host.records).unwrap(), settings(0), 2);
    let mut recovered = DiskContent::read(restarted.checkpoint().unwrap().unwrap()).unwrap();
    let recovered = recovered.partitions.remove(&PARTITION).unwrap();
    assert!(recovered.iter().all(|record| !matches!(record, LogRecord::Entry { .. })), "{recovered:?}");
    assert!(
        recovered.iter().any(|record| matches!(record, LogRecord::Snapshot { index: 0, .. })),
        "{recovered:?}"
    );
    assert!(
        recovered.iter().any(|record| matches!(record, LogRecord::View { view, .. } if view.epoch == 2)),
        "{recovered:?}"
    );
}
