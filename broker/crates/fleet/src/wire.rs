//! Encoding of datagrams, in big-endian byte order: a header of at most 29 bytes, then the number of members that follow and 11
//! bytes for each member. Offsets of the header, with sizes in bytes in parentheses:
//!
//! ```text
//! 0       version (1)
//! 1..9    sender: number (2), start time (6);   9..11  incarnation of the sender
//! 11..19  receiver: number (2), start time (6)
//! 19      message tag (1); indirect probes: number (2) and start time (6) of the third party; probes: probe number (1)
//! ```

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Identity, Member, Message, State};
use thiserror::Error;

use crate::BrokerNumber;

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const VERSION: u8 = 1;
const IDENTITY_BYTES: usize = 8;
const MEMBER_BYTES: usize = IDENTITY_BYTES + 3;
/// Upper bound of start times, exclusive: they are encoded in 48 bits.
pub(crate) const START_LIMIT: u64 = 1 << 48;

/// Identity of a broker: its number, and the start that distinguishes it from earlier runs of the same broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokerIdentity {
    pub number: BrokerNumber,
    /// Start time in Unix milliseconds; a later value if an earlier identity of this broker was declared down.
    pub start: u64,
}

impl Identity for BrokerIdentity {
    type Addr = BrokerNumber;

    /// Never renews an identity here: `Membership` does so, since it knows by how much the start time has to advance.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> BrokerNumber {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.start > adversary.start
    }
}

/// Error of encoding or decoding a header or a member entry.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The datagram has another version, or is no membership datagram at all; holds its first byte.
    #[error("version {0}, and only {VERSION} is read here")]
    UnsupportedVersion(u8),
    /// The datagram ends too early; holds the number of missing bytes.
    #[error("{0} bytes lack")]
    Truncated(usize),
    /// The number is not that of a configured broker; holds the number and the number of configured brokers.
    #[error("broker {0}, of a fleet of {1}")]
    UnknownBroker(BrokerNumber, BrokerNumber),
    /// The tag is not that of a message or a member state.
    #[error("no message or state has the letter {0}")]
    UnknownTag(u8),
    /// The datagram that is being encoded has no space left.
    #[error("no room")]
    BufferFull,
}

/// Encodes and decodes datagrams of a fleet of `members` brokers.
#[derive(Debug)]
pub(crate) struct DatagramCodec {
    pub members: BrokerNumber,
    pub own: BrokerNumber,
    /// Latest start time of this broker that any decoded member entry has contained.
    pub latest_own_start: Rc<Cell<u64>>,
}

fn require(buf: &impl Buf, bytes: usize) -> Result<(), CodecError> {
    match bytes.saturating_sub(buf.remaining()) {
        0 => Ok(()),
        missing => Err(CodecError::Truncated(missing)),
    }
}

fn put_identity(identity: &BrokerIdentity, buf: &mut impl BufMut) {
    buf.put_u16(identity.number);
    buf.put_uint(identity.start, 6);
}

impl DatagramCodec {
    fn decode_identity(&self, buf: &mut impl Buf) -> Result<BrokerIdentity, CodecError> {
        require(buf, IDENTITY_BYTES)?;
        let identity = BrokerIdentity { number: buf.get_u16(), start: buf.get_uint(6) };
        if identity.number >= self.members {
            return Err(CodecError::UnknownBroker(identity.number, self.members));
        }
        Ok(identity)
    }
}

impl Codec<BrokerIdentity> for DatagramCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &Header<BrokerIdentity>,
        mut buf: impl BufMut,
    ) -> Result<(), CodecError> {
        if buf.remaining_mut() < 3 * IDENTITY_BYTES + 5 {
            return Err(CodecError::BufferFull);
        }
        buf.put_u8(VERSION);
        put_identity(&header.src, &mut buf);
        buf.put_u16(header.src_incarnation);
        put_identity(&header.dst, &mut buf);
        let (tag, third_party, probe) = match &header.message {
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
        buf.put_u8(tag);
        if let Some(third_party) = third_party {
            put_identity(third_party, &mut buf);
        }
        if let Some(probe) = probe {
            buf.put_u8(*probe);
        }
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<BrokerIdentity>, CodecError> {
        require(&buf, 1)?;
        match buf.get_u8() {
            VERSION => {}
            other => return Err(CodecError::UnsupportedVersion(other)),
        }
        let src = self.decode_identity(&mut buf)?;
        require(&buf, 2)?;
        let src_incarnation = buf.get_u16();
        let dst = self.decode_identity(&mut buf)?;
        require(&buf, 1)?;
        let tag = buf.get_u8();
        let third_party = if (2..=5).contains(&tag) { Some(self.decode_identity(&mut buf)?) } else { None };
        let probe_number = match tag {
            0..=5 => {
                require(&buf, 1)?;
                buf.get_u8()
            }
            _ => 0,
        };
        let message = match (tag, third_party) {
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
            (other, _) => return Err(CodecError::UnknownTag(other)),
        };
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(
        &mut self,
        member: &Member<BrokerIdentity>,
        mut buf: impl BufMut,
    ) -> Result<(), CodecError> {
        if buf.remaining_mut() < MEMBER_BYTES {
            return Err(CodecError::BufferFull);
        }
        put_identity(member.id(), &mut buf);
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<BrokerIdentity>, CodecError> {
        let identity = self.decode_identity(&mut buf)?;
        require(&buf, 3)?;
        let incarnation = buf.get_u16();
        let state = match buf.get_u8() {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            other => return Err(CodecError::UnknownTag(other)),
        };
        if identity.number == self.own {
            self.latest_own_start.set(self.latest_own_start.get().max(identity.start));
        }
        Ok(Member::new(identity, incarnation, state))
    }
}
