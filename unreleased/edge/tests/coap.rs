//! CoAP over a link that loses, repeats and reorders; block-wise bodies; bounds; and garbage.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::net::SocketAddr;

use coap_lite::{CoapOption, MessageClass, MessageType, Packet};
use fastrand::Rng;
use gingerledge_edge::{Coap, CoapAction, CoapBounds, Exchange, Response, DATAGRAM_MOST};

fn peer(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 40_000 + n).into()
}

fn request(kind: MessageType, message: u16, token: &[u8], code: u8, path: &[&str], body: &[u8]) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_type(kind);
    packet.header.code = MessageClass::from(code);
    packet.header.message_id = message;
    packet.set_token(token.to_vec());
    for segment in path {
        packet.add_option(CoapOption::UriPath, segment.as_bytes().to_vec());
    }
    packet.payload = body.to_vec();
    packet
}

fn post(message: u16, body: &[u8]) -> Packet {
    request(MessageType::Confirmable, message, b"tk", 2, &["entries"], body)
}

fn sent(actions: &[CoapAction]) -> Vec<Packet> {
    let packet = |action: &CoapAction| match action {
        CoapAction::Send(_, bytes) => Some(Packet::from_bytes(bytes).unwrap()),
        CoapAction::Serve(..) => None,
    };
    actions.iter().filter_map(packet).collect()
}

fn served(actions: &[CoapAction]) -> Vec<(Exchange, Vec<u8>)> {
    let serve = |action: &CoapAction| match action {
        CoapAction::Serve(exchange, _, request) => Some((*exchange, request.body.clone())),
        CoapAction::Send(..) => None,
    };
    actions.iter().filter_map(serve).collect()
}

fn code(packet: &Packet) -> (u8, u8) {
    let code = u8::from(packet.header.code);
    (code >> 5, code & 31)
}

fn give(coap: &mut Coap, now: u64, packet: &Packet) -> Vec<CoapAction> {
    coap.datagram(now, peer(1), &packet.to_bytes().unwrap())
}

#[test]
fn a_message_that_comes_again_is_served_once_and_answered_again() {
    let mut coap = Coap::new(CoapBounds::default(), 1);
    let first = give(&mut coap, 0, &post(7, b"one"));
    let (exchange, body) = served(&first)[0].clone();
    assert_eq!(body, b"one");
    assert!(give(&mut coap, 10, &post(7, b"one")).is_empty(), "its answer is under way");
    let answer = coap.answer(20, exchange, Response::code(2, 4));
    let packet = &sent(&answer)[0];
    assert_eq!((packet.header.get_type(), packet.header.message_id), (MessageType::Acknowledgement, 7));
    assert_eq!((code(packet), packet.get_token()), ((2, 4), &b"tk"[..]));
    assert_eq!(give(&mut coap, 30, &post(7, b"one")), answer, "lost, it comes again as it was");
    assert!(coap.answer(40, exchange, Response::code(5, 0)).is_empty(), "a second answer");
    // Another peer's message of the same id is another; and after its lifetime so is this one's.
    assert_eq!(served(&coap.datagram(50, peer(2), &post(7, b"x").to_bytes().unwrap())).len(), 1);
    assert_eq!(served(&give(&mut coap, 300_000, &post(7, b"one"))).len(), 1);
}

