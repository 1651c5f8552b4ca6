//! How far the loads of weights are, sans I/O: which are under way, which are due, and when one that failed is tried again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::weights::Load;

/// Bounds and times of loads.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Most stores of one service that load at once; more would slow all of them down. Some of them only wait until requests have
    /// run to their end.
    pub at_once: usize,
    /// A store that was busy is asked again after this long.
    pub busy_retry: Duration,
    /// A store that refused or did not answer is asked again after this long.
    pub failed_retry: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            at_once: 6,
            busy_retry: Duration::from_millis(300),
            failed_retry: Duration::from_millis(1_200),
        }
    }
}

/// How an order to load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadEnd {
    /// The store has the version.
    Done,
    /// Another order is under way there.
    Busy,
    /// The store has seen a higher fencing token.
    Fenced,
    /// The store refused, is another one now, or did not answer.
    Failed,
}

/// The loads under way, by store; a store takes one order at a time.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    settings: LoadSettings,
    under_way: BTreeMap<String, String>,
    not_before: BTreeMap<String, Duration>,
}

impl Loads {
    /// None under way.
    pub fn new(settings: LoadSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The loads of a service that start now. Each counts as under way.
    pub fn start(&mut self, now: Duration, service: &str, due: &[Load]) -> Vec<Load> {
        self.not_before.retain(|_, at| *at > now);
        let mut running = self.under_way.values().filter(|other| *other == service).count();
        let mut started = Vec::new();
        for load in due {
            if running >= self.settings.at_once {
                break;
            }
            if self.under_way.contains_key(&load.id) || self.not_before.contains_key(&load.id) {
                continue;
            }
            self.under_way.insert(load.id.clone(), service.to_owned());
            running += 1;
            started.push(load.clone());
        }
        started
    }

    /// A load has ended.
    pub fn ended(&mut self, now: Duration, id: &str, end: LoadEnd) {
        self.under_way.remove(id);
        let pause = match end {
            LoadEnd::Done | LoadEnd::Fenced => return,
            LoadEnd::Busy => self.settings.busy_retry,
            LoadEnd::Failed => self.settings.failed_retry,
        };
        self.not_before.insert(id.to_owned(), now + pause);
    }

    /// When a store that failed may be asked again.
    pub fn next_retry(&self) -> Option<Duration> {
        self.not_before.values().min().copied()
    }

    /// How many are under way.
    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Nothing is under way any more.
    pub fn clear(&mut self) {
        self.under_way.clear();
        self.not_before.clear();
    }
}
