//! CoAP over datagrams (RFC 7252), and bodies in blocks both ways (RFC 7959), as a server's machine. It owns exchanges: which
//! messages have been seen, which answers are owed, acknowledged and sent again, which bodies are half there. It promises that a
//! request is handed on once however often its message comes, that an answer that takes long is preceded by an
//! acknowledgement and follows as a separate response until that is acknowledged, and that every table is bounded and
//! lets go of what belongs to the gone. It knows no socket and no clock, and nothing of what a request means.

use core::net::SocketAddr;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType};

use crate::entry::Millis;

/// RFC 7252, section 4.8: how long an acknowledgement is waited for, and how often a message is sent again.
pub const ACK_TIMEOUT_MS: Millis = 2_000;
/// The same section.
pub const MAX_RETRANSMIT: u32 = 4;
/// RFC 7252, section 4.8.2: a message id of a peer is not used again for another message within this.
pub const EXCHANGE_LIFETIME_MS: Millis = 247_000;
/// A request that is not answered by then is acknowledged, and answered apart (section 5.2.2).
pub const SEPARATE_AFTER_MS: Millis = 500;
/// No datagram is longer (section 4.6).
pub const DATAGRAM_MOST: usize = 1_152;

/// Bounds of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct CoapBounds {
    /// Messages remembered, of all peers.
    pub messages: usize,
    /// Requests handed on and not answered yet.
    pub open: usize,
    /// Separate responses that wait to be acknowledged.
    pub unacknowledged: usize,
    /// Bodies of which some blocks have come, and those given out in blocks.
    pub bodies: usize,
    /// Bytes of a body.
    pub body: usize,
    /// A body without a further block for so long is let go.
    pub body_ms: Millis,
    /// Blocks are of 2 to the power of 4 more than this bytes at the most: 6 is 1,024.
    pub block: u8,
}

impl Default for CoapBounds {
    fn default() -> Self {
        Self {
            messages: 16_384,
            open: 4_096,
            unacknowledged: 4_096,
            bodies: 256,
            body: 64 * 1024,
            body_ms: 60_000,
            block: 5,
        }
    }
}

/// A request that has been handed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Exchange(pub u64);

/// What a peer asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// GET, POST and so on, by their codes: 1, 2, 3, 4.
    pub method: u8,
    /// The path's segments.
    pub path: Vec<String>,
    /// The query's pairs as they came.
    pub query: Vec<String>,
    /// The content format, by its number.
    pub format: Option<u16>,
    /// The body, whole.
    pub body: Vec<u8>,
}

/// What it is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The code: class and detail, as 2.05 is (2, 5).
    pub code: (u8, u8),
    /// The content format, by its number.
    pub format: Option<u16>,
    /// In seconds: how fresh it is, or in a 5.03 when to come back.
    pub max_age: Option<u32>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A code with nothing more.
    pub fn code(class: u8, detail: u8) -> Self {
        Self { code: (class, detail), ..Self::default() }
    }

    /// The server has no room: come back after so many seconds (RFC 7252, section 5.9.3.4).
    pub fn later(seconds: u32) -> Self {
        Self { code: (5, 3), max_age: Some(seconds), ..Self::default() }
    }
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoapAction {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Answer a request; [`Coap::answer`] is owed.
    Serve(Exchange, SocketAddr, Request),
}

/// What came of a message that is remembered.
#[derive(Clone, Debug)]
enum Remembered {
    /// It is being worked on.
    Open,
    /// This was sent; if it comes again, this is sent again.
    Done(Vec<u8>),
    /// It was acknowledged, and is answered apart.
    Acknowledged(Vec<u8>),
}

#[derive(Clone, Debug)]
struct Open {
    peer: SocketAddr,
    message: u16,
    token: Vec<u8>,
    confirmable: bool,
    acknowledged: bool,
    since: Millis,
    /// The block that is asked for, of a body that is given out in blocks.
    block: Option<Block>,
    key: Option<BodyKey>,
}

#[derive(Clone, Debug)]
struct Unacknowledged {
    peer: SocketAddr,
    bytes: Vec<u8>,
    tries: u32,
    wait: Millis,
    at: Millis,
}

