//! The settings file of a process. Unknown fields are passed over; a missing or bad one is named by its key.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ensure, ResultExt, Snafu};

/// The variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "GINGERLEDGE_SETTINGS";

/// Why settings can't be used. Each names the key.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no JSON of the expected form; the source names the key.
    #[snafu(display("settings: {source}"))]
    Form {
        /// What the reader met.
        source: serde_json::Error,
    },
    /// A value can't be used.
    #[snafu(display("settings: {key}: {reason}"))]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

/// The settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// The role of the deploy file.
    pub role: String,
    /// The machine's class.
    pub machine_class: String,
    /// Whom the role serves.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's zone.
    pub zone: String,
    /// The machine's region.
    #[serde(default)]
    pub region: String,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where the role listens.
    #[serde(default)]
    pub listen: Listen,
    /// The first and the last port for internal messages.
    pub internal_ports: (u16, u16),
    /// Addresses of machines that serve the control plane.
    pub seeds: Vec<SocketAddr>,
    /// True only when the whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine counts.
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Where files may be kept.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// How often stores send heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// What may be lost at once.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The figures of the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

/// Where a role listens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Listen {
    /// For clients.
    pub frontend: Option<SocketAddr>,
    /// For the platform's question whether it is ready.
    pub readiness: Option<SocketAddr>,
    /// For stores and the operator.
    pub control_plane: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ProcessLimits {
    /// The share of a core.
    pub cpu_share: f64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Open descriptors.
    pub file_descriptors: u64,
    /// The disk, in megabytes.
    pub disk_mb: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, memory_mb: 256, file_descriptors: 1_024, disk_mb: 128 }
    }
}

/// What may be lost at once with all rules kept.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines that count.
    pub machines: usize,
}

/// The figures of the rules that programs need. Durations are in the unit that the name ends with.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[allow(missing_docs)]
pub struct Bounds {
    pub contact_ms: u64,
    pub ack_ms: u64,
    pub catch_up_s: f64,
    pub drain_ms: u64,
    pub grace_s: f64,
    pub config_apply_ms: u64,
    pub recovery_s: f64,
    pub reuse_after_s: f64,
    #[serde(rename = "pass_ms")]
    pub pass_ms: u64,
    pub finish_s: f64,
    pub status_s: f64,
    pub cancel_ms: u64,
    pub settle_ms: u64,
    pub fencing: bool,
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
    /// Reads and checks the settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).context(FileSnafu { path })?;
        Self::parse(&text)
    }

    /// Reads and checks settings.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_slice(text).context(FormSnafu)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let named = !self.node_name.is_empty();
        ensure!(named, ValueSnafu { key: "nodeName", reason: "is empty" });
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

    /// Where this process takes internal messages.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports.0)
    }

    /// Where the control nodes among the seeds take internal messages: ports are alike on all machines.
    pub fn internal_seeds(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.internal_ports.0)).collect()
    }
}
