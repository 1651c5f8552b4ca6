//! The operator's configuration: prost types that are read from JSON. Unknown fields are ignored here, and retained in the text that the
//! operator sent, which is what reads return ([`ConfigurationDocument`](crate::ConfigurationDocument)).

use serde::{Deserialize, Serialize};

/// Retry semantics of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of the client.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once unless the route is resumable.
    Streaming,
    /// The requests are batch jobs.
    Deployment,
}

/// The whole configuration.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Configuration {
    /// The operator's version number.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The routes.
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<Route>,
    /// The services.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<Service>,
    /// Limits on requests of clients.
    #[prost(message, optional, tag = "4")]
    pub limits: Option<Limits>,
}

/// One route: the service for requests of a host under a path.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Route {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The host of its requests.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Prefix of the paths of its requests; the longest matching prefix wins.
    #[prost(string, tag = "3")]
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent`, `streaming` or `deployment`; see [`Route::kind`].
    #[prost(string, tag = "4")]
    pub route_kind: String,
    /// Bounds the time from a request to its response, in milliseconds; none only for `deployment`.
    #[prost(double, optional, tag = "5")]
    pub timeout_ms: Option<f64>,
    /// Latency target, in milliseconds: a response within it has its full value.
    #[prost(double, tag = "6")]
    pub target_latency_ms: f64,
    /// Priority; 0 is highest.
    #[prost(uint32, tag = "7")]
    pub priority: u32,
    /// The service for its requests; empty if `traffic_split` has several.
    #[prost(string, tag = "8")]
    pub service: String,
    /// Services with weights, in place of `service`.
    #[prost(message, repeated, tag = "9")]
    pub traffic_split: Vec<Split>,
    /// Bounds the attempts at stores for one request, or for one item of a batch job.
    #[prost(uint32, tag = "10")]
    pub max_attempts: u32,
    /// Whether requests have affinity to stores, because their prompts share cached prefixes.
    #[prost(bool, tag = "11")]
    pub sticky: bool,
    /// Whether a stream may be resumed at another store with `Last-Event-Id`.
    #[prost(bool, tag = "12")]
    pub resumable: bool,
    /// All results of a batch job are due within this time after its first submission, in milliseconds.
    #[prost(double, tag = "13")]
    pub target_completion_ms: f64,
    /// An item may be abandoned after this time since its batch job's first submission, in seconds.
    #[prost(double, tag = "14")]
    pub retention_s: f64,
    /// Whether all events of one text must be generated under the same version of the weights.
    #[prost(bool, tag = "15")]
    pub single_version: bool,
}

/// One service of a route with several.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Split {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its weight among the route's services.
    #[prost(double, tag = "2")]
    pub weight: f64,
}

/// One service.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Service {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Path of the health check of its stores.
    #[prost(string, tag = "2")]
    pub health_path: String,
    /// Bounds the connections to each of its stores, from all callers together.
    #[prost(uint32, tag = "3")]
    pub connection_limit: u32,
    /// The inference engine of its stores, if they generate tokens.
    #[prost(message, optional, tag = "4")]
    pub engine: Option<Engine>,
}

/// The inference engine of a service's stores.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Engine {
    /// Requests that run concurrently.
    #[prost(uint32, tag = "1")]
    pub slots: u32,
    /// Capacity of its KV cache, in tokens.
    #[prost(uint64, tag = "2")]
    pub kv_cache_tokens: u64,
    /// Tokens in one event of a stream.
    #[prost(uint32, tag = "3")]
    pub stride: u32,
    /// The models that each store has loaded.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<Model>,
}

/// A model of an engine.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Model {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
}

/// Limits on requests of clients, and on the time to receive them.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Bounds the head of a request, in bytes.
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    /// Bounds the body of a request, in bytes.
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    /// Bounds the time to receive a head, in milliseconds.
    #[prost(double, tag = "3")]
    pub header_timeout_ms: f64,
    /// Bounds the idle time of a connection between requests, in milliseconds.
    #[prost(double, tag = "4")]
    pub idle_timeout_ms: f64,
}

impl Route {
    /// Its retry semantics; none if `route_kind` is unknown.
    #[must_use]
    pub fn kind(&self) -> Option<RouteKind> {
        match self.route_kind.as_str() {
            "idempotent" => Some(RouteKind::Idempotent),
            "non_idempotent" => Some(RouteKind::NonIdempotent),
            "streaming" => Some(RouteKind::Streaming),
            "deployment" => Some(RouteKind::Deployment),
            _ => None,
        }
    }

    /// The services of the route with their weights; a single service has weight 1.
    #[must_use]
    pub fn services(&self) -> Vec<(&str, f64)> {
        if self.traffic_split.is_empty() {
            return vec![(self.service.as_str(), 1.0)];
        }
        self.traffic_split.iter().map(|split| (split.service.as_str(), split.weight)).collect()
    }
}

impl Configuration {
    /// The service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The route for a host and path: the longest matching prefix wins.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.path_prefix.as_str()))
            .max_by_key(|route| route.path_prefix.len())
    }
}
