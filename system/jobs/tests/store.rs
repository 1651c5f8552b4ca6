//! Tests of the state of one partition: positions of results, terms, ends of batch jobs, and the storage and removal of data.

use std::net::SocketAddr;
use std::sync::Arc;

use gingerledge_jobs::store::{Command, EdgeProcess, Outcome, Store};
use gingerledge_wire::{ItemRecord, JobRecord, PartialText, ResultRecord, ScoringRecord};
use yare::parameterized;

const EDGE: u64 = 7;

fn edge(incarnation: u64) -> EdgeProcess {
    EdgeProcess { incarnation, address: SocketAddr::from(([10, 1, 0, 1], 7100)) }
}

fn item(id: &str) -> ItemRecord {
    ItemRecord {
        id: id.to_owned(),
        path: "/p/".to_owned(),
        headers: vec![("Model".to_owned(), "m".to_owned())],
        body: format!("body of {id}").into_bytes(),
        tokens: 10,
        group: "g".to_owned(),
        scoring: Some(ScoringRecord {
            id: format!("score of {id}"),
            host: "h".to_owned(),
            path: "/s".to_owned(),
            body: b"score".to_vec(),
        }),
    }
}

fn job(id: &str) -> Arc<JobRecord> {
    Arc::new(JobRecord {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/p/x".to_owned(),
        step: 0,
        model: "m".to_owned(),
        min_version: 1,
        desired_groups: 1,
        items: vec![item("a"), item("b"), item("c")],
    })
}

fn result(item: u32, text: &str) -> ResultRecord {
    ResultRecord {
        item,
        completed: true,
        text: text.as_bytes().to_vec(),
        versions: vec![1],
        score: "stamp".to_owned(),
    }
}

fn create(store: &mut Store) -> Outcome {
    store.apply(Command::Create { job: job("j"), edge: edge(EDGE) })
}

fn append(store: &mut Store, term: u64, results: &[(u32, &str)]) -> Outcome {
    let results = results.iter().map(|(item, text)| result(*item, text)).collect();
    store.apply(Command::AppendResults { job: "j".to_owned(), term, results })
}

fn end(store: &mut Store) -> Outcome {
    store.apply(Command::End { job: "j".to_owned() })
}

fn assign_driver(store: &mut Store, term: u64, driver: u64) -> Outcome {
    store.apply(Command::AssignDriver { job: "j".to_owned(), term, edge: edge(driver) })
}

fn result_texts(store: &Store) -> Vec<(String, String)> {
    let page = store.job("j").map(|job| job.results_from(0, u64::MAX)).unwrap_or_default();
    page.into_iter().map(|(id, result)| (id, String::from_utf8(result.text).unwrap())).collect()
}

fn pairs(expected: &[(&str, &str)]) -> Vec<(String, String)> {
    expected.iter().map(|(id, text)| ((*id).to_owned(), (*text).to_owned())).collect()
}

#[parameterized(
    in_order_of_arrival = { &[&[(2, "c")], &[(0, "a")]], &[("c", "c"), ("a", "a")] },
    one_position_for_each_item = { &[&[(0, "first")], &[(0, "second")]], &[("a", "first")] },
    one_position_within_one_batch = { &[&[(1, "first"), (1, "second")]], &[("b", "first")] },
    no_such_item = { &[&[(3, "d"), (0, "a")]], &[("a", "a")] },
)]
fn results_get_positions_once(batches: &[&[(u32, &str)]], expected: &[(&str, &str)]) {
    let mut store = Store::default();
    create(&mut store);
    for batch in batches {
        assert_eq!(append(&mut store, 1, batch), Outcome::Appended);
    }
    assert_eq!(result_texts(&store), pairs(expected));
}

#[test]
fn a_repeated_creation_changes_nothing() {
    let mut store = Store::default();
    let driver = Some((EDGE, 1));
    assert_eq!(create(&mut store), Outcome::Created { driver });
    append(&mut store, 1, &[(0, "a")]);
    let second_outcome = store.apply(Command::Create { job: job("j"), edge: edge(99) });
    assert_eq!(second_outcome, Outcome::Created { driver });
    assert_eq!(result_texts(&store), pairs(&[("a", "a")]));
}

