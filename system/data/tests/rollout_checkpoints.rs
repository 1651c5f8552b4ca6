//! Texts so far are saved with their batch job, and whoever drives it next goes on from there.

mod common;
mod rollout_common;

use common::runtime::run;
use std::borrow::Cow;

use gingerledge_data::rollout::event_stream::Event;
use gingerledge_data::rollout::plan::{CheckpointedTexts, GeneratedText, TextView};
use gingerledge_wire::PartialText;
use rollout_common::*;
use yare::parameterized;

const TERM: u64 = 4;
const ORIGIN: u64 = 11;
const PLENTY: usize = 1 << 20;

/// A text of the events from 1 to `last`, as the engines of these tests make it.
fn text(item: &str, last: u64) -> GeneratedText {
    let mut text = GeneratedText::default();
    for id in 1..=last {
        text.append(Event { id, version: None, data: format!("{item}.{id}").as_bytes() }, Some(2));
    }
    text
}

fn view(text: &GeneratedText, origin: u64) -> TextView<'_> {
    TextView { item: 0, origin, text, is_complete: false }
}

fn part(saved: &CheckpointedTexts, text: &GeneratedText, origin: u64) -> Option<PartialText> {
    saved.next_parts(std::iter::once(view(text, origin)), PLENTY).pop()
}

fn kept(saved: &mut CheckpointedTexts, part: PartialText) {
    let sizes = saved.sizes_with(std::slice::from_ref(&part));
    saved.on_acknowledged(&[part], &sizes);
}

fn data(part: &PartialText) -> Cow<'_, str> {
    String::from_utf8_lossy(&part.data)
}

#[test]
fn checkpoints_hold_only_new_events_and_their_parts_make_the_text() {
    let mut saved = CheckpointedTexts::default();
    let mut whole = Vec::new();
    let mut after = None;
    for last in [2, 3, 5] {
        let part = part(&saved, &text("i0", last), ORIGIN).expect("a part");
        assert_eq!((part.previous_event_id, part.last_event_id), (after, last));
        whole.extend_from_slice(&part.data);
        kept(&mut saved, part);
        after = Some(last);
    }
    assert_eq!(part(&saved, &text("i0", 5), ORIGIN), None, "nothing is new");
    assert_eq!(whole, text("i0", 5).into_parts().0);
}

#[test]
fn an_empty_text_is_not_checkpointed() {
    assert_eq!(part(&CheckpointedTexts::default(), &GeneratedText::default(), ORIGIN), None);
}

#[test]
fn a_text_generated_from_scratch_is_checkpointed_from_its_start() {
    let mut saved = CheckpointedTexts::default();
    let first = part(&saved, &text("i0", 3), ORIGIN).expect("a part");
    kept(&mut saved, first);
    let again = part(&saved, &text("other", 5), ORIGIN + 1).expect("a part");
    assert_eq!((again.previous_event_id, again.origin), (None, ORIGIN + 1));
    assert!(data(&again).starts_with("other.1"));
}

#[test]
fn after_an_unacknowledged_part_the_next_one_starts_at_the_beginning() {
    let mut saved = CheckpointedTexts::default();
    let first = part(&saved, &text("i0", 3), ORIGIN).expect("a part");
    kept(&mut saved, first);
    let second = part(&saved, &text("i0", 4), ORIGIN).expect("a part");
    saved.on_sent(std::slice::from_ref(&second));
    let third = part(&saved, &text("i0", 5), ORIGIN).expect("a part");
    assert_eq!((third.previous_event_id, third.last_event_id), (None, 5));
}

#[test]
fn the_completion_of_a_text_is_checkpointed_too() {
    let mut saved = CheckpointedTexts::default();
    let text = text("i0", EVENTS);
    let first = part(&saved, &text, ORIGIN).expect("a part");
    kept(&mut saved, first);
    let whole = TextView { is_complete: true, ..view(&text, ORIGIN) };
    let last = saved.next_parts(std::iter::once(whole), PLENTY).pop().expect("a part");
    assert_eq!((last.previous_event_id, last.is_complete, last.data.is_empty()), (Some(EVENTS), true, true));
}

#[test]
fn a_checkpoint_is_bounded_and_further_parts_wait() {
    let saved = CheckpointedTexts::default();
    let texts = [text("i0", 3), text("i1", 3)];
    let views =
        texts.iter().enumerate().map(|(item, text)| TextView { item: item as u32, ..view(text, ORIGIN) });
    let parts = saved.next_parts(views, texts[0].len());
    assert_eq!(parts.iter().map(|part| part.item).collect::<Vec<_>>(), [0]);
}

