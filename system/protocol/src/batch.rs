//! Batch jobs as trainers send them, and the pages of results that they read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The body of the `POST` that hands a batch job in. Its id comes in `Attempt-Id`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct SubmittedJob {
    /// The trainer's step, from 0.
    pub step: u64,
    /// The model whose weights make the text.
    pub model: String,
    /// The oldest version of the weights that may be used.
    pub min_version: u64,
    /// How many whole groups the trainer waits for.
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
    /// The path of the request.
    pub path: String,
    /// Its headers.
    pub headers: BTreeMap<String, String>,
    /// Its body, in base64.
    pub body: String,
    /// Tokens of the prompt and most tokens out, summed.
    pub tokens: u64,
    /// The group that it belongs to; empty if none.
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

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// Its whole text is there, with its score.
    Completed,
    /// It was given up for one of the permitted reasons.
    Abandoned,
}

/// One result of a batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedResult {
    /// The item's id.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events in order, parted by line feeds.
    pub text: String,
    /// All versions of the weights that made an event of the text.
    pub versions: Vec<u64>,
    /// The stamp of the reward call's success.
    pub score: String,
}

/// The answer to `GET /lots/ID`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ResultPage {
    /// How many items the batch job has.
    pub total: u64,
    /// The position after the last result of this page.
    pub next_page_token: u64,
    /// Results by position.
    pub results: Vec<ListedResult>,
}