/// A part of the text of item 1: origin, id of the previous event if any, id of the last event, and data.
type TextPart = (u64, Option<u64>, u64, &'static str);

fn save_checkpoint(store: &mut Store, term: u64, (origin, after, last_id, data): TextPart) -> Outcome {
    let (data, versions, is_complete) = (data.as_bytes().to_vec(), vec![last_id], false);
    let part = PartialText {
        item: 1,
        origin,
        previous_event_id: after,
        last_event_id: last_id,
        data,
        versions,
        is_complete,
    };
    store.apply(Command::SaveCheckpoint { job: "j".to_owned(), term, texts: vec![part] })
}

fn partial_texts(store: &Store) -> Vec<(u64, String, Vec<u64>)> {
    let texts = store.job("j").map(|job| job.partial_texts()).unwrap_or_default();
    let parts = texts.into_iter().map(|text| (text.last_event_id, text.data, text.versions));
    parts.map(|(last, data, versions)| (last, String::from_utf8(data).unwrap(), versions)).collect()
}

#[parameterized(
    parts_in_sequence = { &[(5, None, 2, "ab"), (5, Some(2), 4, "cd")], Some((4, "abcd")) },
    a_repeated_part = { &[(5, None, 2, "ab"), (5, Some(2), 4, "cd"), (5, Some(2), 4, "cd")], Some((4, "abcd")) },
    a_missing_part = { &[(5, None, 2, "ab"), (5, Some(3), 4, "d")], Some((2, "ab")) },
    a_missing_start = { &[(5, Some(2), 4, "cd")], None },
    the_text_restarted = { &[(5, None, 2, "ab"), (6, None, 1, "x")], Some((1, "x")) },
    a_part_of_another_origin = { &[(5, None, 2, "ab"), (6, Some(2), 3, "x")], Some((2, "ab")) },
)]
fn text_parts_are_joined_only_in_sequence(parts: &[TextPart], expected: Option<(u64, &str)>) {
    let mut store = Store::default();
    create(&mut store);
    for part in parts {
        assert_eq!(save_checkpoint(&mut store, 1, *part), Outcome::Appended);
    }
    let expected: Vec<_> =
        expected.into_iter().map(|(last, data)| (last, data.to_owned(), vec![last])).collect();
    assert_eq!(partial_texts(&store), expected);
}

#[test]
fn a_partial_text_is_removed_by_its_result_and_by_the_end() {
    let part = (5, None, 2, "ab");
    for finish in [|store: &mut Store| append(store, 1, &[(1, "b")]), end] {
        let mut store = Store::default();
        create(&mut store);
        let before = store.bytes();
        save_checkpoint(&mut store, 1, part);
        assert!(store.bytes() > before, "the text is included in the bytes");
        finish(&mut store);
        assert!(partial_texts(&store).is_empty());
        let after = store.bytes();
        save_checkpoint(&mut store, 1, part);
        assert_eq!(
            (partial_texts(&store).len(), store.bytes()),
            (0, after),
            "a text is stored although its item has a result or the batch job is ended"
        );
        let decoded = Store::decode(&store.encode().unwrap()).unwrap();
        assert_eq!(decoded, store);
    }
}

#[test]
fn texts_of_a_former_driver_are_fenced() {
    let mut store = Store::default();
    create(&mut store);
    assign_driver(&mut store, 2, 8);
    assert_eq!(save_checkpoint(&mut store, 1, (5, None, 2, "ab")), Outcome::Fenced);
    assert!(partial_texts(&store).is_empty());
}

#[test]
fn a_text_beyond_the_bound_is_not_stored() {
    let mut store = Store::default();
    create(&mut store);
    let long: &'static str = Box::leak("x".repeat(300 * 1024).into_boxed_str());
    save_checkpoint(&mut store, 1, (5, None, 2, long));
    assert!(partial_texts(&store).is_empty());
}

