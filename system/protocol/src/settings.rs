//! The settings file of a process (JSON). Unknown fields are ignored; the error for a missing or invalid one names its key.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ensure, ResultExt, Snafu};

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "GINGERLEDGE_SETTINGS";

/// Why a settings file is rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not JSON of the expected form; the source names the key.
    #[snafu(display("settings: {source}"))]
    Form {
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A value is invalid.
    #[snafu(display("settings: {key}: {reason}"))]
    Value {
        /// The key.
        key: &'static str,
        /// Why it is invalid.
        reason: String,
    },
}

/// The settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// The role in the deploy file.
    pub role: String,
    /// The machine's class.
    pub machine_class: String,
    /// Whom the role serves, as in the deploy file.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's failure domain.
    pub zone: String,
    /// The machine's region.
    #[serde(default)]
    pub region: String,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Listen addresses for the outside.
    #[serde(default)]
    pub listen: Listen,
    /// The first and the last port for internal connections.
    pub internal_ports: (u16, u16),
    /// Addresses of machines with control nodes.
    pub seeds: Vec<SocketAddr>,
    /// True only for the first start of the whole system, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether this machine counts for the fault tolerance.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Directory for persistent data, if the role has a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Interval of the heartbeats of stores, in milliseconds (1,000 by default).
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Faults to tolerate at the same time.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Time bounds of the platform's rules.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

/// Listen addresses of a role for the outside.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Listen {
    /// For requests of clients.
    pub frontend: Option<SocketAddr>,
    /// For the platform's readiness probe.
    pub readiness: Option<SocketAddr>,
    /// For heartbeats of stores and calls of the operator.
    pub control_plane: Option<SocketAddr>,
}

/// Resource limits of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ProcessLimits {
    /// Share of a processor core (1.0 by default).
    pub cpu_share: f64,
    /// Memory, in MiB (256 by default).
    pub memory_mb: u64,
    /// Open file descriptors (1,024 by default).
    pub file_descriptors: u64,
    /// Disk space, in MiB (128 by default).
    pub disk_mb: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, memory_mb: 256, file_descriptors: 1_024, disk_mb: 128 }
    }
}

/// Faults that the system tolerates at the same time without violating a rule.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Number of machines that may be lost.
    pub machines: usize,
}

/// The time bounds of the platform's rules that programs need, by the names of the deploy file; the platform's pages define each.
/// Durations are in the unit at the end of the name.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[allow(missing_docs)]
pub struct Bounds {
    pub contact_ms: u64,
    pub ack_ms: u64,
    pub catch_up_s: f64,
    pub drain_ms: u64,
    /// Time that the platform gives a process to shut down, in seconds.
    pub grace_s: f64,
    pub config_apply_ms: u64,
    pub recovery_s: f64,
    pub reuse_after_s: f64,
    #[serde(rename = "pass_ms")]
    pub pass_ms: u64,
    pub finish_s: f64,
    /// How long an ended batch job must stay readable, in seconds.
    pub status_s: f64,
    /// Bounds the time from the end of a batch job, or a new driver, until no attempt of it is running any more, in milliseconds.
    pub cancel_ms: u64,
    pub settle_ms: u64,
    /// Whether stores reject orders with a lower fencing token.
    pub fencing: bool,
    /// Time between the last order of a coordinator and the first of its successor, in milliseconds.
    pub lease_ms: u64,
    pub thaw_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact_ms: 3_000,
            ack_ms: 4_000,
            catch_up_s: 5.0,
            drain_ms: 2_000,
            grace_s: 8.0,
            config_apply_ms: 2_000,
            recovery_s: 12.0,
            reuse_after_s: 2.0,
            pass_ms: 120,
            finish_s: 10.0,
            status_s: 120.0,
            cancel_ms: 3_000,
            settle_ms: 1_000,
            fencing: true,
            lease_ms: 3_000,
            thaw_ms: 300,
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or is rejected by [`Settings::parse`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).context(FileSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// The text is not JSON of the expected form, or a value is invalid.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_slice(text).context(FormSnafu)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let has_name = !self.node_name.is_empty();
        ensure!(has_name, ValueSnafu { key: "nodeName", reason: "is empty" });
        ensure!(!self.zone.is_empty(), ValueSnafu { key: "zone", reason: "is empty" });
        let (first, last) = self.internal_ports;
        ensure!(
            first > 0 && first <= last,
            ValueSnafu { key: "internalPorts", reason: "must be two ports, the first not above the last" }
        );
        ensure!(!self.seeds.is_empty(), ValueSnafu { key: "seeds", reason: "names no address" });
        ensure!(self.heartbeat_ms > 0, ValueSnafu { key: "heartbeatMs", reason: "must be above 0" });
        Ok(())
    }

    /// The internal listen address of this process.
    #[must_use]
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports.0)
    }

    /// The internal listen addresses of the control nodes among the seeds; ports are the same on all machines.
    #[must_use]
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.internal_ports.0)).collect()
    }
}
