//! The operator's `[fleet]` table: configuration of the membership of brokers. Every error names the key.

use std::collections::HashSet;
use std::net::SocketAddr;

use gingerledge_fleet::{BrokerNumber, Settings};
use serde::Deserialize;
use serde_json::Value;

use super::Error;
use crate::clock::Millis;

/// Maximum number of brokers in a fleet.
const MEMBERS_MOST: usize = 1_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Table {
    probe_ms: Millis,
    answer_ms: Millis,
    sent_per_s: f64,
}

impl Default for Table {
    fn default() -> Self {
        Self { probe_ms: 1_000.0, answer_ms: 300.0, sent_per_s: 20.0 }
    }
}

/// Configuration of fleet membership.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Address on which datagrams of other brokers are received.
    pub listen: SocketAddr,
    /// Addresses of the brokers, in the order of their numbers. The entry of this broker itself is not used.
    pub peers: Vec<SocketAddr>,
    /// Settings of the membership protocol.
    pub settings: Settings,
}

impl Fleet {
    /// Reads the table, and from the platform's configuration the keys `peer_listen`, `peers` and `settings.index`.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or invalid.
    pub fn read(table: toml::Table, json: &Value) -> Result<Self, Error> {
        let table: Table =
            table.try_into().map_err(|e: toml::de::Error| Error::new("fleet", e.message().to_owned()))?;
        let check_range =
            |key: &str, value, least, most| super::check_range(format!("fleet.{key}"), value, least, most);
        let probe_ms = check_range("probe_ms", table.probe_ms, 100.0, 60_000.0)?;
        // An indirect probe through other members takes the same time again, plus a margin, and both have to fit in one
        // probe interval.
        let answer_ms = check_range("answer_ms", table.answer_ms, 5.0, probe_ms / 2.5)?;
        let sent_per_s = check_range("sent_per_s", table.sent_per_s, 5.0, 1_000.0)?;
        let address = |key: &str, value: &Value| {
            let text = value.as_str().unwrap_or_default();
            text.parse::<SocketAddr>()
                .map_err(|_| Error::new(key, format!("expected address:port for [fleet], found `{value}`")))
        };
        let listen = address("peer_listen", &json["peer_listen"])?;
        let listed = json["peers"].as_array().ok_or_else(|| {
            Error::new("peers", "missing; [fleet] needs the brokers' addresses in the order of their numbers")
        })?;
        if !(2..=MEMBERS_MOST).contains(&listed.len()) {
            let fault = format!("expected 2 to {MEMBERS_MOST} addresses for [fleet], found {}", listed.len());
            return Err(Error::new("peers", fault));
        }
        let peers = listed
            .iter()
            .enumerate()
            .map(|(n, peer)| address(&format!("peers[{n}]"), peer))
            .collect::<Result<Vec<_>, _>>()?;
        let mut seen = HashSet::new();
        if let Some(n) = peers.iter().position(|peer| !seen.insert(*peer)) {
            let fault =
                format!("{} stands there twice: a datagram tells by its address who sent it", peers[n]);
            return Err(Error::new(format!("peers[{n}]"), fault));
        }
        let index = &json["settings"]["index"];
        let own = index.as_u64().filter(|own| (*own as usize) < peers.len()).ok_or_else(|| {
            let fault = format!("expected this broker's place among {} peers, found `{index}`", peers.len());
            Error::new("settings.index", fault)
        })?;
        let settings = Settings {
            members: peers.len() as BrokerNumber,
            own: own as BrokerNumber,
            probe_ms,
            answer_ms,
            sent_per_s,
        };
        Ok(Self { listen, peers, settings })
    }
}
