//! Reading and validation of the configuration, with all defaults. Its sources are the environment, the JSON file that
//! `LB_CONFIG` names, and the operator's file. Every error names the faulty key.

pub mod blocks;
pub mod features;
pub mod fleet;

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gingerledge_dispatch::Setup;
use log::LevelFilter;
use serde_json::Value;

use crate::clock::Millis;
use crate::discovery::watching;

/// Error in the configuration: a key, and the description of its fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    key: String,
    fault: String,
}

impl Error {
    /// Creates an error of `key`.
    pub fn new(key: impl Into<String>, fault: impl Into<String>) -> Self {
        Self { key: key.into(), fault: fault.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.fault)
    }
}

impl std::error::Error for Error {}

/// Time-outs of client connections: devices on poor links are slow, and stalled ones must not stay connected forever.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Time after which a connection without a request in progress is closed.
    pub idle: Duration,
    /// Time-out for reading a request, from its first byte; for the first request of a connection, from its acceptance.
    pub read: Duration,
    /// Time-out for writing an answer.
    pub write: Duration,
}

/// The program's complete configuration.
#[derive(Debug)]
pub struct Config {
    /// The broker's name.
    pub name: String,
    /// Address for the platform's clients.
    pub listen: SocketAddr,
    /// Address of the admin endpoint, if there is one.
    pub admin: Option<SocketAddr>,
    /// Descriptor of an inherited listener for the platform's clients.
    pub listener: Option<i32>,
    /// The only directory that may be written to.
    pub state_dir: Option<PathBuf>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors of all processes of this broker.
    pub sockets: usize,
    /// Memory limit in MB.
    pub memory_mb: usize,
    /// The last endpoint list of an earlier process, in discovery's format.
    pub remembered_list: Option<Value>,
    /// Settings of the decision module, and the names of classes, tenants and zones.
    pub setup: Setup,
    /// Maximum number of open queries, and of open parts.
    pub max_open: usize,
    /// Maximum number of parts in flight on a connection to a store.
    pub streams: usize,
    /// Time-out for opening a connection to a store, in milliseconds.
    pub dial_timeout_ms: Millis,
    /// Idle time after which a store closes a connection, in milliseconds.
    pub idle_ms: Millis,
    /// Time-outs of client connections.
    pub client_timeouts: ClientTimeouts,
    /// Time-outs of calls to discovery.
    pub calls: watching::CallTimeouts,
    /// Log level.
    pub log: LevelFilter,
    /// Whether the log is written as JSON lines.
    pub log_json: bool,
    /// The feature front, if the operator has configured one.
    pub features: Option<features::Features>,
    /// Movable blocks, if the operator has configured them.
    pub blocks: Option<blocks::Blocks>,
    /// Fleet membership, if the operator has configured it.
    pub fleet: Option<fleet::Fleet>,
}

/// Default maximum of the retry delay sent to refused clients, in milliseconds.
const RETRY_AFTER_MS: Millis = 1000.0;
/// Lower bounds of the configurable numbers of file descriptors and of MB of memory.
const SOCKETS_MIN: usize = 64;
const MEMORY_MB_MIN: usize = 16;
/// Default time-outs for a request and for an idle connection, in milliseconds.
const DEFAULT_READ_TIMEOUT_MS: u64 = 2500;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 2500;
/// Exclusive upper bound of file descriptor numbers.
const FD_LIMIT: i32 = 1 << 20;
/// Upper bound of the configurable time-outs of client connections, in milliseconds.
const WAIT_MOST_MS: u64 = 3_600_000;