/// What another driver has saved of item 0.
fn saved_before(last_id: u64, version: u64) -> PartialText {
    let (data, _) = text("i0", last_id).into_parts();
    let whole = last_id == EVENTS;
    PartialText {
        item: 0,
        origin: ORIGIN,
        previous_event_id: None,
        last_event_id: last_id,
        data,
        versions: vec![version],
        is_complete: whole,
    }
}

#[test]
fn texts_in_flight_are_checkpointed() {
    run(async {
        let world = World::start(Route::default()).await;
        let script = |asked: &Asked| if asked.nth == 0 { Does::HangAfter(2) } else { Does::HangAfter(3) };
        let engine = Engine::start("a", 2, script).await;
        world.learn_engine(&engine);
        world.backend.tell_to_drive(world.shared.address(), job("j", 1, 2), TERM, Vec::new());
        until("both are saved", || world.backend.saved("j").len() >= 2).await;
        for part in world.backend.saved("j") {
            assert_eq!((part.previous_event_id, part.last_event_id), (None, 2));
            assert_eq!(data(&part), format!("i{0}.1\ni{0}.2", part.item));
        }
    });
}

#[parameterized(
    in_the_middle = { 3, 2 },
    all_but_its_end = { EVENTS - 1, 2 },
)]
fn the_next_driver_resumes_after_the_checkpoint(last_id: u64, version: u64) {
    run(async move {
        let world = World::start(Route::default()).await;
        let engine = Engine::start("a", 2, |_| Does::Stream).await;
        world.learn_engine(&engine);
        let texts = vec![saved_before(last_id, version)];
        world.backend.tell_to_go_on(world.shared.address(), job("j", 1, 1), TERM, Vec::new(), texts);
        until("a result", || world.backend.results("j").len() == 1).await;
        let heard = engine.heard();
        assert_eq!(heard.iter().map(|asked| asked.last_event).collect::<Vec<_>>(), [Some(last_id)]);
        let result = world.backend.results("j").remove(0);
        assert_eq!(String::from_utf8_lossy(&result.text), whole_text("i0"));
        assert_eq!(result.versions, [2]);
    });
}

#[test]
fn a_text_checkpointed_as_complete_is_only_scored() {
    run(async {
        let world = World::start(Route::default()).await;
        let engine = Engine::start("a", 2, |_| Does::Silence).await;
        world.learn_engine(&engine);
        let texts = vec![saved_before(EVENTS, 2)];
        world.backend.tell_to_go_on(world.shared.address(), job("j", 1, 1), TERM, Vec::new(), texts);
        until("a result", || world.backend.results("j").len() == 1).await;
        assert!(engine.heard().is_empty());
        assert_eq!(world.rewards.heard().len(), 1);
        assert_eq!(String::from_utf8_lossy(&world.backend.results("j")[0].text), whole_text("i0"));
    });
}

#[test]
fn a_checkpoint_of_a_version_that_is_too_old_is_not_used() {
    run(async {
        let world = World::start(Route::default()).await;
        let engine = Engine::start("a", 2, |_| Does::Stream).await;
        world.learn_engine(&engine);
        let texts = vec![saved_before(3, 1)];
        world.backend.tell_to_go_on(world.shared.address(), job("j", 1, 1), TERM, Vec::new(), texts);
        until("a result", || world.backend.results("j").len() == 1).await;
        assert_eq!(engine.heard()[0].last_event, None);
        assert_eq!(world.backend.results("j")[0].versions, [2]);
    });
}

#[test]
fn an_empty_stream_without_a_version_completes_a_resumed_text() {
    run(async {
        let world = World::start(Route::default()).await;
        let engine = Engine::start("a", 2, |_| Does::NothingMore).await;
        world.learn_engine(&engine);
        let mut all_events = saved_before(EVENTS, 2);
        all_events.is_complete = false;
        let texts = vec![all_events];
        world.backend.tell_to_go_on(world.shared.address(), job("j", 1, 1), TERM, Vec::new(), texts);
        until("a result", || world.backend.results("j").len() == 1).await;
        assert_eq!(engine.heard().len(), 1);
        assert_eq!(String::from_utf8_lossy(&world.backend.results("j")[0].text), whole_text("i0"));
    });
}
