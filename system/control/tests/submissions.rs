//! Commands in flight to the head: resent when they may be lost, and expired at their deadlines.

use std::time::Duration;

use gingerledge_control::node::{SubmissionSettings, Submissions};
use gingerledge_wire::Command;

const SETTINGS: SubmissionSettings = SubmissionSettings {
    resend_interval: Duration::from_millis(600),
    retry_delay: Duration::from_millis(60),
    capacity: 2,
};
const LIMIT: Duration = Duration::from_millis(1_500);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn submissions() -> (Submissions<&'static str>, u64) {
    let mut submissions = Submissions::new(SETTINGS, 100);
    let request = submissions.add(ms(0), Command::Noop, LIMIT, "caller").expect("room");
    assert_eq!(submissions.take_due(ms(0)).len(), 1);
    (submissions, request)
}

#[test]
fn the_outcome_goes_to_the_caller_once() {
    let (mut submissions, request) = submissions();
    assert_eq!(submissions.complete(request), Some("caller"));
    assert_eq!(submissions.complete(request), None);
    assert!(submissions.is_empty());
}

#[test]
fn a_command_without_an_outcome_is_sent_again() {
    let (mut submissions, request) = submissions();
    assert!(submissions.take_due(ms(599)).is_empty());
    let again = submissions.take_due(ms(600));
    assert_eq!(again, [(request, Command::Noop)], "under the same number, so that either outcome will do");
}

#[test]
fn a_command_in_flight_is_sent_again_when_a_view_is_installed() {
    let (mut submissions, _) = submissions();
    submissions.on_view_installed(ms(200));
    assert_eq!(submissions.take_due(ms(200)).len(), 1);
}

#[test]
fn a_command_that_reached_no_head_is_retried_soon() {
    let (mut submissions, request) = submissions();
    submissions.on_send_failed(ms(10), request);
    assert_eq!(submissions.next_timer(), Some(ms(70)));
    assert_eq!(submissions.take_due(ms(70)).len(), 1);
}

#[test]
fn a_command_without_an_outcome_expires_at_its_deadline() {
    let (mut submissions, _) = submissions();
    assert!(submissions.expire(ms(1_499)).is_empty());
    assert_eq!(submissions.expire(ms(1_500)), ["caller"]);
    assert!(submissions.is_empty());
}

#[test]
fn commands_beyond_the_capacity_are_rejected() {
    let (mut submissions, _) = submissions();
    assert!(submissions.add(ms(0), Command::Noop, LIMIT, "second").is_ok());
    assert_eq!(submissions.add(ms(0), Command::Noop, LIMIT, "third"), Err("third"));
}
