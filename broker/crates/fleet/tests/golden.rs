//! Datagrams, against bytes that an earlier version of this package sent.
//!
//! The code that writes and reads them is private: three brokers are driven in virtual time with fixed seeds, and the first
//! datagrams of each kind are compared with the file. `GOLDEN_WRITE=1` writes it anew.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::PathBuf;

use gingerledge_fleet::{Members, Number, Settings, State, DATAGRAM_MOST};
use gingerledge_golden::{compare, read, Sample};

const BROKERS: Number = 6;
const KINDS: [&str; 11] = [
    "ping",
    "ack",
    "ping request",
    "indirect ping",
    "indirect ack",
    "forwarded ack",
    "announce",
    "feed",
    "gossip",
    "broadcast",
    "turn undead",
];
/// Where a datagram says which message it is.
const KIND_AT: usize = 19;

fn path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/datagrams.txt")
}

fn broker(own: Number) -> Members {
    let set = Settings { members: BROKERS, own, probe_ms: 1000.0, answer_ms: 300.0, sent_per_s: 20.0 };
    Members::new(set, 1_700_000_000_000 + u64::from(own), u64::from(own) + 1, 0.0)
}

/// Which datagrams get through at a time: broker 0 and broker 1 can't hear each other for a while, then broker 1 hears nobody.
fn passes(at: u64, from: Number, to: Number) -> bool {
    match at {
        10_000..40_000 => !matches!((from, to), (0, 1) | (1, 0)),
        40_000..90_000 => from != 1 && to != 1,
        _ => true,
    }
}

/// All datagrams of two minutes and a bit, with their senders; broker 2 leaves in the end.
fn sent() -> Vec<(Number, Vec<u8>)> {
    let mut brokers: Vec<Members> = (0..BROKERS).map(broker).collect();
    let mut sent = Vec::new();
    for at in (0..130_000_u64).step_by(5) {
        let now = at as f64;
        if at == 120_000 {
            brokers[2].leave(now);
        }
        for from in 0..BROKERS {
            let sender = &mut brokers[usize::from(from)];
            if sender.due() <= now {
                sender.turn(now);
            }
            let outgoing: Vec<_> = sender.outgoing().collect();
            for (to, bytes) in outgoing {
                if passes(at, from, to) {
                    brokers[usize::from(to)].hear(from, &bytes, now).unwrap();
                }
                sent.push((from, bytes));
            }
        }
    }
    sent
}

#[test]
fn datagrams_are_what_they_were() {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut samples = Vec::new();
    for (from, bytes) in sent() {
        assert!(bytes.len() <= DATAGRAM_MOST);
        let kind = KINDS[usize::from(bytes[KIND_AT])];
        let count = counts.entry(kind).or_default();
        *count += 1;
        if *count <= 8 {
            samples.push(Sample::new(&format!("{kind} {count} of broker {from}"), bytes));
        }
    }
    compare(&path(), &samples);
    let found: Vec<&str> = counts.into_keys().collect();
    // Feeds answer greetings; nothing of this package sends broadcasts.
    for kind in KINDS.iter().filter(|kind| **kind != "broadcast") {
        assert!(found.contains(kind), "no {kind} was sent: {found:?}");
    }
}

#[test]
fn recorded_datagrams_are_read() {
    for (name, bytes) in read(&path()) {
        let from = u16::from_be_bytes([bytes[1], bytes[2]]);
        let to = u16::from_be_bytes([bytes[11], bytes[12]]);
        let mut hearer = broker(to);
        hearer.hear(from, &bytes, 1.0).unwrap_or_else(|fault| panic!("{name}: {fault}"));
        assert_eq!(hearer.counts().heard, 1, "{name}");
        assert!(hearer.hear(from, &bytes[..bytes.len() - 1], 2.0).is_err(), "{name}, cut off");
    }
}

/// A datagram put together by hand from the layout that the package states.
#[test]
fn each_field_is_read_from_its_place() {
    let start = |own: u64| (1_700_000_000_000 + own).to_be_bytes()[2..].to_vec();
    let member = |number: u8, incarnation: u16, state: u8| {
        [&[0, number][..], &start(u64::from(number)), &incarnation.to_be_bytes(), &[state]].concat()
    };
    // Gossip of broker 1, of incarnation 0x0102, to broker 0.
    let head = [&[1, 0, 1][..], &start(1), &[1, 2, 0, 0], &start(0), &[8, 0, 3]].concat();
    let bytes = [head, member(2, 0x0304, 0), member(3, 0x0506, 1), member(4, 0x0708, 2)].concat();
    let mut hearer = broker(0);
    hearer.hear(1, &bytes, 1.0).unwrap();
    let all = hearer.all();
    let of = |number: Number| *all.iter().find(|member| member.number == number).unwrap();
    for (number, state, incarnation) in
        [(1, State::Alive, 0x0102), (2, State::Alive, 0x0304), (3, State::Suspect, 0x0506)]
    {
        let member = of(number);
        assert!(member.state == state, "broker {number}");
        assert_eq!(member.incarnation, incarnation, "broker {number}");
        assert_eq!(member.start, 1_700_000_000_000 + u64::from(number), "broker {number}");
    }
    assert!(!hearer.living().contains(&4));
}
