//! Batch jobs as trainers submit them, and the pages of results that they read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The body of the `POST` that submits a batch job. Its id is in the header `Attempt-Id`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct SubmittedJob {
    /// The trainer's step, from 0.
    pub step: u64,
    /// Name of the model that generates the texts.
    pub model: String,
    /// The oldest permitted version of the weights.
    pub min_version: u64,
    /// How many complete groups the trainer waits for.
    pub desired: u64,
    /// The items, in the trainer's order.
    pub items: Vec<Item>,
}

/// One item of a batch job: a request for one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Item {
    /// The item's id, sent to stores as `Attempt-Id`.
    pub id: String,
    /// Path of the request to a store.
    pub path: String,
    /// Headers of the request.
    pub headers: BTreeMap<String, String>,
    /// Body of the request, in base64.
    pub body: String,
    /// Tokens of the prompt plus the maximum of generated tokens.
    pub tokens: u64,
    /// Its group, whose items share a prompt; empty if none.
    pub group: String,
    /// The reward call that scores its text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub scoring_endpoint: Option<ScoringEndpoint>,
}

/// The reward call of an item.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ScoringEndpoint {
    /// Sent as `Attempt-Id`.
    pub id: String,
    /// The host whose route is taken.
    pub host: String,
    /// The path of the call.
    pub path: String,
    /// Its body, in base64.
    pub body: String,
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// Its complete text and its score are available.
    Completed,
    /// It was abandoned for one of the permitted reasons.
    Abandoned,
}

/// One result of a batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The item's id.
    pub id: String,
    /// Its final state.
    pub state: ItemState,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// All versions of the weights that generated an event of the text.
    pub versions: Vec<u64>,
    /// The stamp in the response of the reward call; empty if there was none.
    pub score: String,
}

/// The response to `GET /lots/ID`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ResultPage {
    /// Number of items of the batch job.
    pub total: u64,
    /// The position after the last result of this page, from which the next page starts.
    pub next_page_token: u64,
    /// Results by position.
    pub results: Vec<ListedResult>,
}
