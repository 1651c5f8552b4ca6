//! Datagrams as bytes, most significant first: a head of 29 bytes at the most, then how many members follow, 11 bytes each.
//!
//! ```text
//! 0       version (1)
//! 1..9    who sends: number (2), start (6);   9..11  incarnation
//! 11..19  to whom: number, start
//! 19      which message; probes: their number; those on behalf of a third: its number and start before that
//! ```

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Identity, Member, Message, State};
use thiserror::Error;

use crate::Number;

/// No datagram is longer.
pub const DATAGRAM_MOST: usize = 256;
const VERSION: u8 = 1;
const NAME: usize = 8;
const MEMBER: usize = NAME + 3;
/// Starts have 48 bits.
pub(crate) const START_END: u64 = 1 << 48;

/// A broker at one of its starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Name {
    pub number: Number,
    /// Unix time in milliseconds when it started; later where an earlier start of that name was told to be gone.
    pub start: u64,
}

impl Identity for Name {
    type Addr = Number;

    /// Names are renewed by whoever hosts the protocol: it knows by how much.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> Number {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.start > adversary.start
    }
}

/// Why a datagram could not be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unreadable {
    /// Another version, or something else altogether.
    #[error("version {0}, and only {VERSION} is read here")]
    Version(u8),
    /// It ends too early.
    #[error("{0} bytes lack")]
    Short(usize),
    /// A number for which there is no broker.
    #[error("broker {0}, of a fleet of {1}")]
    Number(Number, Number),
    /// A kind of message, or a state, that there is not.
    #[error("no message or state has the letter {0}")]
    Letter(u8),
    /// There is no room for it.
    #[error("no room")]
    Full,
}

/// Writes and reads datagrams of a fleet of so many.
#[derive(Debug)]
pub(crate) struct Wire {
    pub members: Number,
    pub own: Number,
    /// The latest start of this broker's own name that anyone has told of.
    pub told: Rc<Cell<u64>>,
}

fn need(buf: &impl Buf, bytes: usize) -> Result<(), Unreadable> {
    match bytes.saturating_sub(buf.remaining()) {
        0 => Ok(()),
        lack => Err(Unreadable::Short(lack)),
    }
}

fn put_name(name: &Name, buf: &mut impl BufMut) {
    buf.put_u16(name.number);
    buf.put_uint(name.start, 6);
}

impl Wire {
    fn name(&self, buf: &mut impl Buf) -> Result<Name, Unreadable> {
        need(buf, NAME)?;
        let name = Name { number: buf.get_u16(), start: buf.get_uint(6) };
        if name.number >= self.members {
            return Err(Unreadable::Number(name.number, self.members));
        }
        Ok(name)
    }
}

impl Codec<Name> for Wire {
    type Error = Unreadable;

    fn encode_header(&mut self, header: &Header<Name>, mut buf: impl BufMut) -> Result<(), Unreadable> {
        if buf.remaining_mut() < 3 * NAME + 5 {
            return Err(Unreadable::Full);
        }
        buf.put_u8(VERSION);
        put_name(&header.src, &mut buf);
        buf.put_u16(header.src_incarnation);
        put_name(&header.dst, &mut buf);
        let (letter, third, probe) = match &header.message {
            Message::Ping(probe) => (0, None, Some(probe)),
            Message::Ack(probe) => (1, None, Some(probe)),
            Message::PingReq { target, probe_number } => (2, Some(target), Some(probe_number)),
            Message::IndirectPing { origin, probe_number } => (3, Some(origin), Some(probe_number)),
            Message::IndirectAck { target, probe_number } => (4, Some(target), Some(probe_number)),
            Message::ForwardedAck { origin, probe_number } => (5, Some(origin), Some(probe_number)),
            Message::Announce => (6, None, None),
            Message::Feed => (7, None, None),
            Message::Gossip => (8, None, None),
            Message::Broadcast => (9, None, None),
            Message::TurnUndead => (10, None, None),
        };
        buf.put_u8(letter);
        if let Some(third) = third {
            put_name(third, &mut buf);
        }
        if let Some(probe) = probe {
            buf.put_u8(*probe);
        }
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<Name>, Unreadable> {
        need(&buf, 1)?;
        match buf.get_u8() {
            VERSION => {}
            other => return Err(Unreadable::Version(other)),
        }
        let src = self.name(&mut buf)?;
        need(&buf, 2)?;
        let src_incarnation = buf.get_u16();
        let dst = self.name(&mut buf)?;
        need(&buf, 1)?;
        let letter = buf.get_u8();
        let third = if (2..=5).contains(&letter) { Some(self.name(&mut buf)?) } else { None };
        let probe_number = match letter {
            0..=5 => {
                need(&buf, 1)?;
                buf.get_u8()
            }
            _ => 0,
        };
        let message = match (letter, third) {
            (0, _) => Message::Ping(probe_number),
            (1, _) => Message::Ack(probe_number),
            (2, Some(target)) => Message::PingReq { target, probe_number },
            (3, Some(origin)) => Message::IndirectPing { origin, probe_number },
            (4, Some(target)) => Message::IndirectAck { target, probe_number },
            (5, Some(origin)) => Message::ForwardedAck { origin, probe_number },
            (6, _) => Message::Announce,
            (7, _) => Message::Feed,
            (8, _) => Message::Gossip,
            (9, _) => Message::Broadcast,
            (10, _) => Message::TurnUndead,
            (other, _) => return Err(Unreadable::Letter(other)),
        };
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &Member<Name>, mut buf: impl BufMut) -> Result<(), Unreadable> {
        if buf.remaining_mut() < MEMBER {
            return Err(Unreadable::Full);
        }
        put_name(member.id(), &mut buf);
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<Name>, Unreadable> {
        let name = self.name(&mut buf)?;
        need(&buf, 3)?;
        let incarnation = buf.get_u16();
        let state = match buf.get_u8() {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            other => return Err(Unreadable::Letter(other)),
        };
        if name.number == self.own {
            self.told.set(self.told.get().max(name.start));
        }
        Ok(Member::new(name, incarnation, state))
    }
}
