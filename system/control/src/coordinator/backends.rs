//! Tracks the reports of backends and derives from them which backends can be used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{BackendReport, NodeRecord, PartitionRecord};

use super::partitions::{Backend, BackendCondition};

/// Time-outs for the reports of backends.
#[derive(Clone, Copy, Debug)]
pub struct BackendSettings {
    /// A backend that has not reported for this long counts as failed.
    pub report_timeout: Duration,
    /// Time after a node has become the coordinator during which a backend without a recent report counts as unknown and not yet
    /// as failed.
    pub grace_period: Duration,
    /// Delay between the first report and the placement of the first partitions, so that they are spread over all backends.
    pub settling_time: Duration,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            report_timeout: Duration::from_millis(1_500),
            grace_period: Duration::from_millis(1_500),
            settling_time: Duration::from_millis(700),
        }
    }
}

/// Maximum number of backends whose reports are retained.
const MAX_BACKENDS: usize = 4_096;
/// A report is dropped this long after its receipt.
const REPORT_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct ReportedBackend {
    record: NodeRecord,
    report: BackendReport,
    last_report_at: Duration,
}

/// A backend that has reported that its replica of a partition is in sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaInSync {
    /// Number of the partition.
    pub partition: u16,
    /// Epoch of the partition in which the replica became in sync.
    pub epoch: u64,
    /// Identity of the backend's disk.
    pub member: u64,
}

/// The latest reports of backends, by the identity of their disks.
#[derive(Clone, Debug, Default)]
pub struct BackendReports {
    settings: BackendSettings,
    backends: BTreeMap<u64, ReportedBackend>,
    first_report_at: Option<Duration>,
}

impl BackendReports {
    /// Creates a collection without reports.
    #[must_use]
    pub fn new(settings: BackendSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records the report of a backend.
    pub fn on_report(&mut self, now: Duration, record: &NodeRecord, report: BackendReport) {
        self.backends.retain(|_, backend| now.saturating_sub(backend.last_report_at) < REPORT_RETENTION);
        if self.backends.len() >= MAX_BACKENDS && !self.backends.contains_key(&record.member) {
            return;
        }
        self.first_report_at.get_or_insert(now);
        self.backends
            .insert(record.member, ReportedBackend { record: record.clone(), report, last_report_at: now });
    }

    /// Restarts the time-outs of all backends, after this process was suspended and received nothing.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for backend in self.backends.values_mut() {
            backend.last_report_at = now;
        }
    }

    /// Whether `settling_time` has passed since the first report, so that the first partitions may be placed.
    #[must_use]
    pub fn has_settled(&self, now: Duration) -> bool {
        self.first_report_at.is_some_and(|first| now >= first + self.settings.settling_time)
    }

    /// Returns all backends that have reported or that are in `chains`, and whether they can be used. This node has been the
    /// coordinator since `coordinating_since`; `address_of` returns the registered address of a backend.
    pub fn conditions<'a>(
        &self,
        now: Duration,
        coordinating_since: Duration,
        chains: impl Iterator<Item = &'a PartitionRecord>,
        address_of: impl Fn(u64) -> Option<SocketAddr>,
        is_retiring: impl Fn(u64) -> bool,
    ) -> Vec<Backend> {
        let unreported_condition = if now < coordinating_since + self.settings.grace_period {
            BackendCondition::Unknown
        } else {
            BackendCondition::Failed
        };
        let mut backends: BTreeMap<u64, Backend> = chains
            .flat_map(|record| record.chain.iter().copied())
            .map(|member| (member, Backend { member, zone: String::new(), condition: unreported_condition }))
            .collect();
        for (&member, reported) in &self.backends {
            let condition = self.condition(now, coordinating_since, reported, is_retiring(member));
            backends.insert(member, Backend { member, zone: reported.record.zone.clone(), condition });
        }
        for backend in backends.values_mut() {
            if address_of(backend.member).is_some_and(|address| self.is_replaced(backend.member, address)) {
                backend.condition = BackendCondition::Failed;
            }
        }
        backends.into_values().collect()
    }

    /// Whether another disk has reported from `address` since the backend `member` last did. Only one process runs at an address,
    /// so the former disk is lost then.
    fn is_replaced(&self, member: u64, address: SocketAddr) -> bool {
        let last_report = self.backends.get(&member).map(|backend| backend.last_report_at);
        self.backends.iter().any(|(&other, backend)| {
            other != member && backend.record.address == address && Some(backend.last_report_at) > last_report
        })
    }

    /// Backends whose reports come from another address than the registered one, with the address of the latest report.
    pub fn unregistered(&self, registered: impl Fn(u64) -> Option<SocketAddr>) -> Vec<(u64, SocketAddr)> {
        let addresses = self.backends.iter().map(|(&member, backend)| (member, backend.record.address));
        addresses.filter(|&(member, address)| registered(member) != Some(address)).collect()
    }

    fn condition(
        &self,
        now: Duration,
        coordinating_since: Duration,
        backend: &ReportedBackend,
        is_retiring: bool,
    ) -> BackendCondition {
        let is_overdue = now.saturating_sub(backend.last_report_at) > self.settings.report_timeout;
        if is_overdue && now < coordinating_since + self.settings.grace_period {
            BackendCondition::Unknown
        } else if is_overdue || backend.report.disk_stalled {
            BackendCondition::Failed
        } else if is_retiring {
            BackendCondition::Retiring
        } else {
            BackendCondition::Usable
        }
    }

    /// Members that report themselves in sync while the partition's record does not show it yet.
    pub fn newly_in_sync<'a>(
        &self,
        current_record: impl Fn(u16) -> Option<&'a PartitionRecord>,
    ) -> Vec<ReplicaInSync> {
        let mut in_sync = Vec::new();
        for (&member, backend) in &self.backends {
            for &(partition, epoch) in &backend.report.in_sync {
                let is_new = current_record(partition).is_some_and(|record| {
                    record.epoch == epoch && record.chain.get(record.in_sync.len()) == Some(&member)
                });
                if is_new {
                    in_sync.push(ReplicaInSync { partition, epoch, member });
                }
            }
        }
        in_sync
    }
}
