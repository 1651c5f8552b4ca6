//! Settings of the backends in tests.

use gingerledge_jobs::JobsSettings;
use gingerledge_protocol::Settings;

/// The settings that differ between tests.
pub struct TestSettings {
    /// Machines that may be lost at the same time; a chain needs one member more.
    pub fault_tolerance: usize,
    /// The memory limit of the process.
    pub memory_mb: u64,
    /// For how many seconds ended batch jobs are retained, in place of the default.
    pub retention_s: Option<u64>,
}

impl TestSettings {
    /// The settings of a backend, derived as in production.
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
