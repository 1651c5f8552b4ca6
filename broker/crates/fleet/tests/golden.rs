//! Golden test: compares encoded datagrams with recorded bytes that an earlier version of this package sent.
//!
//! The codec is private. The test runs six brokers in virtual time with fixed seeds and compares the first datagrams of each
//! kind with the recorded file. `GOLDEN_WRITE=1` rewrites the file.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::PathBuf;

use gingerledge_fleet::{BrokerNumber, Membership, Settings, State, MAX_DATAGRAM_BYTES};
use gingerledge_golden::{compare, read, Sample};

const BROKERS: BrokerNumber = 6;
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
/// Offset of the message tag in a datagram.
const TAG_OFFSET: usize = 19;

fn path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/datagrams.txt")
}

fn broker(own: BrokerNumber) -> Membership {
    let settings = Settings { members: BROKERS, own, probe_ms: 1000.0, answer_ms: 300.0, sent_per_s: 20.0 };
    Membership::new(settings, 1_700_000_000_000 + u64::from(own), u64::from(own) + 1, 0.0)
}

/// Whether the network delivers a datagram at a time in milliseconds: brokers 0 and 1 can't reach each other at first, then
/// broker 1 is isolated.
fn is_delivered(now_ms: u64, from: BrokerNumber, to: BrokerNumber) -> bool {
    match now_ms {
        10_000..40_000 => !matches!((from, to), (0, 1) | (1, 0)),
        40_000..90_000 => from != 1 && to != 1,
        _ => true,
    }
}

/// Returns all datagrams of 130 seconds with their senders. Broker 2 leaves after 120 seconds.
fn record_datagrams() -> Vec<(BrokerNumber, Vec<u8>)> {
    let mut brokers: Vec<Membership> = (0..BROKERS).map(broker).collect();
    let mut sent = Vec::new();
    for now_ms in (0..130_000_u64).step_by(5) {
        let now = now_ms as f64;
        if now_ms == 120_000 {
            brokers[2].leave(now);
        }
        for from in 0..BROKERS {
            let sender = &mut brokers[usize::from(from)];
            if sender.next_due() <= now {
                sender.handle_timers(now);
            }
            let outgoing: Vec<_> = sender.take_outgoing().collect();
            for (to, bytes) in outgoing {
                if is_delivered(now_ms, from, to) {
                    brokers[usize::from(to)].receive(from, &bytes, now).unwrap();
                }
                sent.push((from, bytes));
            }
        }
    }
    sent
}

#[test]
fn encoded_datagrams_match_the_recorded_bytes() {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut samples = Vec::new();
    for (from, bytes) in record_datagrams() {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let kind = KINDS[usize::from(bytes[TAG_OFFSET])];
        let count = counts.entry(kind).or_default();
        *count += 1;
        if *count <= 8 {
            samples.push(Sample::new(&format!("{kind} {count} of broker {from}"), bytes));
        }
    }
    compare(&path(), &samples);
    let sent_kinds: Vec<&str> = counts.into_keys().collect();
    // Feeds are answers to announcements; this package sends no broadcasts.
    for kind in KINDS.iter().filter(|kind| **kind != "broadcast") {
        assert!(sent_kinds.contains(kind), "no {kind} was sent: {sent_kinds:?}");
    }
}

#[test]
fn recorded_datagrams_are_decoded() {
    for (name, bytes) in read(&path()) {
        let from = u16::from_be_bytes([bytes[1], bytes[2]]);
        let to = u16::from_be_bytes([bytes[11], bytes[12]]);
        let mut receiver = broker(to);
        receiver.receive(from, &bytes, 1.0).unwrap_or_else(|fault| panic!("{name}: {fault}"));
        assert_eq!(receiver.counts().received, 1, "{name}");
        assert!(receiver.receive(from, &bytes[..bytes.len() - 1], 2.0).is_err(), "{name}, truncated");
    }
}

/// Decodes a datagram that is assembled by hand from the documented layout.
#[test]
fn each_field_is_decoded_from_its_documented_offset() {
    let start = |number: u64| (1_700_000_000_000 + number).to_be_bytes()[2..].to_vec();
    let member = |number: u8, incarnation: u16, state: u8| {
        [&[0, number][..], &start(u64::from(number)), &incarnation.to_be_bytes(), &[state]].concat()
    };
    // Gossip from broker 1 with incarnation 0x0102 to broker 0.
    let head = [&[1, 0, 1][..], &start(1), &[1, 2, 0, 0], &start(0), &[8, 0, 3]].concat();
    let bytes = [head, member(2, 0x0304, 0), member(3, 0x0506, 1), member(4, 0x0708, 2)].concat();
    let mut receiver = broker(0);
    receiver.receive(1, &bytes, 1.0).unwrap();
    let all = receiver.all_members();
    let find = |number: BrokerNumber| *all.iter().find(|member| member.number == number).unwrap();
    for (number, state, incarnation) in
        [(1, State::Alive, 0x0102), (2, State::Alive, 0x0304), (3, State::Suspect, 0x0506)]
    {
        let member = find(number);
        assert!(member.state == state, "broker {number}");
        assert_eq!(member.incarnation, incarnation, "broker {number}");
        assert_eq!(member.start, 1_700_000_000_000 + u64::from(number), "broker {number}");
    }
    assert!(!receiver.alive().contains(&4));
}