/// Whose body: the peer, the method, and the path with its query.
type BodyKey = (SocketAddr, u8, Vec<String>, Vec<String>);

#[derive(Clone, Debug)]
struct Body {
    bytes: Vec<u8>,
    format: Option<u16>,
    code: (u8, u8),
    at: Millis,
}

/// A block option (RFC 7959, section 2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Block {
    number: u32,
    more: bool,
    size: u8,
}

impl Block {
    fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > 3 {
            return None;
        }
        let value = bytes.iter().fold(0u32, |value, byte| value << 8 | u32::from(*byte));
        let size = (value & 7) as u8;
        // 7 is reserved (section 2.2).
        (size < 7).then_some(Self { number: value >> 4, more: value & 8 != 0, size })
    }

    fn bytes(self) -> Vec<u8> {
        let value = self.number << 4 | u32::from(self.more) << 3 | u32::from(self.size);
        let all = value.to_be_bytes();
        let skip = all.iter().take_while(|byte| **byte == 0).count();
        all[skip..].to_vec()
    }

    fn length(self) -> usize {
        1 << (self.size + 4)
    }

    fn start(self) -> usize {
        self.number as usize * self.length()
    }
}

/// A server's endpoint. See the module's description.
#[derive(Debug)]
pub struct Coap {
    bounds: CoapBounds,
    messages: HashMap<(SocketAddr, u16), Remembered>,
    /// In the order in which they are forgotten.
    forgotten: VecDeque<(Millis, SocketAddr, u16)>,
    open: BTreeMap<Exchange, Open>,
    unacknowledged: HashMap<(SocketAddr, u16), Unacknowledged>,
    due: BTreeSet<(Millis, SocketAddr, u16)>,
    uploads: HashMap<BodyKey, Body>,
    downloads: HashMap<BodyKey, Body>,
    next: u64,
    message: u16,
    random: u64,
}

impl Coap {
    /// An endpoint; the seed spreads message ids and waits.
    pub fn new(bounds: CoapBounds, seed: u64) -> Self {
        Self {
            bounds,
            messages: HashMap::new(),
            forgotten: VecDeque::new(),
            open: BTreeMap::new(),
            unacknowledged: HashMap::new(),
            due: BTreeSet::new(),
            uploads: HashMap::new(),
            downloads: HashMap::new(),
            next: 0,
            message: seed as u16,
            random: seed | 1,
        }
    }

