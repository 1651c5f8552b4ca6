//! The cursors of next links. A cursor holds the whole question and the last feature given, never a
//! store: any broker that has the operator's key can follow it, whatever became of the stores since.
//! It is signed, so that what comes back is what was given out.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use super::query::Bad;
use crate::geojson::Id;

const MAC_LENGTH: usize = 16;
/// No cursor is longer.
const CURSOR_MAX: usize = 4096;

/// A question, and where its next page begins.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Position {
    /// The collection.
    #[serde(rename = "c")]
    pub collection: String,
    /// The box, as the client gave it.
    #[serde(rename = "b")]
    pub bbox: Option<String>,
    /// The time, as the client gave it.
    #[serde(rename = "d")]
    pub datetime: Option<String>,
    /// Features on a page.
    #[serde(rename = "l")]
    pub limit: usize,
    /// The last feature given; the next page begins after it.
    #[serde(rename = "a")]
    pub after: Option<Id>,
}

fn mac(key: &[u8], payload: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(payload);
    Some(mac)
}

/// Makes a cursor; `None` if the position is too long to be one.
pub fn seal(position: &Position, key: &[u8]) -> Option<String> {
    let payload = serde_json::to_vec(position).ok()?;
    let mut bytes = mac(key, &payload)?.finalize().into_bytes()[..MAC_LENGTH].to_vec();
    bytes.extend_from_slice(&payload);
    let cursor = URL_SAFE_NO_PAD.encode(bytes);
    (cursor.len() <= CURSOR_MAX).then_some(cursor)
}

/// Reads a cursor that was sealed with this key.
pub fn open(cursor: &str, key: &[u8]) -> Result<Position, Bad> {
    let read = || {
        let bytes = URL_SAFE_NO_PAD.decode(cursor).ok().filter(|_| cursor.len() <= CURSOR_MAX)?;
        let (given, payload) = bytes.split_at_checked(MAC_LENGTH)?;
        mac(key, payload)?.verify_truncated_left(given).ok()?;
        serde_json::from_slice(payload).ok()
    };
    read().ok_or_else(|| Bad("cursor: not one that was given out here".to_owned()))
}
