//! The text of an item holds each event once and in order, and texts are kept within bounds.

mod rollout_plan_common;

use gingerledge_data::rollout::event_stream::Event;
use gingerledge_data::rollout::plan::{EventAddition, GeneratedText, MAX_TEXT_BYTES};
use rollout_plan_common::text;
use yare::parameterized;

fn add(text: &mut GeneratedText, id: u64) -> EventAddition {
    text.append(Event { id, version: None, data: b"x" }, Some(1))
}

#[parameterized(
    the_next = { 5, EventAddition::Appended },
    the_last_again = { 4, EventAddition::Duplicate },
    one_before = { 1, EventAddition::Duplicate },
    one_left_out = { 6, EventAddition::NotAppendable },
)]
fn an_event_after_the_fourth(id: u64, expected: EventAddition) {
    let before = text(4, 1);
    let mut after = before.clone();
    assert_eq!(add(&mut after, id), expected);
    assert_eq!(after == before, expected != EventAddition::Appended);
}

#[parameterized(
    counted_from_0 = { 0, EventAddition::Appended },
    counted_from_1 = { 1, EventAddition::Appended },
    later = { 2, EventAddition::NotAppendable },
)]
fn the_first_event(id: u64, expected: EventAddition) {
    assert_eq!(add(&mut GeneratedText::default(), id), expected);
}

#[test]
fn versions_are_those_of_the_appended_events() {
    let mut text = text(2, 5);
    text.append(Event { id: 2, version: None, data: b"again" }, Some(6));
    text.append(Event { id: 4, version: None, data: b"gap" }, Some(7));
    assert_eq!(text.versions(), [5]);
    text.append(Event { id: 3, version: None, data: b"next" }, Some(8));
    assert_eq!(text.versions(), [5, 8]);
    assert_eq!(text.into_parts().0, b"1v5\n2v5\nnext");
}

#[test]
fn an_empty_event_is_an_event() {
    let mut text = text(1, 1);
    text.append(Event { id: 2, version: None, data: b"" }, Some(1));
    text.append(Event { id: 3, version: None, data: b"end" }, Some(1));
    assert_eq!(text.into_parts().0, b"1v1\n\nend");
}

#[test]
fn a_text_is_bounded() {
    let mut text = GeneratedText::default();
    let large = vec![b'x'; MAX_TEXT_BYTES / 2];
    let added: Vec<EventAddition> =
        (1..=3).map(|id| text.append(Event { id, version: None, data: &large }, Some(1))).collect();
    assert_eq!(added, [EventAddition::Appended, EventAddition::NotAppendable, EventAddition::NotAppendable]);
}

#[parameterized(
    all_allowed = { 1, false, true },
    one_too_old = { 2, false, false },
    several_where_one_is_allowed = { 1, true, false },
)]
fn whether_versions_are_allowed(min_version: u64, single: bool, expected: bool) {
    let mut mixed = text(1, 1);
    mixed.append(Event { id: 2, version: None, data: b"x" }, Some(2));
    assert_eq!(mixed.has_allowed_versions(min_version, single), expected);
}
