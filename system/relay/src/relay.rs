//! The machine of one node.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, Registry, Tick};

use crate::event::{Action, Event};
use crate::settings::RelaySettings;

/// One node's part of the tree, with its copy of the registry.
#[derive(Debug)]
pub struct Relay {
    settings: RelaySettings,
    registry: Registry,
    tick: Option<(Tick, Duration)>,
}

impl Relay {
    /// The relay of the node that takes internal messages at `me`. A `root` is fed by its host and has no parent.
    pub fn new(settings: RelaySettings, _me: SocketAddr, _root: bool, _seed: u64) -> Self {
        Self { settings, registry: Registry::default(), tick: None }
    }

    /// Takes one event and adds what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Learned(entries) => self.learn(entries, actions),
            Event::Tick(tick) => self.tick = Some((tick, now)),
            _ => {}
        }
    }

    /// When [`Event::Timer`] is due, if at all.
    pub fn next_timer(&self) -> Option<Duration> {
        None
    }

    /// This node's copy of the registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Whether the copy had, within the last [`RelaySettings::freshness`], all that the control chain had confirmed.
    pub fn fresh(&self, now: Duration) -> bool {
        self.tick.is_some_and(|(_, at)| now.saturating_sub(at) < self.settings.freshness)
    }

    /// When the newest tick came, less its age then.
    pub fn last_tick_at(&self) -> Option<Duration> {
        self.tick.map(|(_, at)| at)
    }

    /// The node's parent in the tree, while it has one.
    pub fn parent(&self) -> Option<SocketAddr> {
        None
    }

    /// How many children the node has.
    pub fn children(&self) -> usize {
        0
    }

    fn learn(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        let changed: Vec<Entry> =
            entries.into_iter().filter(|entry| self.registry.merge(entry.clone())).collect();
        if !changed.is_empty() {
            actions.push(Action::Changed(changed));
        }
    }
}
