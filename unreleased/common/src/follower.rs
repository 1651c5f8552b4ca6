//! What a broker holds of the record. Promises that it never goes back in version, over restarts too, and that a broker which has
//! not heard of the record for `keep_ms` stops acting on it, until it hears again of a version that is no older.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::command::{decode, encode, BookingId, Shares, Version};

/// What brokers act on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The record's version.
    pub version: Version,
    /// Zones of which less than all that is near stays near.
    pub shares: Shares,
    /// Stores in a window that has begun.
    pub out: BTreeMap<String, BookingId>,
    /// The block map's version and hash.
    pub map: (u64, u64),
}

/// Whether the record may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Under this version.
    Under(Version),
    /// Out of reach for too long, or never heard of: near, by one's own evidence.
    Alone,
}

/// What became of a view that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is newer, and has to be kept before it is acted on.
    Newer,
    /// It is what is held: the record is within reach.
    Same,
    /// It is older than what is held: whoever offers it is behind.
    Older,
    /// Another view bears the version that is held; neither is to be trusted until an operator has looked.
    Split,
}

/// A broker's hold on the record.
#[derive(Clone, Debug)]
pub struct Follower {
    view: View,
    /// The newest version that is safely kept.
    kept: Version,
    heard: Option<f64>,
    keep_ms: f64,
}

impl Follower {
    /// One that starts from what it kept; nothing where that can't be read, or was never.
    pub fn new(kept: Option<&[u8]>, keep_ms: f64) -> Self {
        let view: View = kept.and_then(decode).unwrap_or_default();
        Self { kept: view.version, view, heard: None, keep_ms }
    }

    /// Takes what a voter offers. A newer one counts from [`Follower::kept`] on.
    pub fn offer(&mut self, now: f64, view: &View) -> Offered {
        if view.version < self.view.version {
            return Offered::Older;
        }
        if view.version == self.view.version && *view != self.view {
            return Offered::Split;
        }
        self.heard = Some(now);
        if view.version == self.view.version {
            return Offered::Same;
        }
        self.view = view.clone();
        Offered::Newer
    }

    /// What has to be kept.
    pub fn bytes(&self) -> Vec<u8> {
        encode(&self.view)
    }

    /// The view held is safely kept.
    pub fn kept(&mut self) {
        self.kept = self.view.version;
    }

    /// Whether it may be acted on. What is not kept yet may not: after a crash the broker would go back.
    pub fn standing(&self, now: f64) -> Standing {
        let near = self.heard.is_some_and(|at| now - at <= self.keep_ms);
        if near && self.kept == self.view.version {
            Standing::Under(self.view.version)
        } else {
            Standing::Alone
        }
    }

    /// What it holds.
    pub fn view(&self) -> &View {
        &self.view
    }
}
