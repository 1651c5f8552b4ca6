//! Settings of the backends in tests.

use gingerledge_jobs::JobsSettings;
use gingerledge_protocol::Settings;

/// Settings that differ between tests.
pub struct TestSettings {
    /// Number of machines that may fail at the same time; a chain needs at least one member more.
    pub fault_tolerance: usize,
    /// Memory limit of the process, in MiB.
    pub memory_mb: u64,
    /// Retention period of ended batch jobs in seconds; the default if `None`.
    pub retention_s: Option<u64>,
}

impl TestSettings {
    /// Builds the settings of a backend, derived from process settings as in production.
    pub fn build(&self) -> JobsSettings {
        let bounds = self.retention_s.map_or(String::new(), |s| format!(r#""bounds":{{"statusS":{s}}},"#));
        let text = format!(
            r#"{{"nodeName":"n","role":"r","machineClass":"c","ip":"10.0.0.1","zone":"z","internalPorts":[1,2],
            "seeds":["10.0.0.2:1"],"faultTolerance":{{"machines":{}}},{bounds}
            "limits":{{"memoryMb":{},"diskMb":128}}}}"#,
            self.fault_tolerance, self.memory_mb
        );
        JobsSettings::new(&Settings::parse(text.as_bytes()).unwrap())
    }
}
