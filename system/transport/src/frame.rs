//! Frames: a version byte, the payload's length (4 bytes, big-endian), and the payload, a bincode value. The length is checked
//! before anything is reserved for it, and what a payload may claim while it is decoded is bounded by its length.

use std::net::SocketAddr;

use bincode::config::{self, Configuration};
use bincode::enc::write::Writer;
use bincode::error::EncodeError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// The version of the framing, the first byte of each frame.
pub const FRAME_VERSION: u8 = 3;

/// Bounds every payload, whatever the settings.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

/// The bytes before a payload.
pub(crate) const HEADER_BYTES: usize = 5;

/// Bounds the payload of a hello, which consists of a few numbers.
pub(crate) const MAX_HELLO_BYTES: usize = 64;

/// Identifies this protocol: the first field of a [`Hello`].
const HELLO_MAGIC: u32 = 0x474c_4e4b;

/// A decoder counts a number as its full width, up to 16 bytes, where its encoding may take one.
const MAX_NUMBER_BYTES: usize = 16;
const SMALL_PAYLOAD_BYTES: usize = 64 * 1024;
const MEDIUM_PAYLOAD_BYTES: usize = 4 * 1024 * 1024;
const SMALL_CLAIM_BYTES: usize = SMALL_PAYLOAD_BYTES * MAX_NUMBER_BYTES;
const MEDIUM_CLAIM_BYTES: usize = MEDIUM_PAYLOAD_BYTES * MAX_NUMBER_BYTES;
const LARGE_CLAIM_BYTES: usize = MAX_PAYLOAD_BYTES * MAX_NUMBER_BYTES;

/// The first frame of a connection, which identifies its sender.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    magic: u32,
    listen: SocketAddr,
}

impl Hello {
    /// The hello of the node that listens on the address.
    pub(crate) fn new(listen: SocketAddr) -> Self {
        Self { magic: HELLO_MAGIC, listen }
    }

    /// The sender's listen address, if this is a hello of this protocol and the address can be that of a node.
    pub(crate) fn sender(&self) -> Result<SocketAddr, FrameError> {
        snafu::ensure!(self.magic == HELLO_MAGIC, UnknownProtocolSnafu);
        snafu::ensure!(is_reachable(self.listen), SenderSnafu { address: self.listen });
        Ok(self.listen)
    }
}

/// Whether the address can be that of a node.
pub(crate) fn is_reachable(address: SocketAddr) -> bool {
    address.is_ipv4() && address.port() != 0 && !address.ip().is_unspecified()
}

/// Why received bytes are not a frame of this protocol.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    #[snafu(display("a frame of version {version}, where {FRAME_VERSION} is known"))]
    Version { version: u8 },
    #[snafu(display("a frame of {length} bytes, where {limit} are allowed"))]
    Oversize { length: usize, limit: usize },
    #[snafu(display("a payload that does not decode: {source}"))]
    Payload { source: bincode::error::DecodeError },
    #[snafu(display("a payload followed by {bytes} more bytes"))]
    Trailing { bytes: usize },
    #[snafu(display("a first frame of another protocol"))]
    UnknownProtocol,
    #[snafu(display("a sender with the invalid address {address}"))]
    Sender { address: SocketAddr },
}

/// Why a message could not be encoded as a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EncodeFailure {
    TooLarge,
    Encoding,
}

/// Appends the message to the buffer as one frame. On failure the buffer is as before.
pub(crate) fn append<T: Serialize>(
    buffer: &mut Vec<u8>,
    message: &T,
    max_payload: usize,
) -> Result<(), EncodeFailure> {
    let start = buffer.len();
    buffer.extend_from_slice(&[FRAME_VERSION, 0, 0, 0, 0]);
    let mut writer = PayloadWriter { buffer, bytes_left: max_payload, overflowed: false };
    let encoded = bincode::serde::encode_into_writer(message, &mut writer, config::standard());
    let overflowed = writer.overflowed;
    let length = buffer.len() - start;
    let header = buffer.get_mut(start + 1..start + HEADER_BYTES);
    match (encoded, u32::try_from(length - HEADER_BYTES), header) {
        (Ok(()), Ok(payload), Some(header)) => {
            header.copy_from_slice(&payload.to_be_bytes());
            Ok(())
        }
        _ => {
            buffer.truncate(start);
            Err(if overflowed { EncodeFailure::TooLarge } else { EncodeFailure::Encoding })
        }
    }
}

/// Appends to a buffer until the payload's limit is reached.
struct PayloadWriter<'a> {
    buffer: &'a mut Vec<u8>,
    bytes_left: usize,
    overflowed: bool,
}

impl Writer for PayloadWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> Result<(), EncodeError> {
        let Some(bytes_left) = self.bytes_left.checked_sub(bytes.len()) else {
            self.overflowed = true;
            return Err(EncodeError::Other("the message is longer than a frame may be"));
        };
        self.bytes_left = bytes_left;
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }
}

/// The payload's length according to the header at the front of the bytes, or nothing if the header is not complete.
fn payload_length(bytes: &[u8], max_payload: usize) -> Result<Option<usize>, FrameError> {
    let Some((&version, after_version)) = bytes.split_first() else { return Ok(None) };
    snafu::ensure!(version == FRAME_VERSION, VersionSnafu { version });
    let Some(field) = after_version.first_chunk::<{ HEADER_BYTES - 1 }>() else { return Ok(None) };
    let length = usize::try_from(u32::from_be_bytes(*field)).unwrap_or(usize::MAX);
    snafu::ensure!(length <= max_payload, OversizeSnafu { length, limit: max_payload });
    Ok(Some(length))
}

/// The frame at the front of some bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Frame<'a> {
    pub(crate) payload: &'a [u8],
    /// The bytes after the frame.
    pub(crate) remaining: &'a [u8],
}

/// The frame at the front of the bytes, or nothing if it is not complete.
pub(crate) fn split(bytes: &[u8], max_payload: usize) -> Result<Option<Frame<'_>>, FrameError> {
    let length = payload_length(bytes, max_payload)?;
    let parts = length.and_then(|length| bytes.get(HEADER_BYTES..)?.split_at_checked(length));
    Ok(parts.map(|(payload, remaining)| Frame { payload, remaining }))
}

/// Decodes a whole payload.
pub(crate) fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    let standard = config::standard();
    if payload.len() <= SMALL_PAYLOAD_BYTES {
        decode_with(payload, standard.with_limit::<SMALL_CLAIM_BYTES>())
    } else if payload.len() <= MEDIUM_PAYLOAD_BYTES {
        decode_with(payload, standard.with_limit::<MEDIUM_CLAIM_BYTES>())
    } else {
        decode_with(payload, standard.with_limit::<LARGE_CLAIM_BYTES>())
    }
}

fn decode_with<T: DeserializeOwned, L>(payload: &[u8], limited: Limited<L>) -> Result<T, FrameError>
where
    Limited<L>: config::Config,
{
    let (message, consumed) = bincode::serde::decode_from_slice(payload, limited).context(PayloadSnafu)?;
    let bytes = payload.len().checked_sub(consumed).context(TrailingSnafu { bytes: 0usize })?;
    snafu::ensure!(bytes == 0, TrailingSnafu { bytes });
    Ok(message)
}

type Limited<L> = Configuration<config::LittleEndian, config::Varint, L>;