impl Config {
    /// Reads the environment through `var`, and the files that it names through `read`.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or invalid.
    pub fn read(
        var: impl Fn(&str) -> Option<String>,
        read: impl Fn(&str) -> std::io::Result<String>,
    ) -> Result<Self, Error> {
        let file = |key: &str, path: &str| {
            read(path).map_err(|e| Error::new(key, format!("can't read `{path}`: {e}")))
        };
        let path = var("LB_CONFIG").ok_or_else(|| Error::new("LB_CONFIG", "not set"))?;
        let text = file("LB_CONFIG", &path)?;
        let json: Value =
            serde_json::from_str(&text).map_err(|e| Error::new("LB_CONFIG", format!("not JSON: {e}")))?;
        // Environment variables take precedence over the file.
        let text_setting = |env: &str, key: &str| match var(env) {
            Some(text) => Ok((env.to_owned(), text)),
            None => match json.get(key).and_then(Value::as_str) {
                Some(text) => Ok((key.to_owned(), text.to_owned())),
                None => Err(Error::new(env, format!("not set, and no text `{key}` in LB_CONFIG"))),
            },
        };
        let (_, name) = text_setting("LB_NAME", "name")?;
        let listen = parse_address(text_setting("LB_LISTEN", "listen")?)?;
        let discovery = parse_address(text_setting("LB_DISCOVERY", "discovery")?)?;
        let admin = match (var("LB_ADMIN_ADDR"), json.get("admin_addr")) {
            (Some(text), _) => Some(parse_address(("LB_ADMIN_ADDR".to_owned(), text))?),
            (None, None | Some(Value::Null)) => None,
            (None, Some(given)) => Some(parse_address(("admin_addr".to_owned(), scalar_text(given)))?),
        };
        let listener = match var("LB_FD") {
            None => None,
            Some(text) => Some(
                text.parse()
                    .ok()
                    .filter(|fd| (0..FD_LIMIT).contains(fd))
                    .ok_or_else(|| Error::new("LB_FD", format!("expected a descriptor, found `{text}`")))?,
            ),
        };
        let state_dir = var("TMPDIR").filter(|path| !path.is_empty()).map(PathBuf::from);
        let seed = match json.get("seed") {
            None => 0,
            Some(Value::Number(n)) => n.as_u64().ok_or_else(|| Error::new("seed", "not a whole number"))?,
            Some(Value::String(hex)) => u64::from_str_radix(hex, 16)
                .map_err(|_| Error::new("seed", format!("expected hex digits, found `{hex}`")))?,
            Some(other) => return Err(Error::new("seed", format!("expected hex digits, found `{other}`"))),
        };
        let settings = json.get("settings").ok_or_else(|| Error::new("settings", "missing"))?;
        let mut pairs = HashMap::new();
        flatten(settings, String::new(), &mut pairs);
        let mut setup = Setup::read(&pairs)
            .map_err(|error| Error::new(format!("settings.{}", error.key), error.fault.to_string()))?;
        if setup.settings.max_retry_after_ms <= 0.0 {
            // Refusals are sent at once with a retry delay instead of being delayed.
            setup.settings.max_retry_after_ms =
                number(&pairs, "limits.max_retry_after_ms", RETRY_AFTER_MS, 1.0, 60_000.0)?;
        }
        let limit =
            |key: &str, default: usize, least: usize| match json.get("limits").and_then(|l| l.get(key)) {
                None => Ok(default),
                Some(n) => n.as_f64().map(|n| n as usize).filter(|n| *n >= least).ok_or_else(|| {
                    Error::new(format!("limits.{key}"), format!("expected at least {least}, found `{n}`"))
                }),
            };
        let sockets = limit("sockets", 1024, SOCKETS_MIN)?;
        let memory_mb = limit("memory_mb", 192, MEMORY_MB_MIN)?;
        let log = match var("LB_LOG") {
            None => LevelFilter::Info,
            Some(level) => level
                .parse()
                .map_err(|_| Error::new("LB_LOG", format!("expected off to trace, found `{level}`")))?,
        };
        let log_json = match var("LB_LOG_FORMAT").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => {
                return Err(Error::new("LB_LOG_FORMAT", format!("expected text or json, found `{other}`")));
            }
        };
        let client_timeout = |key: &str, default: u64| match var(key) {
            None => Ok(Duration::from_millis(default)),
            Some(text) => text
                .parse()
                .ok()
                .filter(|ms| (1..=WAIT_MOST_MS).contains(ms))
                .map(Duration::from_millis)
                .ok_or_else(|| Error::new(key, format!("expected 1 to {WAIT_MOST_MS}, found `{text}`"))),
        };
        let client_timeouts = ClientTimeouts {
            idle: client_timeout("LB_IDLE_MS", DEFAULT_IDLE_TIMEOUT_MS)?,
            read: client_timeout("LB_READ_MS", DEFAULT_READ_TIMEOUT_MS)?,
            write: client_timeout("LB_WRITE_MS", 10_000)?,
        };
        let (mut features, mut blocks, mut fleet) = (None, None, None);
        if let Some(path) = var("LB_OPERATOR") {
            let mut table: toml::Table =
                file("LB_OPERATOR", &path)?.parse().map_err(|e: toml::de::Error| {
                    Error::new("LB_OPERATOR", e.to_string().trim_end().replace('\n', " "))
                })?;
            let mut take_table = |key: &str| match table.remove(key) {
                None => Ok(None),
                Some(toml::Value::Table(given)) => Ok(Some(given)),
                Some(_) => Err(Error::new(key, format!("expected a table, [{key}]"))),
            };
            if let Some(given) = take_table("blocks")? {
                blocks = Some(blocks::Blocks::read(given, state_dir.as_ref(), admin.is_some())?);
            }
            if let Some(given) = take_table("fleet")? {
                fleet = Some(fleet::Fleet::read(given, &json)?);
            }
            // A file with [blocks] or [fleet] need not configure the feature front.
            if !table.is_empty() || (blocks.is_none() && fleet.is_none()) {
                features = Some(features::Features::read(table, &setup, blocks.is_some())?);
            }
        }
        Ok(Self {
            name,
            listen,
            admin,
            listener,
            state_dir,
            discovery,
            seed,
            sockets,
            memory_mb,
            remembered_list: json.get("known").filter(|known| !known.is_null()).cloned(),
            max_open: number(&pairs, "limits.max_open", 200.0, 2.0, 100_000.0)? as usize,
            streams: number(&pairs, "limits.streams_per_conn", 32.0, 1.0, 100_000.0)? as usize,
            dial_timeout_ms: number(&pairs, "limits.dial_timeout_ms", 250.0, 1.0, 60_000.0)?,
            idle_ms: number(&pairs, "limits.conn_idle_ms", 30_000.0, 1.0, 86_400_000.0)?,
            calls: watching::CallTimeouts::from_settings(&setup.settings),
            setup,
            client_timeouts,
            log,
            log_json,
            features,
            blocks,
            fleet,
        })
    }

    /// Reads and validates a replaced configuration file; returns the new address of discovery. Environment variables can't
    /// have changed since the start, so the file alone decides it.
    ///
    /// # Errors
    ///
    /// As [`Config::read`].
    pub fn reload_discovery(
        var: impl Fn(&str) -> Option<String>,
        read: impl Fn(&str) -> std::io::Result<String>,
    ) -> Result<SocketAddr, Error> {
        Self::read(|key| var(key).filter(|_| key != "LB_DISCOVERY"), read).map(|config| config.discovery)
    }
}

