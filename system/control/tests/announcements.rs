//! When the end of a store may be acknowledged.

use std::cell::Cell;
use std::time::Duration;

use gingerledge_control::sessions::{Announcements, Confirmation, MAX_ANNOUNCEMENTS};
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
fn held() -> Announcements<u32> {
    let mut announcements = Announcements::default();
    assert_eq!(announcements.add(START, key(1), 1), None);
    assert!(announcements.wants_confirmation(|_| true));
    announcements
}

#[test]
fn what_all_hold_is_acknowledged_once_the_chain_has_confirmed_them() {
    let mut announcements = held();
    announcements.asked(ask(7), |_| true);
    assert!(!announcements.wants_confirmation(|_| true), "it is asked once");
    assert_eq!(announcements.confirmed(7, EPOCH, |_| true), [1]);
    assert_eq!(announcements.next_timer(), None);
}

#[test]
fn the_chain_is_not_asked_before_all_hold_it() {
    let mut announcements: Announcements<u32> = Announcements::default();
    announcements.add(START, key(1), 1);
    assert!(!announcements.wants_confirmation(|_| false));
    announcements.asked(ask(7), |_| false);
    assert_eq!(
        announcements.confirmed(7, EPOCH, |_| true),
        [] as [u32; 0],
        "it was held only after the question"
    );
    assert!(announcements.wants_confirmation(|_| true));
}

#[test]
fn a_confirmation_counts_for_what_was_held_when_it_was_asked_for() {
    let mut announcements = held();
    announcements.asked(ask(7), |_| true);
    announcements.add(START, key(2), 2);
    assert_eq!(announcements.confirmed(7, EPOCH, |_| true), [1]);
    announcements.asked(ask(8), |_| true);
    assert_eq!(announcements.confirmed(8, EPOCH, |_| true), [2]);
}

#[test]
fn members_of_another_epoch_need_not_hold_it() {
    let mut announcements = held();
    announcements.asked(ask(7), |_| true);
    assert_eq!(announcements.confirmed(7, EPOCH + 1, |_| true), [] as [u32; 0]);
    assert!(announcements.wants_confirmation(|_| true), "the new members are looked at");
}

#[test]
fn what_changed_or_was_lost_meanwhile_is_not_acknowledged() {
    let mut announcements = held();
    announcements.asked(ask(7), |_| true);
    assert_eq!(announcements.confirmed(7, EPOCH, |_| false), [] as [u32; 0]);
    assert!(announcements.wants_confirmation(|_| true));
}

#[test]
fn a_question_that_failed_is_asked_again() {
    let mut announcements = held();
    announcements.asked(ask(7), |_| true);
    announcements.not_confirmed(6);
    assert!(!announcements.wants_confirmation(|_| true), "another question failed");
    announcements.not_confirmed(7);
    assert!(announcements.wants_confirmation(|_| true));
    assert_eq!(announcements.confirmed(7, EPOCH, |_| true), [] as [u32; 0], "it is over");
}

#[test]
fn who_waits_for_too_long_is_sent_elsewhere_within_the_second_that_stores_wait() {
    let mut announcements = held();
    let due = announcements.next_timer().expect("a timer");
    assert!(due < START + Duration::from_secs(1));
    assert!(announcements.expired(due - Duration::from_millis(1)).is_empty());
    assert_eq!(announcements.expired(due), [1]);
}

#[test]
fn no_more_wait_than_there_is_room_for() {
    let mut announcements = Announcements::default();
    let refused = Cell::new(0);
    for number in 0..MAX_ANNOUNCEMENTS as u32 + 3 {
        refused.set(refused.get() + u32::from(announcements.add(START, key(number), number).is_some()));
    }
    assert_eq!(refused.get(), 3);
}

#[test]
fn who_holds_what_is_looked_at_only_when_something_has_happened() {
    let mut announcements: Announcements<u32> = Announcements::default();
    announcements.add(START, key(1), 1);
    assert!(!announcements.wants_confirmation(|_| false));
    assert!(!announcements.wants_confirmation(|_| panic!("nothing has happened since the last look")));
    announcements.look_again();
    assert!(announcements.wants_confirmation(|_| true));
}