#[parameterized(older = { 1 }, newer = { 3 })]
fn results_under_another_term_are_fenced(term: u64) {
    let mut store = Store::default();
    create(&mut store);
    assert_eq!(assign_driver(&mut store, 2, 8), Outcome::DriverAssigned);
    assert_eq!(append(&mut store, term, &[(0, "a")]), Outcome::Fenced);
    assert_eq!(append(&mut store, 2, &[(0, "b")]), Outcome::Appended);
    assert_eq!(result_texts(&store), pairs(&[("a", "b")]));
}

#[parameterized(same_term = { 1 }, skipped_term = { 3 })]
fn a_driver_is_assigned_only_with_the_next_term(term: u64) {
    let mut store = Store::default();
    create(&mut store);
    assert_eq!(assign_driver(&mut store, term, 8), Outcome::Fenced);
    assert_eq!(store.job("j").map(|job| (job.driver(), job.term())), Some((edge(EDGE), 1)));
}

#[test]
fn results_after_the_end_are_ignored() {
    let mut store = Store::default();
    create(&mut store);
    append(&mut store, 1, &[(0, "a")]);
    assert_eq!(end(&mut store), Outcome::Ended { stopped: Some((EDGE, 1)) });
    assert_eq!(append(&mut store, 1, &[(1, "b")]), Outcome::Ended { stopped: None });
    assert_eq!(end(&mut store), Outcome::Ended { stopped: None });
    assert_eq!(result_texts(&store), pairs(&[("a", "a")]));
    assert!(!store.job("j").is_some_and(|job| job.needs_driver()));
}

#[test]
fn a_body_is_removed_by_its_result_and_by_the_end() {
    let mut store = Store::default();
    create(&mut store);
    let body = |store: &Store, id: &str| store.job("j").and_then(|job| job.body(id).map(<[u8]>::to_vec));
    assert_eq!(body(&store, "a"), Some(b"body of a".to_vec()));
    append(&mut store, 1, &[(0, "a")]);
    assert_eq!(body(&store, "a"), None);
    assert_eq!(body(&store, "b"), Some(b"body of b".to_vec()));
    assert_eq!(body(&store, "nothing"), None);
    end(&mut store);
    assert_eq!(body(&store, "b"), None);
}

#[test]
fn only_an_ended_job_is_deleted() {
    let mut store = Store::default();
    create(&mut store);
    let delete = Command::Delete { job: "j".to_owned() };
    assert_eq!(store.apply(delete.clone()), Outcome::NotApplicable);
    end(&mut store);
    assert_eq!(store.apply(delete), Outcome::Deleted);
    assert_eq!((store.bytes(), store.job("j")), (0, None));
}

#[parameterized(
    all = { 0, u64::MAX, 3 },
    from_a_position = { 1, u64::MAX, 2 },
    behind_the_last = { 3, u64::MAX, 0 },
    far_behind = { u64::MAX, u64::MAX, 0 },
    at_least_one = { 0, 1, 1 },
)]
fn results_from_a_position_are_bounded_by_bytes(start_after: u64, max_bytes: u64, expected: usize) {
    let mut store = Store::default();
    create(&mut store);
    append(&mut store, 1, &[(0, "a"), (1, "b"), (2, "c")]);
    let page = store.job("j").map(|job| job.results_from(start_after, max_bytes)).unwrap_or_default();
    assert_eq!(page.len(), expected);
}

#[test]
fn a_state_is_decoded_from_its_exact_bytes() {
    let mut store = Store::default();
    create(&mut store);
    append(&mut store, 1, &[(1, "b")]);
    assign_driver(&mut store, 2, 8);
    let bytes = store.encode().unwrap();
    assert_eq!(Store::decode(&bytes).unwrap(), store);
    assert!(Store::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(Store::decode(&[bytes, vec![0]].concat()).is_err());
}

#[test]
fn bytes_fall_when_bodies_are_removed() {
    let mut store = Store::default();
    create(&mut store);
    let before = store.bytes();
    end(&mut store);
    let without_bodies = store.bytes();
    assert!(without_bodies < before);
    assert_eq!(store.bytes(), Store::decode(&store.encode().unwrap()).unwrap().bytes());
}
