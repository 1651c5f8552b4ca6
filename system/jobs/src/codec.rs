//! Encoding of all values that this crate writes to disks and logs: bincode with variable-length integers.

use bincode::config::{standard, Configuration, Limit, LittleEndian, Varint};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::{ensure, Snafu};

/// Maximum size of an encoded value in bytes, so that a corrupt length can't cause an allocation beyond the available memory.
const MAX_BYTES: usize = 256 * 1024 * 1024;

/// Error in encoding or decoding a value.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value can't be encoded.
    #[snafu(display("cannot be encoded: {source}"), context(false))]
    Encode {
        /// The error of bincode.
        source: bincode::error::EncodeError,
    },
    /// The bytes do not start with a valid value of the expected type.
    #[snafu(display("cannot be decoded: {source}"), context(false))]
    Decode {
        /// The error of bincode.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the value.
    #[snafu(display("{bytes} bytes are left over"))]
    TrailingBytes {
        /// Number of bytes after the value.
        bytes: usize,
    },
}

fn configuration() -> Configuration<LittleEndian, Varint, Limit<MAX_BYTES>> {
    standard().with_limit::<MAX_BYTES>()
}

/// Encodes a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(value, configuration())?)
}

/// Decodes a value; fails if it does not take up all the bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, configuration())?;
    ensure!(read == bytes.len(), TrailingBytesSnafu { bytes: bytes.len() - read });
    Ok(value)
}
