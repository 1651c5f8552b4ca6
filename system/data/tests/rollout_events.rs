//! The reader of event streams, under every way in which a stream may be cut into pieces.

use gingerledge_data::rollout::event_stream::{Event, EventParser, StreamError, MAX_EVENT_BYTES};
use yare::parameterized;

type Told = (u64, Option<u64>, Vec<u8>);

fn told(event: Event<'_>) -> Told {
    (event.id, event.version, event.data.to_vec())
}

/// What the reader tells of a stream that comes in these pieces, and whether it then stands between two events.
fn read(pieces: &[&[u8]]) -> Result<(Vec<Told>, bool), StreamError> {
    let mut reader = EventParser::default();
    let mut events = Vec::new();
    for piece in pieces {
        reader.feed(piece, |event| {
            events.push(told(event));
            Ok::<(), StreamError>(())
        })?;
    }
    Ok((events, reader.is_between_events()))
}

const STREAM: &[u8] = b"id: 1\ndata: first\n\nweight-versions: 8\nid:2\ndata:no space\ndata:  two\n\n: a comment\n\nevent: token\r\nid: 3\r\ndata: \xc3\xa4\r\n\r\nid: 4\ndata\n\n";

fn expected() -> Vec<Told> {
    vec![
        (1, None, b"first".to_vec()),
        (2, Some(8), b"no space\n two".to_vec()),
        (3, None, "ä".as_bytes().to_vec()),
        (4, None, b"".to_vec()),
    ]
}

#[test]
fn a_stream_in_one_chunk() {
    assert_eq!(read(&[STREAM]), Ok((expected(), true)));
}

#[test]
fn a_stream_byte_by_byte() {
    let pieces: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(read(&pieces), Ok((expected(), true)));
}

#[test]
fn a_stream_in_any_three_chunks() {
    for first in 0..=STREAM.len() {
        for second in first..=STREAM.len() {
            let pieces = [&STREAM[..first], &STREAM[first..second], &STREAM[second..]];
            assert_eq!(read(&pieces), Ok((expected(), true)), "cut at {first} and {second}");
        }
    }
}

#[test]
fn a_stream_that_ends_within_an_event_delivers_the_complete_events_only() {
    let events: Vec<&[u8]> = [
        &b"id: 1\ndata: first\n\n"[..],
        b"weight-versions: 8\nid:2\ndata:no space\ndata:  two\n\n",
        b"event: token\r\nid: 3\r\ndata: \xc3\xa4\r\n\r\n",
    ]
    .to_vec();
    let mut expected = expected();
    expected.truncate(events.len());
    for (place, event) in events.iter().enumerate() {
        let before = events[..place].concat();
        let first_line = event.iter().position(|&byte| byte == b'\n').unwrap();
        for end in 1..event.len() {
            let (told, between) = read(&[&before, &event[..end]]).unwrap();
            assert_eq!(told, expected[..place], "event {place} ended at {end}");
            // A field that says nothing leaves nothing behind.
            let nothing_yet = event.starts_with(b"event") && end == first_line + 1;
            assert_eq!(between, nothing_yet, "event {place} ended at {end}");
        }
    }
}

#[parameterized(
    id_is_no_number = { b"id: one\ndata: x\n\n", StreamError::Malformed },
    id_is_negative = { b"id: -1\ndata: x\n\n", StreamError::Malformed },
    version_is_no_number = { b"id: 1\nweight-versions: new\ndata: x\n\n", StreamError::Malformed },
    data_without_id = { b"data: x\n\n", StreamError::Malformed },
    version_without_event = { b"weight-versions: 4\n\n", StreamError::Malformed },
)]
fn what_is_no_event_stops_the_reading(stream: &[u8], error: StreamError) {
    assert_eq!(read(&[stream]), Err(error));
}

#[test]
fn an_event_is_bounded_in_one_line_and_in_many() {
    let endless = vec![b'x'; MAX_EVENT_BYTES / 4];
    let in_one_line: Vec<&[u8]> = std::iter::once(&b"data: "[..]).chain([&endless[..]; 5]).collect();
    assert_eq!(read(&in_one_line), Err(StreamError::TooLarge));
    let line = [b"data: ", &endless[..], b"\n"].concat();
    let in_many_lines = [&line[..]; 5];
    assert_eq!(read(&in_many_lines), Err(StreamError::TooLarge));
}

#[test]
fn an_error_of_the_callback_stops_the_parsing() {
    let mut reader = EventParser::default();
    let mut taken = 0;
    let read = reader.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", |_| {
        taken += 1;
        Err(StreamError::TooLarge)
    });
    assert_eq!((read, taken), (Err(StreamError::TooLarge), 1));
}
