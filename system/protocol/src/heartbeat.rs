//! Heartbeats of stores to the control plane, and orders of the control plane to stores.

use serde::{Deserialize, Serialize};

/// Whether a store accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It is shutting down gracefully, and accepts no new requests.
    Draining,
}

/// A model that a store has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
}

/// The body of `POST /instances/ID/heartbeat`, from a store to a control node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Heartbeat {
    /// The service that the store belongs to.
    pub service: String,
    /// Address for requests, `ip:port`.
    pub address: String,
    /// The store's failure domain.
    pub zone: String,
    /// The version of the store's software.
    pub version: String,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: StoreState,
    /// Remaining time of its warm-up after a start, in milliseconds.
    pub cold_remaining_ms: f64,
    /// The models that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Rises with each heartbeat of this instance.
    pub sequence: u64,
}

/// The response to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct HeartbeatReply {
    /// Address for later heartbeats, if it changes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heartbeat_address: Option<String>,
}

/// The body of `POST /order`, from the coordinator to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// The operation; `version` loads new weights.
    pub operation: String,
    /// Name of the model.
    pub model: String,
    /// The version of the weights to load.
    pub version: u64,
    /// What happens to running requests: `blocking`, `truncate` or `preserve`.
    pub method: String,
    /// Name of the node that owns the coordinator lease.
    pub holder: String,
    /// The coordinator's fencing token; a store rejects a lower one than it has seen.
    pub fencing_token: u64,
    /// The order is carried out only if the store's [`Report::sequence`] has this value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<u64>,
}

/// The response to `GET /report` at a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Report {
    /// The models that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Whether an order is being carried out.
    pub utilization: bool,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Number of queued requests.
    pub waiting: u64,
    /// Number of running requests.
    pub running: u64,
}
