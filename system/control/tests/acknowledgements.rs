//! When the end of a store may be acknowledged.

use std::cell::Cell;
use std::time::Duration;

use gingerledge_control::sessions::{Confirmation, PendingAcknowledgements, MAX_PENDING_ACKNOWLEDGEMENTS};
use gingerledge_wire::Key;

const EPOCH: u64 = 4;
const START: Duration = Duration::from_secs(10);

fn key(number: u32) -> Key {
    Key::Store(format!("i-{number}"))
}

fn ask(token: u64) -> Confirmation {
    Confirmation { token, epoch: EPOCH }
}

/// One change that all members hold.
fn held() -> PendingAcknowledgements<u32> {
    let mut acknowledgements = PendingAcknowledgements::default();
    assert_eq!(acknowledgements.add(START, key(1), 1), None);
    assert!(acknowledgements.needs_confirmation(|_| true));
    acknowledgements
}

#[test]
fn what_all_hold_is_acknowledged_once_the_chain_has_confirmed_them() {
    let mut acknowledgements = held();
    acknowledgements.on_confirmation_requested(ask(7), |_| true);
    assert!(!acknowledgements.needs_confirmation(|_| true), "it is asked once");
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| true), [1]);
    assert_eq!(acknowledgements.next_timer(), None);
}

#[test]
fn the_chain_is_not_asked_before_all_hold_it() {
    let mut acknowledgements: PendingAcknowledgements<u32> = PendingAcknowledgements::default();
    acknowledgements.add(START, key(1), 1);
    assert!(!acknowledgements.needs_confirmation(|_| false));
    acknowledgements.on_confirmation_requested(ask(7), |_| false);
    assert_eq!(
        acknowledgements.on_confirmed(7, EPOCH, |_| true),
        [] as [u32; 0],
        "it was held only after the question"
    );
    assert!(acknowledgements.needs_confirmation(|_| true));
}

#[test]
fn a_confirmation_counts_for_what_was_held_when_it_was_asked_for() {
    let mut acknowledgements = held();
    acknowledgements.on_confirmation_requested(ask(7), |_| true);
    acknowledgements.add(START, key(2), 2);
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| true), [1]);
    acknowledgements.on_confirmation_requested(ask(8), |_| true);
    assert_eq!(acknowledgements.on_confirmed(8, EPOCH, |_| true), [2]);
}

#[test]
fn members_of_another_epoch_need_not_hold_it() {
    let mut acknowledgements = held();
    acknowledgements.on_confirmation_requested(ask(7), |_| true);
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH + 1, |_| true), [] as [u32; 0]);
    assert!(acknowledgements.needs_confirmation(|_| true), "the new members are looked at");
}

#[test]
fn what_changed_or_was_lost_meanwhile_is_not_acknowledged() {
    let mut acknowledgements = held();
    acknowledgements.on_confirmation_requested(ask(7), |_| true);
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| false), [] as [u32; 0]);
    assert!(acknowledgements.needs_confirmation(|_| true));
}

#[test]
fn a_question_that_failed_is_asked_again() {
    let mut acknowledgements = held();
    acknowledgements.on_confirmation_requested(ask(7), |_| true);
    acknowledgements.on_confirmation_failed(6);
    assert!(!acknowledgements.needs_confirmation(|_| true), "another question failed");
    acknowledgements.on_confirmation_failed(7);
    assert!(acknowledgements.needs_confirmation(|_| true));
    assert_eq!(acknowledgements.on_confirmed(7, EPOCH, |_| true), [] as [u32; 0], "it is over");
}

#[test]
fn who_waits_for_too_long_is_sent_elsewhere_within_the_second_that_stores_wait() {
    let mut acknowledgements = held();
    let due = acknowledgements.next_timer().expect("a timer");
    assert!(due < START + Duration::from_secs(1));
    assert!(acknowledgements.expire(due - Duration::from_millis(1)).is_empty());
    assert_eq!(acknowledgements.expire(due), [1]);
}

#[test]
fn no_more_wait_than_there_is_room_for() {
    let mut acknowledgements = PendingAcknowledgements::default();
    let refused = Cell::new(0);
    for number in 0..MAX_PENDING_ACKNOWLEDGEMENTS as u32 + 3 {
        refused.set(refused.get() + u32::from(acknowledgements.add(START, key(number), number).is_some()));
    }
    assert_eq!(refused.get(), 3);
}

#[test]
fn who_holds_what_is_looked_at_only_when_something_has_happened() {
    let mut acknowledgements: PendingAcknowledgements<u32> = PendingAcknowledgements::default();
    acknowledgements.add(START, key(1), 1);
    assert!(!acknowledgements.needs_confirmation(|_| false));
    assert!(!acknowledgements.needs_confirmation(|_| panic!("nothing has happened since the last look")));
    acknowledgements.reevaluate();
    assert!(acknowledgements.needs_confirmation(|_| true));
}