#[test]
fn an_answer_that_takes_long_is_acknowledged_first_and_sent_until_it_is() {
    let mut coap = Coap::new(CoapBounds::default(), 1);
    let exchange = served(&give(&mut coap, 0, &post(7, b"one")))[0].0;
    assert_eq!(coap.due(), Some(500));
    assert!(coap.tick(499).is_empty());
    let early = sent(&coap.tick(500));
    assert_eq!((early[0].header.code, early[0].header.message_id), (MessageClass::Empty, 7));
    assert_eq!(sent(&give(&mut coap, 600, &post(7, b"one"))).len(), 1, "acknowledged again");
    let separate = sent(&coap.answer(5_000, exchange, Response::code(2, 4)));
    assert_eq!(separate[0].header.get_type(), MessageType::Confirmable);
    assert_ne!(separate[0].header.message_id, 7);
    // 2 to 3 s, then doubled, four times; then it is given up.
    let mut times = Vec::new();
    while let Some(at) = coap.due() {
        let again = sent(&coap.tick(at));
        assert!(again.iter().all(|packet| packet.to_bytes().unwrap() == separate[0].to_bytes().unwrap()));
        times.extend(again.iter().map(|_| at - 5_000));
    }
    assert_eq!(times.len(), 4);
    assert!((2_000..=3_000).contains(&times[0]));
    for pair in times.windows(2) {
        assert!(pair[1] - pair[0] >= 2 * times[0], "{times:?}");
    }
    // Acknowledged, it is not sent again.
    let exchange = served(&give(&mut coap, 100_000, &post(8, b"two")))[0].0;
    coap.tick(101_000);
    let separate = sent(&coap.answer(102_000, exchange, Response::code(2, 4)));
    let mut ack = Packet::new();
    ack.header.set_type(MessageType::Acknowledgement);
    ack.header.code = MessageClass::Empty;
    ack.header.message_id = separate[0].header.message_id;
    give(&mut coap, 102_100, &ack);
    assert_eq!(coap.due(), None);
}

#[test]
fn what_is_not_confirmable_is_answered_alike_and_a_ping_is_reset() {
    let mut coap = Coap::new(CoapBounds::default(), 1);
    let non = request(MessageType::NonConfirmable, 3, b"t", 1, &["readings", "4711"], b"");
    let actions = give(&mut coap, 0, &non);
    let CoapAction::Serve(exchange, _, request) = &actions[0] else { panic!("{actions:?}") };
    assert_eq!((request.method, request.path.clone()), (1, vec!["readings".to_owned(), "4711".to_owned()]));
    let answer = sent(&coap.answer(1, *exchange, Response { format: Some(110), ..Response::code(2, 5) }));
    assert_eq!(answer[0].header.get_type(), MessageType::NonConfirmable);
    assert_eq!(coap.due(), None);
    let mut ping = Packet::new();
    ping.header.set_type(MessageType::Confirmable);
    ping.header.code = MessageClass::Empty;
    ping.header.message_id = 99;
    let reset = sent(&give(&mut coap, 2, &ping));
    assert_eq!((reset[0].header.get_type(), reset[0].header.message_id), (MessageType::Reset, 99));
}

fn block(packet: &mut Packet, option: CoapOption, number: u32, more: bool, size: u8) {
    let value = number << 4 | u32::from(more) << 3 | u32::from(size);
    let all = value.to_be_bytes();
    let skip = all.iter().take_while(|byte| **byte == 0).count();
    packet.add_option(option, all[skip..].to_vec());
}