fn parse_address((key, text): (String, String)) -> Result<SocketAddr, Error> {
    text.parse().map_err(|_| Error::new(key, format!("expected address:port, found `{text}`")))
}

/// Returns a number of the operator's file, or an error if it is out of range.
fn check_range(key: String, value: f64, least: f64, most: f64) -> Result<f64, Error> {
    match (least..=most).contains(&value) {
        true => Ok(value),
        false => Err(Error::new(key, format!("expected {least} to {most}, found {value}"))),
    }
}

fn number(
    pairs: &HashMap<String, String>,
    key: &str,
    default: f64,
    least: f64,
    most: f64,
) -> Result<f64, Error> {
    let Some(text) = pairs.get(key) else { return Ok(default) };
    text.parse().ok().filter(|n: &f64| (least..=most).contains(n)).ok_or_else(|| {
        Error::new(format!("settings.{key}"), format!("expected {least} to {most}, found `{text}`"))
    })
}

/// Flattens nested JSON to pairs of a dotted path and a value: the form in which the settings are parsed.
fn flatten(value: &Value, path: String, pairs: &mut HashMap<String, String>) {
    let child_path = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(value, child_path(key), pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(child_path("count"), items.len().to_string());
            for (n, item) in items.iter().enumerate() {
                flatten(item, child_path(&n.to_string()), pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.insert(path, items.join(","));
        }
        Value::Null => {}
        _ => drop(pairs.insert(path, scalar_text(value))),
    }
}

fn scalar_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
