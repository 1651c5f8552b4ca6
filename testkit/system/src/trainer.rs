//! A trainer: hands in a batch job, reads its results until enough groups are whole, ends it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine as _;
use gingerledge_protocol::{ItemState, ListedResult, ResultPage};
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::call::{call, Answer};

/// How long one call may take.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// The pause before a call is repeated.
const PAUSE: Duration = Duration::from_millis(100);
/// The host of the stand-in's configuration.
const HOST: &str = "hives.example";

/// A trainer that knows the edges.
#[derive(Clone, Debug)]
pub struct Trainer {
    edges: Vec<SocketAddr>,
}

/// One step: a batch job of groups.
#[derive(Clone, Debug)]
pub struct Step {
    /// The batch job's id.
    pub id: String,
    /// The step's number.
    pub step: u64,
    /// The model.
    pub model: String,
    /// The oldest version allowed.
    pub min_version: u64,
    /// How many groups.
    pub groups: usize,
    /// Items of each group.
    pub size: usize,
    /// How many whole groups are waited for.
    pub desired: usize,
}

impl Step {
    /// The ids of its items with their groups.
    pub fn items(&self) -> impl Iterator<Item = (String, String)> + '_ {
        (0..self.groups).flat_map(move |group| {
            (0..self.size).map(move |item| (format!("{}-{group}-{item}", self.id), format!("g{group}")))
        })
    }

    /// The body of the `POST`.
    #[must_use]
    pub fn body(&self) -> String {
        let encode = |text: &str| base64::engine::general_purpose::STANDARD.encode(text);
        let items: Vec<_> = self
            .items()
            .map(|(id, group)| {
                json!({"id": id, "path": format!("/samples/{id}"), "tokens": 940, "group": group,
                    "headers": {"Model": self.model, "Token-Count": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
                    "body": encode(&format!("prompt of {id}")),
                    "scoringEndpoint": {"id": format!("r-{id}"), "host": HOST, "path": format!("/weights/{id}"),
                        "body": encode("score")}})
            })
            .collect();
        json!({"step": self.step, "model": self.model, "minVersion": self.min_version, "desired": self.desired,
            "items": items})
        .to_string()
    }
}

impl Trainer {
    /// A trainer that calls these edges in turn.
    #[must_use]
    pub fn new(edges: Vec<SocketAddr>) -> Self {
        Self { edges }
    }

    async fn ask(
        &self,
        turn: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let edge = self.edges[turn % self.edges.len()];
        let headers: Vec<_> = [("Host", HOST)].into_iter().chain(headers.iter().copied()).collect();
        call(edge, method, path, &headers, body.as_bytes().to_vec(), PATIENCE).await.ok()
    }

    /// Hands a step in, at one edge after the other until it is taken.
    pub async fn submit(&self, step: &Step, within: Duration) -> bool {
        let headers = [("Content-Type", "application/json"), ("Attempt-Id", step.id.as_str())];
        let path = format!("/samples/{}", step.id);
        let until = Instant::now() + within;
        for turn in 0.. {
            let answer = self.ask(turn, Method::POST, &path, &headers, &step.body()).await;
            if answer.is_some_and(|answer| answer.status == StatusCode::ACCEPTED) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    /// Reads results from a position at an edge.
    pub async fn read(&self, turn: usize, id: &str, start_after: u64) -> Option<(StatusCode, ResultPage)> {
        let path = format!("/lots/{id}?startAfter={start_after}");
        let answer = self.ask(turn, Method::GET, &path, &[("Wait-Ms", "1000")], "").await?;
        let page = serde_json::from_slice(&answer.body).unwrap_or_default();
        Some((answer.status, page))
    }

    /// Reads until `desired` groups are whole; gives all results in their positions, or what there is after `within`.
    pub async fn collect(&self, step: &Step, within: Duration) -> Vec<ListedResult> {
        let groups: BTreeMap<String, String> = step.items().collect();
        let mut results: Vec<ListedResult> = Vec::new();
        let until = Instant::now() + within;
        for turn in 0.. {
            if whole_groups(&results, &groups, step.size) >= step.desired || Instant::now() > until {
                break;
            }
            match self.read(turn, &step.id, results.len() as u64).await {
                Some((StatusCode::OK, page)) => results.extend(page.results),
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
        results
    }

    /// Ends a batch job; says whether that was acknowledged.
    pub async fn end(&self, id: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        for turn in 0.. {
            let answer = self.ask(turn, Method::DELETE, &format!("/lots/{id}"), &[], "").await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }
}

fn whole_groups(results: &[ListedResult], groups: &BTreeMap<String, String>, size: usize) -> usize {
    let mut listed: BTreeMap<&str, usize> = BTreeMap::new();
    for result in results.iter().filter(|result| result.state == ItemState::Completed) {
        if let Some(group) = groups.get(&result.id) {
            *listed.entry(group).or_default() += 1;
        }
    }
    listed.values().filter(|&&count| count == size).count()
}
