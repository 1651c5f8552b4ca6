//! What stores tell the control plane, and what the control plane orders of stores.

use serde::{Deserialize, Serialize};

/// Whether a store takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// It takes requests.
    #[default]
    Ready,
    /// It is about to leave and takes none that are new.
    Draining,
}

/// A model that a store holds, and the version of its weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
}

/// The body of `POST /instances/ID/heartbeat`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Heartbeat {
    /// The service that the store belongs to.
    pub service: String,
    /// Where the store serves, `ip:port`.
    pub address: String,
    /// The store's zone.
    pub zone: String,
    /// The version of the store's software.
    pub version: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: StoreState,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_remaining_ms: f64,
    /// The models that it holds.
    pub models: Vec<LoadedModel>,
    /// Rises with each call of this instance.
    pub sequence: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct HeartbeatReply {
    /// Where later heartbeats should go.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heartbeat_address: Option<String>,
}

/// The body of `POST /order` at a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// What is ordered, `version` for new weights.
    pub operation: String,
    /// The model concerned.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// How running requests end: `blocking`, `truncate` or `preserve`.
    pub method: String,
    /// The name of the node that holds the lease.
    pub holder: String,
    /// The fencing token, which never falls.
    pub fencing_token: u64,
    /// The store's `sequence` that the order expects.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<u64>,
}

/// The body of the answer to `GET /report` at a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Report {
    /// The models that it holds.
    pub models: Vec<LoadedModel>,
    /// Whether an order is under way.
    pub utilization: bool,
    /// How many orders it has taken.
    pub sequence: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that run.
    pub running: u64,
}