#[test]
fn a_body_comes_in_blocks_and_goes_out_in_blocks() {
    let mut coap = Coap::new(CoapBounds { body: 1000, ..CoapBounds::default() }, 1);
    let body: Vec<u8> = (0..150u8).collect();
    let chunk = |message: u16, number: u32| {
        let from = number as usize * 64;
        let mut packet = post(message, &body[from..(from + 64).min(body.len())]);
        block(&mut packet, CoapOption::Block1, number, number < 2, 2);
        packet
    };
    for number in 0..2 {
        let actions = give(&mut coap, 0, &chunk(10 + number as u16, number));
        assert_eq!(code(&sent(&actions)[0]), (2, 31), "block {number}");
        // The same block again is the same message, and changes nothing.
        assert_eq!(give(&mut coap, 1, &chunk(10 + number as u16, number)), actions);
    }
    let (exchange, whole) = served(&give(&mut coap, 2, &chunk(12, 2)))[0].clone();
    assert_eq!(whole, body);
    coap.answer(3, exchange, Response::code(2, 4));
    // A block too many, and a body too long.
    assert_eq!(code(&sent(&give(&mut coap, 4, &chunk(13, 1)))[0]), (4, 8));
    for number in 0..16u32 {
        let mut packet = post(20 + number as u16, &[1; 64]);
        block(&mut packet, CoapOption::Block1, number, true, 2);
        let said = code(&sent(&give(&mut coap, 5, &packet))[0]);
        assert_eq!(said, if number < 15 { (2, 31) } else { (4, 13) }, "block {number}");
    }
    assert_eq!(coap.held().3, 0);
    // Out: in blocks as small as the client wants.
    let (mut got, mut number) = (Vec::new(), 0);
    loop {
        let mut packet = request(MessageType::Confirmable, 50 + number as u16, b"g", 1, &["list"], b"");
        block(&mut packet, CoapOption::Block2, number, false, 1);
        let actions = give(&mut coap, 10, &packet);
        let actions = match served(&actions).first() {
            Some((exchange, _)) => {
                assert_eq!(number, 0, "asked once");
                coap.answer(11, *exchange, Response { body: body.clone(), ..Response::code(2, 5) })
            }
            None => actions,
        };
        let packet = &sent(&actions)[0];
        assert_eq!(code(packet), (2, 5));
        got.extend_from_slice(&packet.payload);
        let value = packet.get_option(CoapOption::Block2).unwrap().front().unwrap();
        let value = value.iter().fold(0u32, |value, byte| value << 8 | u32::from(*byte));
        assert_eq!((value >> 4, value & 7), (number, 1));
        if value & 8 == 0 {
            break;
        }
        number += 1;
    }
    assert_eq!(got, body);
}

#[test]
fn over_a_bad_link_every_request_is_served_once_and_every_device_hears() {
    for seed in 0..100 {
        let mut rng = Rng::with_seed(seed);
        let mut coap = Coap::new(CoapBounds::default(), seed);
        // On the way: when, to the server or not, the bytes.
        let mut wire: Vec<(u64, bool, Vec<u8>)> = Vec::new();
        let (mut served_of, mut heard): (HashMap<Vec<u8>, u32>, HashMap<Vec<u8>, u32>) = Default::default();
        let mut answers: Vec<(u64, Exchange)> = Vec::new();
        // A device sends again as the standard says, until it hears.
        let mut devices: Vec<(u16, u64, u64)> = (0..12).map(|n| (n, u64::from(n) * 700, 2_000)).collect();
        for now in (0..120_000u64).step_by(20) {
            let lossy = |rng: &mut Rng, wire: &mut Vec<(u64, bool, Vec<u8>)>, up: bool, bytes: Vec<u8>| {
                for _ in 0..if rng.u32(..8) == 0 { 2 } else { 1 } {
                    if rng.u32(..10) < 7 {
                        wire.push((now + rng.u64(10..1_500), up, bytes.clone()));
                    }
                }
            };
            for (n, at, wait) in &mut devices {
                let token = n.to_be_bytes().to_vec();
                if *at <= now && *wait < 40_000 && !heard.contains_key(&token) {
                    let packet = request(MessageType::Confirmable, 100 + *n, &token, 2, &["entries"], &token);
                    lossy(&mut rng, &mut wire, true, packet.to_bytes().unwrap());
                    (*at, *wait) = (now + *wait, *wait * 2);
                }
            }
            let mut actions = coap.tick(now);
            let (here, rest): (Vec<_>, Vec<_>) = wire.drain(..).partition(|(at, ..)| *at <= now);
            wire = rest;
            for (_, up, bytes) in here {
                if up {
                    actions.extend(coap.datagram(now, peer(1), &bytes));
                    continue;
                }
                let packet = Packet::from_bytes(&bytes).unwrap();
                if code(&packet) == (2, 4) {
                    *heard.entry(packet.get_token().to_vec()).or_default() += 1;
                }
                if packet.header.get_type() == MessageType::Confirmable {
                    let mut ack = Packet::new();
                    ack.header.set_type(MessageType::Acknowledgement);
                    ack.header.code = MessageClass::Empty;
                    ack.header.message_id = packet.header.message_id;
                    lossy(&mut rng, &mut wire, true, ack.to_bytes().unwrap());
                }
            }
            let (due, later): (Vec<_>, Vec<_>) = answers.drain(..).partition(|(at, _)| *at <= now);
            answers = later;
            for (_, exchange) in due {
                actions.extend(coap.answer(now, exchange, Response::code(2, 4)));
            }
            for action in actions {
                match action {
                    CoapAction::Send(_, bytes) => lossy(&mut rng, &mut wire, false, bytes),
                    CoapAction::Serve(exchange, _, request) => {
                        *served_of.entry(request.body).or_default() += 1;
                        answers.push((now + rng.u64(1..3_000), exchange));
                    }
                }
            }
        }
        assert!(served_of.values().all(|times| *times == 1), "seed {seed}: {served_of:?}");
        // Some of the unluckiest may hear nothing in all their tries; none hears without being served.
        assert!(heard.keys().all(|token| served_of.contains_key(token)), "seed {seed}");
        assert!(heard.len() >= 10, "seed {seed}: {} of 12 heard", heard.len());
        assert_eq!(coap.held().1, 0, "seed {seed}");
    }
}