    /// A share from 0 to 1.
    fn spread(&mut self) -> f64 {
        // xorshift64: waits need to differ, no more.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// When [`Coap::tick`] is due, if nothing happens before.
    pub fn due(&self) -> Option<Millis> {
        let separate = self.open.values().filter(|open| open.confirmable && !open.acknowledged);
        let separate = separate.map(|open| open.since + SEPARATE_AFTER_MS).min();
        [separate, self.due.first().map(|(at, ..)| *at)].into_iter().flatten().min()
    }

    /// How many messages, requests, answers and bodies are held.
    pub fn held(&self) -> (usize, usize, usize, usize) {
        let bodies = self.uploads.len() + self.downloads.len();
        (self.messages.len(), self.open.len(), self.unacknowledged.len(), bodies)
    }

    /// Takes a datagram.
    pub fn datagram(&mut self, now: Millis, peer: SocketAddr, bytes: &[u8]) -> Vec<CoapAction> {
        let mut actions = Vec::new();
        self.forget(now);
        // What can't be read is dropped without a word (section 4.2 allows that, and a spoofed peer gains nothing).
        let Some(packet) = (bytes.len() <= DATAGRAM_MOST).then(|| Packet::from_bytes(bytes).ok()).flatten()
        else {
            return actions;
        };
        let (kind, message) = (packet.header.get_type(), packet.header.message_id);
        match (kind, packet.header.code) {
            (MessageType::Acknowledgement | MessageType::Reset, _) => {
                self.settled(peer, message);
            }
            // An empty confirmable message is a ping (section 4.3).
            (MessageType::Confirmable, MessageClass::Empty) => {
                actions.push(CoapAction::Send(peer, empty(MessageType::Reset, message)));
            }
            (_, MessageClass::Request(method)) => self.request(now, peer, &packet, method, &mut actions),
            // A response that nobody asked for, or a code that means nothing here.
            (MessageType::Confirmable, _) => {
                actions.push(CoapAction::Send(peer, empty(MessageType::Reset, message)));
            }
            _ => {}
        }
        actions
    }

    /// A separate response has arrived, or its peer wants no more of it.
    fn settled(&mut self, peer: SocketAddr, message: u16) {
        if let Some(gone) = self.unacknowledged.remove(&(peer, message)) {
            self.due.remove(&(gone.at, peer, message));
        }
    }

    fn remember(&mut self, now: Millis, peer: SocketAddr, message: u16, what: Remembered) {
        if self.messages.insert((peer, message), what).is_none() {
            self.forgotten.push_back((now + EXCHANGE_LIFETIME_MS, peer, message));
        }
        while self.messages.len() > self.bounds.messages {
            // The oldest first: entries are told apart by their own names, so that no harm is done but work.
            let Some((_, peer, message)) = self.forgotten.pop_front() else { break };
            self.messages.remove(&(peer, message));
        }
    }

    fn forget(&mut self, now: Millis) {
        while let Some((_, peer, message)) = self.forgotten.front().copied().filter(|(at, ..)| *at <= now) {
            self.forgotten.pop_front();
            self.messages.remove(&(peer, message));
        }
        let (body_ms, fresh) = (self.bounds.body_ms, |body: &Body, ms: Millis| now < body.at + ms);
        self.uploads.retain(|_, body| fresh(body, body_ms));
        self.downloads.retain(|_, body| fresh(body, body_ms));
    }

    fn request(
        &mut self,
        now: Millis,
        peer: SocketAddr,
        packet: &Packet,
        method: RequestType,
        actions: &mut Vec<CoapAction>,
    ) {
        let message = packet.header.message_id;
        match self.messages.get(&(peer, message)) {
            Some(Remembered::Done(bytes) | Remembered::Acknowledged(bytes)) => {
                return actions.push(CoapAction::Send(peer, bytes.clone()));
            }
            // Its answer is under way.
            Some(Remembered::Open) => return,
            None => {}
        }
        let confirmable = packet.header.get_type() == MessageType::Confirmable;
        let mut open = Open {
            peer,
            message,
            token: packet.get_token().to_vec(),
            confirmable,
            acknowledged: false,
            since: now,
            block: None,
            key: None,
        };
        let Some(mut request) = read(packet, method) else {
            return self.respond(now, &open, &Response::code(4, 0), actions);
        };
        let key: BodyKey = (peer, request.method, request.path.clone(), request.query.clone());
        let option =
            |option| packet.get_option(option).and_then(|values| values.front()).map(|v| Block::read(v));
        let (up, down) = (option(CoapOption::Block1), option(CoapOption::Block2));
        if up == Some(None) || down == Some(None) {
            return self.respond(now, &open, &Response::code(4, 0), actions);
        }
        if let Some(block) = up.flatten() {
            match self.upload(now, &key, &mut request, block) {
                Ok(true) => {}
                Ok(false) => {
                    let more = Response::code(2, 31);
                    return self.respond_block(now, &open, &more, Some((CoapOption::Block1, block)), actions);
                }
                Err(response) => {
                    return self.respond_block(
                        now,
                        &open,
                        &response,
                        Some((CoapOption::Block1, block)),
                        actions,
                    );
                }
            }
        }
        open.block = down.flatten();
        open.key = Some(key.clone());
        // A further block of a body that is being given out.
        if let Some(block) = open.block.filter(|block| block.number > 0) {
            let Some(body) = self.downloads.get_mut(&key) else {
                return self.respond(now, &open, &Response::code(4, 8), actions);
            };
            body.at = now;
            let response =
                Response { code: body.code, format: body.format, max_age: None, body: body.bytes.clone() };
            return self.cut(now, &open, response, block, actions);
        }
        if self.open.len() >= self.bounds.open {
            return self.respond(now, &open, &Response::later(10), actions);
        }
        self.next += 1;
        let exchange = Exchange(self.next);
        self.open.insert(exchange, open);
        self.remember(now, peer, message, Remembered::Open);
        actions.push(CoapAction::Serve(exchange, peer, request));
    }

    /// Takes a block of a body in: true once it is whole, and then it is in the request.
    fn upload(
        &mut self,
        now: Millis,
        key: &BodyKey,
        request: &mut Request,
        block: Block,
    ) -> Result<bool, Response> {
        if block.number == 0 {
            self.uploads.remove(key);
            if self.uploads.len() >= self.bounds.bodies {
                return Err(Response::later(10));
            }
            let body = Body { bytes: Vec::new(), format: request.format, code: (0, 0), at: now };
            self.uploads.insert(key.clone(), body);
        }
        // 4.08: a block before it is missing (RFC 7959, section 2.9.2).
        let Some(body) = self.uploads.get_mut(key) else { return Err(Response::code(4, 8)) };
        let whole_block = request.body.len() == block.length() || !block.more;
        if body.bytes.len() != block.start() || !whole_block || request.body.len() > block.length() {
            self.uploads.remove(key);
            return Err(Response::code(4, 8));
        }
        if body.bytes.len() + request.body.len() > self.bounds.body {
            self.uploads.remove(key);
            return Err(Response::code(4, 13));
        }
        body.bytes.extend_from_slice(&request.body);
        body.at = now;
        if block.more {
            return Ok(false);
        }
        if let Some(body) = self.uploads.remove(key) {
            request.body = body.bytes;
            request.format = request.format.or(body.format);
        }
        Ok(true)
    }

    /// Answers a request that was handed on. A second answer is dropped.
    pub fn answer(&mut self, now: Millis, exchange: Exchange, response: Response) -> Vec<CoapAction> {
        let mut actions = Vec::new();
        let Some(open) = self.open.remove(&exchange) else { return actions };
        let most = self.bounds.block.min(6);
        let block = open.block.map_or(most, |block| block.size.min(most));
        let block = Block { number: 0, more: false, size: block };
        if response.body.len() > block.length() {
            if let Some(key) = open.key.clone() {
                if self.downloads.len() >= self.bounds.bodies && !self.downloads.contains_key(&key) {
                    self.respond(now, &open, &Response::later(10), &mut actions);
                    return actions;
                }
                let Response { code, format, body, .. } = response.clone();
                self.downloads.insert(key, Body { bytes: body, format, code, at: now });
            }
            self.cut(now, &open, response, block, &mut actions);
        } else {
            self.respond(now, &open, &response, &mut actions);
        }
        actions
    }

    /// Answers with one block of a body.
    fn cut(
        &mut self,
        now: Millis,
        open: &Open,
        mut response: Response,
        block: Block,
        actions: &mut Vec<CoapAction>,
    ) {
        let size = block.size.min(self.bounds.block.min(6));
        // A smaller block than was asked for counts from its own numbers.
        let block = Block { number: (block.start() >> (size + 4)) as u32, more: false, size };
        let (from, end) = (block.start(), block.start() + block.length());
        if from >= response.body.len() {
            return self.respond(now, open, &Response::code(4, 0), actions);
        }
        let more = end < response.body.len();
        response.body = response.body[from..end.min(response.body.len())].to_vec();
        let option = Some((CoapOption::Block2, Block { more, ..block }));
        self.respond_block(now, open, &response, option, actions);
    }

    fn respond(&mut self, now: Millis, open: &Open, response: &Response, actions: &mut Vec<CoapAction>) {
        self.respond_block(now, open, response, None, actions);
    }

    fn respond_block(
        &mut self,
        now: Millis,
        open: &Open,
        response: &Response,
        block: Option<(CoapOption, Block)>,
        actions: &mut Vec<CoapAction>,
    ) {
        let mut packet = Packet::new();
        packet.header.code = MessageClass::from(response.code.0 << 5 | response.code.1);
        packet.set_token(open.token.clone());
        packet.payload.clone_from(&response.body);
        if let Some(format) = response.format {
            packet.add_option(CoapOption::ContentFormat, number(u32::from(format)));
        }
        if let Some(seconds) = response.max_age {
            packet.add_option(CoapOption::MaxAge, number(seconds));
        }
        if let Some((option, block)) = block {
            packet.add_option(option, block.bytes());
        }
        let separate = !open.confirmable || open.acknowledged;
        if separate {
            self.message = self.message.wrapping_add(1);
            packet.header.message_id = self.message;
            let kind = if open.confirmable { MessageType::Confirmable } else { MessageType::NonConfirmable };
            packet.header.set_type(kind);
        } else {
            // With the acknowledgement (section 5.2.1).
            packet.header.message_id = open.message;
            packet.header.set_type(MessageType::Acknowledgement);
        }
        let Ok(bytes) = packet.to_bytes() else { return };
        if open.confirmable && open.acknowledged && self.unacknowledged.len() < self.bounds.unacknowledged {
            let wait = (ACK_TIMEOUT_MS as f64 * (1.0 + self.spread() / 2.0)) as Millis;
            let (peer, at) = (open.peer, now + wait);
            let waiting = Unacknowledged { peer, bytes: bytes.clone(), tries: 0, wait, at };
            self.unacknowledged.insert((peer, self.message), waiting);
            self.due.insert((at, peer, self.message));
        }
        if !open.acknowledged {
            self.remember(now, open.peer, open.message, Remembered::Done(bytes.clone()));
        }
        actions.push(CoapAction::Send(open.peer, bytes));
    }

    /// Time has passed: acknowledges what takes long, and sends again what was not acknowledged.
    pub fn tick(&mut self, now: Millis) -> Vec<CoapAction> {
        let mut actions = Vec::new();
        self.forget(now);
        let late: Vec<Exchange> = self
            .open
            .iter()
            .filter(|(_, open)| {
                open.confirmable && !open.acknowledged && now >= open.since + SEPARATE_AFTER_MS
            })
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in late {
            let Some(open) = self.open.get_mut(&exchange) else { continue };
            open.acknowledged = true;
            let (peer, message) = (open.peer, open.message);
            let bytes = empty(MessageType::Acknowledgement, message);
            self.remember(now, peer, message, Remembered::Acknowledged(bytes.clone()));
            actions.push(CoapAction::Send(peer, bytes));
        }
        while let Some((at, peer, message)) = self.due.first().copied().filter(|(at, ..)| *at <= now) {
            self.due.remove(&(at, peer, message));
            let Some(waiting) = self.unacknowledged.get_mut(&(peer, message)) else { continue };
            if waiting.tries >= MAX_RETRANSMIT {
                self.unacknowledged.remove(&(peer, message));
                continue;
            }
            (waiting.tries, waiting.wait) = (waiting.tries + 1, waiting.wait * 2);
            waiting.at = now + waiting.wait;
            self.due.insert((waiting.at, peer, message));
            actions.push(CoapAction::Send(waiting.peer, waiting.bytes.clone()));
        }
        actions
    }
}

fn empty(kind: MessageType, message: u16) -> Vec<u8> {
    let mut packet = Packet::new();
    packet.header.set_type(kind);
    packet.header.code = MessageClass::Empty;
    packet.header.message_id = message;
    packet.to_bytes().unwrap_or_default()
}

/// A number as an option has it: without leading zeros (section 3.2).
fn number(value: u32) -> Vec<u8> {
    let all = value.to_be_bytes();
    let skip = all.iter().take_while(|byte| **byte == 0).count();
    all[skip..].to_vec()
}

fn read(packet: &Packet, method: RequestType) -> Option<Request> {
    let texts = |option| {
        let values = packet.get_option(option).into_iter().flatten();
        values.map(|value| String::from_utf8(value.clone()).ok()).collect::<Option<Vec<_>>>()
    };
    let format = packet.get_option(CoapOption::ContentFormat).and_then(|values| values.front());
    let format = match format {
        None => None,
        Some(bytes) if bytes.len() <= 2 => {
            Some(bytes.iter().fold(0u16, |value, byte| value << 8 | u16::from(*byte)))
        }
        Some(_) => return None,
    };
    Some(Request {
        method: u8::from(MessageClass::Request(method)),
        path: texts(CoapOption::UriPath)?,
        query: texts(CoapOption::UriQuery)?,
        format,
        body: packet.payload.clone(),
    })
}
