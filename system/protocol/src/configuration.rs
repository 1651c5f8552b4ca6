//! The operator's configuration: prost types that are read from JSON. Unknown fields are passed over; the bytes that the
//! operator sent are kept beside them, since they are what is read back.

use serde::{Deserialize, Serialize};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each try.
    NonIdempotent,
    /// The answer is a series of events; runs at most once unless the route is resumable.
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
    /// What a client may send.
    #[prost(message, optional, tag = "4")]
    pub limits: Option<Limits>,
}

/// One route.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Route {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The host that it belongs to.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Paths that begin so are its own; the longest prefix wins.
    #[prost(string, tag = "3")]
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent`, `streaming` or `deployment`; see [`Route::kind`].
    #[prost(string, tag = "4")]
    pub route_kind: String,
    /// The longest time that a try is held, in milliseconds.
    #[prost(double, optional, tag = "5")]
    pub timeout_ms: Option<f64>,
    /// The time within which an answer earns its full worth, in milliseconds.
    #[prost(double, tag = "6")]
    pub target_latency_ms: f64,
    /// Its rank; 0 is highest.
    #[prost(uint32, tag = "7")]
    pub priority: u32,
    /// The service that requests go to; empty where `traffic_split` says.
    #[prost(string, tag = "8")]
    pub service: String,
    /// Services with weights.
    #[prost(message, repeated, tag = "9")]
    pub traffic_split: Vec<Split>,
    /// The most stores that one try may go to; attempts of an item of a batch job.
    #[prost(uint32, tag = "10")]
    pub max_attempts: u32,
    /// Whether prompts share parts that stores keep.
    #[prost(bool, tag = "11")]
    pub sticky: bool,
    /// Whether a stream may be taken up at another store with `Last-Event-Id`.
    #[prost(bool, tag = "12")]
    pub resumable: bool,
    /// All results of a batch job are due that long after its first send, in milliseconds.
    #[prost(double, tag = "13")]
    pub target_completion_ms: f64,
    /// An item may be given up that long after its batch job's first send, in seconds.
    #[prost(double, tag = "14")]
    pub retention_s: f64,
    /// Whether all events of one text must be made under one version of the weights.
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
    /// The path of its health check.
    #[prost(string, tag = "2")]
    pub health_path: String,
    /// How many connections each of its stores takes from all callers together.
    #[prost(uint32, tag = "3")]
    pub connection_limit: u32,
    /// What its stores are, where they make tokens.
    #[prost(message, optional, tag = "4")]
    pub engine: Option<Engine>,
}

/// What the stores of a service that makes tokens are.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Engine {
    /// Requests that run at once.
    #[prost(uint32, tag = "1")]
    pub slots: u32,
    /// Tokens that its memory holds.
    #[prost(uint64, tag = "2")]
    pub kv_cache_tokens: u64,
    /// Tokens in one event of a stream.
    #[prost(uint32, tag = "3")]
    pub stride: u32,
    /// The models that each store holds.
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

/// What a client may send, and how long it may take.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    #[prost(uint64, tag = "1")]
    pub max_header_bytes: u64,
    /// The largest body of a request, in bytes.
    #[prost(uint64, tag = "2")]
    pub max_body_bytes: u64,
    /// How long a head may take, in milliseconds.
    #[prost(double, tag = "3")]
    pub header_timeout_ms: f64,
    /// How long a connection may rest between requests, in milliseconds.
    #[prost(double, tag = "4")]
    pub idle_timeout_ms: f64,
}

impl Route {
    /// What may be repeated here; none where the word is unknown.
    pub fn kind(&self) -> Option<RouteKind> {
        match self.route_kind.as_str() {
            "idempotent" => Some(RouteKind::Idempotent),
            "non_idempotent" => Some(RouteKind::NonIdempotent),
            "streaming" => Some(RouteKind::Streaming),
            "deployment" => Some(RouteKind::Deployment),
            _ => None,
        }
    }

    /// The services of the route with their weights.
    pub fn services(&self) -> Vec<(&str, f64)> {
        if self.traffic_split.is_empty() {
            return vec![(self.service.as_str(), 1.0)];
        }
        self.traffic_split.iter().map(|split| (split.service.as_str(), split.weight)).collect()
    }
}

impl Configuration {
    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The route of a host and path: the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.path_prefix.as_str()))
            .max_by_key(|route| route.path_prefix.len())
    }
}