#[test]
fn tables_are_bounded_and_let_go() {
    let bounds = CoapBounds { messages: 50, open: 20, unacknowledged: 5, bodies: 3, ..CoapBounds::default() };
    let mut coap = Coap::new(bounds, 1);
    let mut exchanges = Vec::new();
    for n in 0..200u16 {
        let actions = give(&mut coap, 0, &post(n, b"x"));
        exchanges.extend(served(&actions).into_iter().map(|(exchange, _)| exchange));
        if n >= 20 {
            let packet = &sent(&actions)[0];
            assert_eq!(code(packet), (5, 3));
            assert_eq!(packet.get_option(CoapOption::MaxAge).unwrap().front().unwrap(), &vec![10]);
        }
    }
    assert_eq!((coap.held().0, coap.held().1), (50, 20));
    coap.tick(1_000);
    for exchange in exchanges {
        coap.answer(2_000, exchange, Response::code(2, 4));
    }
    assert_eq!((coap.held().1, coap.held().2), (0, 5));
    for n in 0..5u16 {
        let mut packet =
            request(MessageType::Confirmable, 300 + n, b"t", 2, &["a", &n.to_string()], &[0; 64]);
        block(&mut packet, CoapOption::Block1, 0, true, 2);
        let said = code(&sent(&give(&mut coap, 3_000, &packet))[0]);
        assert_eq!(said, if n < 3 { (2, 31) } else { (5, 3) });
    }
    while let Some(at) = coap.due() {
        coap.tick(at);
    }
    coap.tick(400_000);
    assert_eq!(coap.held(), (0, 0, 0, 0));
}

#[test]
fn no_bytes_bring_it_down() {
    let mut rng = Rng::with_seed(17);
    let mut coap = Coap::new(CoapBounds { open: 100, ..CoapBounds::default() }, 1);
    let mut valid = post(1, &[7; 40]);
    block(&mut valid, CoapOption::Block1, 0, true, 2);
    block(&mut valid, CoapOption::Block2, 3, false, 6);
    let valid = valid.to_bytes().unwrap();
    for round in 0..20_000u64 {
        let mut bytes: Vec<u8> = match rng.u32(..3) {
            0 => std::iter::repeat_with(|| rng.u8(..)).take(40).collect(),
            _ => valid.clone(),
        };
        for _ in 0..rng.usize(..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..bytes.len() + 1));
        for (exchange, _) in served(&coap.datagram(round, peer(rng.u16(..50)), &bytes)) {
            coap.answer(round, exchange, Response { body: vec![1; 100], ..Response::code(2, 5) });
        }
        coap.tick(round);
    }
    assert!(coap.datagram(0, peer(1), &vec![0x40; DATAGRAM_MOST + 1]).is_empty());
}
