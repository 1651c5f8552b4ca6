//! Which backends can be used, by what they have reported themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{BackendReport, NodeRecord, PartitionRecord};

use super::partitions::{Backend, Condition};

/// Time-outs of the reports of backends.
#[derive(Clone, Copy, Debug)]
pub struct BackendSettings {
    /// A backend without a report for this long is lost.
    pub report_timeout: Duration,
    /// One that has not reported yet to a new coordinator has this long.
    pub grace_period: Duration,
    /// The first partitions wait this long after the first report, so that they are spread over all backends.
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

/// Most backends whose reports are retained.
const MAX_BACKENDS: usize = 4_096;
/// A report is dropped this long after it came.
const RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct ReportedBackend {
    record: NodeRecord,
    report: BackendReport,
    last_report: Duration,
}

/// A member that has reported itself in sync with a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaInSync {
    /// The partition.
    pub partition: u16,
    /// The epoch in which it became in sync.
    pub epoch: u64,
    /// The member.
    pub member: u64,
}

/// What backends have reported, by the identity of their disks.
#[derive(Clone, Debug, Default)]
pub struct BackendReports {
    settings: BackendSettings,
    backends: BTreeMap<u64, ReportedBackend>,
    first_report: Option<Duration>,
}

impl BackendReports {
    /// Nothing reported yet.
    #[must_use]
    pub fn new(settings: BackendSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records the report of a backend.
    pub fn on_report(&mut self, now: Duration, record: &NodeRecord, report: BackendReport) {
        self.backends.retain(|_, backend| now.saturating_sub(backend.last_report) < RETENTION);
        if self.backends.len() >= MAX_BACKENDS && !self.backends.contains_key(&record.member) {
            return;
        }
        self.first_report.get_or_insert(now);
        self.backends
            .insert(record.member, ReportedBackend { record: record.clone(), report, last_report: now });
    }

    /// Restarts the time-outs of all backends, after this process stood still and received nothing.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for backend in self.backends.values_mut() {
            backend.last_report = now;
        }
    }

    /// Whether `settling_time` has passed since the first report, so that the first partitions may be placed.
    #[must_use]
    pub fn has_settled(&self, now: Duration) -> bool {
        self.first_report.is_some_and(|first| now >= first + self.settings.settling_time)
    }

    /// All backends that have reported, or that are in `chains`, and whether they can be used. The coordinator has been one since
    /// `since`; `address_of` says where a disk was.
    pub fn conditions<'a>(
        &self,
        now: Duration,
        since: Duration,
        chains: impl Iterator<Item = &'a PartitionRecord>,
        address_of: impl Fn(u64) -> Option<SocketAddr>,
        is_retiring: impl Fn(u64) -> bool,
    ) -> Vec<Backend> {
        let unreported =
            if now < since + self.settings.grace_period { Condition::Unknown } else { Condition::Lost };
        let mut backends: BTreeMap<u64, Backend> = chains
            .flat_map(|record| record.chain.iter().copied())
            .map(|member| (member, Backend { member, zone: String::new(), condition: unreported }))
            .collect();
        for (&member, reported) in &self.backends {
            let condition = self.condition(now, since, reported, is_retiring(member));
            backends.insert(member, Backend { member, zone: reported.record.zone.clone(), condition });
        }
        for backend in backends.values_mut() {
            if address_of(backend.member).is_some_and(|address| self.is_replaced(backend.member, address)) {
                backend.condition = Condition::Lost;
            }
        }
        backends.into_values().collect()
    }

    /// Whether another disk has reported from a backend's address since the backend itself did: one process runs there, so the disk
    /// before is lost.
    fn is_replaced(&self, member: u64, address: SocketAddr) -> bool {
        let last_report = self.backends.get(&member).map(|backend| backend.last_report);
        self.backends.iter().any(|(&other, backend)| {
            other != member && backend.record.address == address && Some(backend.last_report) > last_report
        })
    }

    /// Backends that report from another address than the registered one, with the address of the report.
    pub fn unregistered(&self, registered: impl Fn(u64) -> Option<SocketAddr>) -> Vec<(u64, SocketAddr)> {
        let all = self.backends.iter().map(|(&member, backend)| (member, backend.record.address));
        all.filter(|&(member, address)| registered(member) != Some(address)).collect()
    }

    fn condition(
        &self,
        now: Duration,
        since: Duration,
        backend: &ReportedBackend,
        retiring: bool,
    ) -> Condition {
        let is_overdue = now.saturating_sub(backend.last_report) > self.settings.report_timeout;
        if is_overdue && now < since + self.settings.grace_period {
            Condition::Unknown
        } else if is_overdue || backend.report.disk_stalled {
            Condition::Lost
        } else if retiring {
            Condition::Retiring
        } else {
            Condition::Usable
        }
    }

    /// Members that report themselves in sync where the partition's record does not show it yet.
    pub fn newly_in_sync<'a>(
        &self,
        current: impl Fn(u16) -> Option<&'a PartitionRecord>,
    ) -> Vec<ReplicaInSync> {
        let mut in_sync = Vec::new();
        for (&member, backend) in &self.backends {
            for &(partition, epoch) in &backend.report.in_sync {
                let is_new = current(partition).is_some_and(|record| {
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
