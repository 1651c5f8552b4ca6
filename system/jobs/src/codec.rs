//! The one form in which this crate writes values as bytes.

use bincode::config::{standard, Configuration, Limit, LittleEndian, Varint};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::{ensure, Snafu};

/// No value is longer, so that a damaged length cannot ask for more memory than there is.
const LONGEST_BYTES: usize = 256 * 1024 * 1024;

/// Why bytes and value don't fit each other.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value can't be written.
    #[snafu(display("cannot be encoded: {source}"), context(false))]
    Encode {
        /// The codec's words.
        source: bincode::error::EncodeError,
    },
    /// The bytes hold no such value.
    #[snafu(display("cannot be decoded: {source}"), context(false))]
    Decode {
        /// The codec's words.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the value.
    #[snafu(display("{bytes} bytes are left over"))]
    LeftOver {
        /// How many.
        bytes: usize,
    },
}

fn configuration() -> Configuration<LittleEndian, Varint, Limit<LONGEST_BYTES>> {
    standard().with_limit::<LONGEST_BYTES>()
}

/// Writes a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(value, configuration())?)
}

/// Reads a value that takes all the bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, configuration())?;
    ensure!(read == bytes.len(), LeftOverSnafu { bytes: bytes.len() - read });
    Ok(value)
}
