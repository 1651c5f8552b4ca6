//! When the end of a store may be acknowledged to its caller.

use std::cell::Cell;
use std::time::Duration;

use gingerledge_control::sessions::{Confirmation, PendingAcknowledgements, MAX_PENDING_ACKNOWLEDGEMENTS};
use gingerledge_wire::Key;

const EPOCH: u64 = 4;
const START: Duration = Duration::from_secs(10);

fn key(number: u32) -> Key {
    Key::Store(format!("i-{number}"))
}

fn confirmation(token: u64) -> Confirmation {
    Confirmation { token, epoch: EPOCH }
}

/// One change that all members have.
fn replicated() -> PendingAcknowledgements<u32> {
    let mut acknowledgements = PendingAcknowledgements::default();
    assert_eq!(acknowledgements.add(START, key(1), 1), None);
    assert!(acknowledgements.needs_confirmation(|_| true));
    acknowledgements
}

#[test]
fn a_change_that_all_have_is_acknowledged_once_the_chain_has_confirmed_its_membership() {
    let mut acknowledgements = replicated();
    acknowledgements.on_confirmation_requested(confirmation(7), |_| true);
    assert!(!acknowledgements.needs_confirmation(|_| true), "it is requested once");
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| true), [1]);
    assert_eq!(acknowledgements.next_timer(), None);
}

#[test]
fn no_confirmation_is_requested_before_all_have_the_change() {
    let mut acknowledgements: PendingAcknowledgements<u32> = PendingAcknowledgements::default();
    acknowledgements.add(START, key(1), 1);
    assert!(!acknowledgements.needs_confirmation(|_| false));
    acknowledgements.on_confirmation_requested(confirmation(7), |_| false);
    assert_eq!(
        acknowledgements.on_confirmed(7, EPOCH, |_| true),
        [] as [u32; 0],
        "it was replicated only after the request"
    );
    assert!(acknowledgements.needs_confirmation(|_| true));
}

#[test]
fn a_confirmation_counts_for_what_was_replicated_when_it_was_requested() {
    let mut acknowledgements = replicated();
    acknowledgements.on_confirmation_requested(confirmation(7), |_| true);
    acknowledgements.add(START, key(2), 2);
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| true), [1]);
    acknowledgements.on_confirmation_requested(confirmation(8), |_| true);
    assert_eq!(acknowledgements.on_confirmed(8, EPOCH, |_| true), [2]);
}

#[test]
fn a_confirmation_of_another_epoch_acknowledges_nothing() {
    let mut acknowledgements = replicated();
    acknowledgements.on_confirmation_requested(confirmation(7), |_| true);
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH + 1, |_| true), [] as [u32; 0]);
    assert!(acknowledgements.needs_confirmation(|_| true), "the new members are evaluated");
}

#[test]
fn a_change_that_is_no_longer_replicated_is_not_acknowledged() {
    let mut acknowledgements = replicated();
    acknowledgements.on_confirmation_requested(confirmation(7), |_| true);
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| false), [] as [u32; 0]);
    assert!(acknowledgements.needs_confirmation(|_| true));
}

#[test]
fn a_confirmation_that_failed_is_requested_again() {
    let mut acknowledgements = replicated();
    acknowledgements.on_confirmation_requested(confirmation(7), |_| true);
    acknowledgements.on_confirmation_failed(6);
    assert!(!acknowledgements.needs_confirmation(|_| true), "another confirmation failed");
    acknowledgements.on_confirmation_failed(7);
    assert!(acknowledgements.needs_confirmation(|_| true));
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| true), [] as [u32; 0], "that request is over");
}

#[test]
fn an_acknowledgement_expires_within_the_second_that_stores_wait() {
    let mut acknowledgements = replicated();
    let due = acknowledgements.next_timer().expect("a timer");
    assert!(due < START + Duration::from_secs(1));
    assert!(acknowledgements.expire(due - Duration::from_millis(1)).is_empty());
    assert_eq!(acknowledgements.expire(due), [1]);
}

#[test]
fn pending_acknowledgements_are_bounded() {
    let mut acknowledgements = PendingAcknowledgements::default();
    let rejected = Cell::new(0);
    for number in 0..MAX_PENDING_ACKNOWLEDGEMENTS as u32 + 3 {
        rejected.set(rejected.get() + u32::from(acknowledgements.add(START, key(number), number).is_some()));
    }
    assert_eq!(rejected.get(), 3);
}

#[test]
fn replication_is_evaluated_only_when_something_has_happened() {
    let mut acknowledgements: PendingAcknowledgements<u32> = PendingAcknowledgements::default();
    acknowledgements.add(START, key(1), 1);
    assert!(!acknowledgements.needs_confirmation(|_| false));
    assert!(
        !acknowledgements.needs_confirmation(|_| panic!("nothing has happened since the last evaluation"))
    );
    acknowledgements.request_evaluation();
    assert!(acknowledgements.needs_confirmation(|_| true));
}
