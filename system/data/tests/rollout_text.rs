//! The text of an item holds each event once and in order, and texts are kept within bounds.

mod rollout_plan_common;

use gingerledge_data::rollout::events::Event;
use gingerledge_data::rollout::plan::{Added, Text, MAX_TEXT_BYTES};
use rollout_plan_common::text;
use yare::parameterized;

fn add(text: &mut Text, id: u64) -> Added {
    text.add(Event { id, version: None, data: b"x" }, Some(1))
}

#[parameterized(
    the_next = { 5, Added::Appended },
    the_last_again = { 4, Added::Known },
    one_before = { 1, Added::Known },
    one_left_out = { 6, Added::Gap },
)]
fn an_event_after_the_fourth(id: u64, expected: Added) {
    let before = text(4, 1);
    let mut after = before.clone();
    assert_eq!(add(&mut after, id), expected);
    assert_eq!(after == before, expected != Added::Appended);
}

#[parameterized(
    counted_from_0 = { 0, Added::Appended },
    counted_from_1 = { 1, Added::Appended },
    later = { 2, Added::Gap },
)]
fn the_first_event(id: u64, expected: Added) {
    assert_eq!(add(&mut Text::default(), id), expected);
}

#[test]
fn versions_are_those_of_the_events_taken() {
    let mut text = text(2, 5);
    text.add(Event { id: 2, version: None, data: b"again" }, Some(6));
    text.add(Event { id: 4, version: None, data: b"gap" }, Some(7));
    assert_eq!(text.versions(), [5]);
    text.add(Event { id: 3, version: None, data: b"next" }, Some(8));
    assert_eq!(text.versions(), [5, 8]);
    assert_eq!(text.into_parts().0, b"1v5\n2v5\nnext");
}

#[test]
fn an_empty_event_is_an_event() {
    let mut text = text(1, 1);
    text.add(Event { id: 2, version: None, data: b"" }, Some(1));
    text.add(Event { id: 3, version: None, data: b"end" }, Some(1));
    assert_eq!(text.into_parts().0, b"1v1\n\nend");
}

#[test]
fn a_text_is_bounded() {
    let mut text = Text::default();
    let large = vec![b'x'; MAX_TEXT_BYTES / 2];
    let added: Vec<Added> =
        (1..=3).map(|id| text.add(Event { id, version: None, data: &large }, Some(1))).collect();
    assert_eq!(added, [Added::Appended, Added::Gap, Added::Gap]);
}

#[parameterized(
    all_allowed = { 1, false, true },
    one_too_old = { 2, false, false },
    several_where_one_is_allowed = { 1, true, false },
)]
fn whether_versions_fit(min_version: u64, single: bool, expected: bool) {
    let mut mixed = text(1, 1);
    mixed.add(Event { id: 2, version: None, data: b"x" }, Some(2));
    assert_eq!(mixed.fits(min_version, single), expected);
}
