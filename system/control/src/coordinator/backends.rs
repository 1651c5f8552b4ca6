//! Which backends can be used, by what they have reported themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{BackendReport, NodeRecord, PartitionRecord};

use super::partitions::{Backend, Condition};

/// How long backends may be silent.
#[derive(Clone, Copy, Debug)]
pub struct BackendSettings {
    /// A backend that has reported nothing for this long is lost.
    pub silence: Duration,
    /// One that has not reported yet to a new coordinator has this long.
    pub grace: Duration,
    /// The first partitions wait this long after the first report, so that they are spread over all backends.
    pub gather: Duration,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1_500),
            grace: Duration::from_millis(1_500),
            gather: Duration::from_millis(700),
        }
    }
}

/// Most backends that reports are kept of.
const MAX_BACKENDS: usize = 4_096;
/// Reports of backends that are long silent are let go.
const FORGET_AFTER: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Reported {
    record: NodeRecord,
    report: BackendReport,
    heard: Duration,
}

/// One member's word that it holds everything of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fullness {
    /// The partition.
    pub partition: u16,
    /// The epoch in which it became full.
    pub epoch: u64,
    /// The member.
    pub member: u64,
}

/// What backends have reported, by the identity of their disks.
#[derive(Clone, Debug, Default)]
pub struct BackendReports {
    settings: BackendSettings,
    backends: BTreeMap<u64, Reported>,
    first_heard: Option<Duration>,
}

impl BackendReports {
    /// Nothing reported yet.
    pub fn new(settings: BackendSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// A backend reports.
    pub fn reported(&mut self, now: Duration, record: &NodeRecord, report: BackendReport) {
        self.backends.retain(|_, backend| now.saturating_sub(backend.heard) < FORGET_AFTER);
        if self.backends.len() >= MAX_BACKENDS && !self.backends.contains_key(&record.member) {
            return;
        }
        self.first_heard.get_or_insert(now);
        self.backends.insert(record.member, Reported { record: record.clone(), report, heard: now });
    }

    /// This process did not run for a while, so it could not hear anybody.
    pub fn resumed(&mut self, now: Duration) {
        for backend in self.backends.values_mut() {
            backend.heard = now;
        }
    }

    /// Whether enough time has passed since the first report to spread the first partitions.
    pub fn gathered(&self, now: Duration) -> bool {
        self.first_heard.is_some_and(|first| now >= first + self.settings.gather)
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
        let unheard = if now < since + self.settings.grace { Condition::Unknown } else { Condition::Lost };
        let mut backends: BTreeMap<u64, Backend> = chains
            .flat_map(|record| record.chain.iter().copied())
            .map(|member| (member, Backend { member, zone: String::new(), condition: unheard }))
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
    /// before is gone for good.
    fn is_replaced(&self, member: u64, address: SocketAddr) -> bool {
        let heard = self.backends.get(&member).map(|backend| backend.heard);
        self.backends.iter().any(|(&other, backend)| {
            other != member && backend.record.address == address && Some(backend.heard) > heard
        })
    }

    /// Backends whose disks are known here and not yet noted to be where they report from.
    pub fn to_note(&self, noted: impl Fn(u64) -> Option<SocketAddr>) -> Vec<(u64, SocketAddr)> {
        let all = self.backends.iter().map(|(&member, backend)| (member, backend.record.address));
        all.filter(|&(member, address)| noted(member) != Some(address)).collect()
    }

    fn condition(&self, now: Duration, since: Duration, backend: &Reported, retiring: bool) -> Condition {
        let silent = now.saturating_sub(backend.heard) > self.settings.silence;
        if silent && now < since + self.settings.grace {
            Condition::Unknown
        } else if silent || backend.report.disk_stalled {
            Condition::Lost
        } else if retiring {
            Condition::Retiring
        } else {
            Condition::Usable
        }
    }

    /// Members that say they are full where the chain does not know it yet.
    pub fn newly_full<'a>(&self, current: impl Fn(u16) -> Option<&'a PartitionRecord>) -> Vec<Fullness> {
        let mut full = Vec::new();
        for (&member, backend) in &self.backends {
            for &(partition, epoch) in &backend.report.in_sync {
                let news = current(partition).is_some_and(|record| {
                    record.epoch == epoch && record.chain.get(record.in_sync.len()) == Some(&member)
                });
                if news {
                    full.push(Fullness { partition, epoch, member });
                }
            }
        }
        full
    }
}
