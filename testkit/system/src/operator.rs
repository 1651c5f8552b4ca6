//! An operator who sends configurations until one is taken, and a configuration for two services.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{json, Value};

use crate::call::{call, Answer};

/// How long the operator waits for one answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// The pause between two rounds over all control nodes.
const PAUSE: Duration = Duration::from_millis(50);

/// Where whole configurations are sent.
pub const REPLACE: &str = "/configuration/replace";
/// Where updates of named items are sent.
pub const UPDATE: &str = "/configuration/update";

/// An operator who knows the control nodes.
#[derive(Clone, Debug)]
pub struct Operator {
    control: Vec<SocketAddr>,
}

/// A configuration with a service of engines, `forage-model`, and an ordinary one, `colony-ledger`, on host `hives.example`.
#[must_use]
pub fn configuration(version: u64, models: &[&str]) -> Value {
    let models: Vec<_> = models.iter().map(|name| json!({ "name": name })).collect();
    json!({
        "version": version,
        "routes": [
            {"name": "weights", "host": "hives.example", "pathPrefix": "/weights/", "routeKind": "idempotent",
             "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 2, "service": "colony-ledger", "maxAttempts": 3},
            {"name": "samples", "host": "hives.example", "pathPrefix": "/samples/", "routeKind": "deployment",
             "targetLatencyMs": 500, "targetCompletionMs": 10000, "retentionS": 60, "timeoutMs": 10000, "priority": 1,
             "service": "forage-model", "maxAttempts": 3, "sticky": true, "resumable": true}
        ],
        "services": [
            {"name": "colony-ledger", "healthPath": "/healthz", "connectionLimit": 100, "protocol": "h1", "tls": false},
            {"name": "forage-model", "healthPath": "/healthz", "connectionLimit": 100, "protocol": "h1", "tls": false,
             "engine": {"slots": 8, "kvCacheTokens": 90000, "kvBytes": 131_072, "linkMbps": 4_400_000.0, "stride": 62,
                        "models": models}}
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33_554_432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    })
}

impl Operator {
    /// An operator who calls these nodes in turn.
    #[must_use]
    pub fn new(control: Vec<SocketAddr>) -> Self {
        Self { control }
    }

    /// Sends one call to the nodes in turn until one gives an answer that is neither a 5xx nor silence; none within `within`.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        within: Duration,
    ) -> Option<Answer> {
        let rounds = async {
            loop {
                for &node in &self.control {
                    let sent =
                        call(node, method.clone(), path, headers, body.as_bytes().to_vec(), PATIENCE).await;
                    match sent {
                        Ok(answer) if !answer.status.is_server_error() => return answer,
                        _ => {}
                    }
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(within, rounds).await.ok()
    }

    /// Sends a configuration on top of `base`; gives the status of the final answer.
    pub async fn replace(&self, base: u64, configuration: &Value, within: Duration) -> Option<StatusCode> {
        self.change(REPLACE, base, configuration, within).await
    }

    /// Sends an update of named items on top of `base`; gives the status of the final answer.
    pub async fn update(&self, base: u64, update: &Value, within: Duration) -> Option<StatusCode> {
        self.change(UPDATE, base, update, within).await
    }

    /// Sends a change of the configuration to [`REPLACE`] or [`UPDATE`]; gives the status of the final answer.
    pub async fn change(
        &self,
        path: &str,
        base: u64,
        change: &Value,
        within: Duration,
    ) -> Option<StatusCode> {
        let base = base.to_string();
        let headers = [("Content-Type", "application/json"), ("Base-Version", base.as_str())];
        let answer = self.ask(Method::POST, path, &headers, &change.to_string(), within).await?;
        Some(answer.status)
    }

    /// Names a version of a model.
    pub async fn name_version(&self, model: &str, version: u64, within: Duration) -> Option<StatusCode> {
        let headers = [("Content-Type", "application/json")];
        let body = json!({"model": model, "version": version}).to_string();
        let answer = self.ask(Method::POST, "/version-put", &headers, &body, within).await?;
        Some(answer.status)
    }

    /// Reads the configuration back.
    pub async fn read(&self, within: Duration) -> Option<Answer> {
        self.ask(Method::GET, "/configuration/read", &[], "", within).await
    }
}
