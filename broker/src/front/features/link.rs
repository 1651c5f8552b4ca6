//! Cursors of next links. A cursor contains all parameters of the request and the id of the last feature returned, but no
//! store: any broker with the operator's key can serve the next page, even if the stores have changed since. It is signed
//! (HMAC-SHA-256, truncated), so clients cannot alter it.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use super::query::InvalidRequest;
use crate::geojson::FeatureId;

/// Length of the truncated signature at the start of a cursor, in bytes.
const MAC_BYTES: usize = 16;
/// Maximum length of an encoded cursor, in bytes.
const CURSOR_MAX_BYTES: usize = 4096;

/// The parameters of an items request, and the position of its next page.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Position {
    /// Id of the collection.
    #[serde(rename = "c")]
    pub collection: String,
    /// Bounding box, as the client sent it.
    #[serde(rename = "b")]
    pub bbox: Option<String>,
    /// Date-time or interval, as the client sent it.
    #[serde(rename = "d")]
    pub datetime: Option<String>,
    /// Maximum number of features on a page.
    #[serde(rename = "l")]
    pub limit: usize,
    /// Id of the last feature returned; the next page begins after it.
    #[serde(rename = "a")]
    pub after: Option<FeatureId>,
}

fn mac(key: &[u8], payload: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(payload);
    Some(mac)
}

/// Encodes and signs a cursor; `None` if it would be longer than the maximum.
pub fn encode_cursor(position: &Position, key: &[u8]) -> Option<String> {
    let payload = serde_json::to_vec(position).ok()?;
    let mut bytes = mac(key, &payload)?.finalize().into_bytes()[..MAC_BYTES].to_vec();
    bytes.extend_from_slice(&payload);
    let cursor = URL_SAFE_NO_PAD.encode(bytes);
    (cursor.len() <= CURSOR_MAX_BYTES).then_some(cursor)
}

/// Verifies and decodes a cursor that was signed with `key`.
///
/// # Errors
///
/// If the cursor is too long or malformed, or its signature is invalid.
pub fn decode_cursor(cursor: &str, key: &[u8]) -> Result<Position, InvalidRequest> {
    let decode = || {
        let bytes = URL_SAFE_NO_PAD.decode(cursor).ok().filter(|_| cursor.len() <= CURSOR_MAX_BYTES)?;
        let (signature, payload) = bytes.split_at_checked(MAC_BYTES)?;
        mac(key, payload)?.verify_truncated_left(signature).ok()?;
        serde_json::from_slice(payload).ok()
    };
    decode().ok_or_else(|| InvalidRequest("cursor: not one that was given out here".to_owned()))
}
