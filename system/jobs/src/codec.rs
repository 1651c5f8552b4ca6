//! The encoding of all values that this crate writes to disks and logs: bincode with variable-length integers.

use bincode::config::{standard, Configuration, Limit, LittleEndian, Varint};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::{ensure, Snafu};

/// Bounds an encoded value, so that a damaged length cannot allocate more memory than there is.
const MAX_BYTES: usize = 256 * 1024 * 1024;

/// Why a value can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value can't be encoded.
    #[snafu(display("cannot be encoded: {source}"), context(false))]
    Encode {
        /// The error of bincode.
        source: bincode::error::EncodeError,
    },
    /// The bytes don't start with such a value.
    #[snafu(display("cannot be decoded: {source}"), context(false))]
    Decode {
        /// The error of bincode.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the value.
    #[snafu(display("{bytes} bytes are left over"))]
    LeftOver {
        /// How many bytes follow.
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

/// Decodes a value that takes up all the bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, configuration())?;
    ensure!(read == bytes.len(), LeftOverSnafu { bytes: bytes.len() - read });
    Ok(value)
}
