//! Drives the relay: passes events to the state machine that distributes the registry to all nodes, and sends its messages.

use std::time::Duration;

use gingerledge_relay::{Relay, RelayAction, RelayEvent};
use gingerledge_wire::{Entry, Envelope, Key, Registry};

use super::clock::Clock;
use super::messenger::Messenger;

/// A node without a confirmed tick for this long counts as isolated from the control chain.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_800);

/// The relay of this node, with its copy of the registry.
#[derive(Debug)]
pub(super) struct RelayHost {
    clock: Clock,
    messenger: Messenger,
    relay: Relay,
    has_new_weight_inputs: bool,
}

impl RelayHost {
    pub(super) fn new(clock: Clock, messenger: Messenger, relay: Relay) -> Self {
        Self { clock, messenger, relay, has_new_weight_inputs: false }
    }

    /// Processes an event and sends the resulting messages.
    pub(super) fn handle_event(&mut self, event: RelayEvent) {
        let mut actions = Vec::new();
        self.relay.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                RelayAction::Send { to, message } => self.messenger.send(to, Envelope::Relay(message)),
                RelayAction::EntriesChanged(entries) => {
                    self.has_new_weight_inputs |= entries.iter().any(|entry| affects_weights(&entry.key));
                }
            }
        }
    }

    /// Merges entries that are new at this node into the registry, and sends them down the tree.
    pub(super) fn merge_entries(&mut self, entries: Vec<Entry>) {
        if !entries.is_empty() {
            self.handle_event(RelayEvent::EntriesReceived(entries));
        }
    }

    /// Processes the relay's timer if it is due.
    pub(super) fn handle_timeout(&mut self, now: Duration) {
        if self.relay.next_timer().is_some_and(|due| due <= now) {
            self.handle_event(RelayEvent::TimerExpired);
        }
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.relay.next_timer()
    }

    /// This node's copy of the registry.
    pub(super) fn registry(&self) -> &Registry {
        self.relay.registry()
    }

    /// Whether the registry is up to date, according to the ticks of the control chain.
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        self.relay.is_fresh(now)
    }

    /// Whether this node has received no confirmed tick for [`ISOLATION_TIMEOUT`], so it may be partitioned from the control
    /// chain.
    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        now.saturating_sub(self.relay.last_tick_at().unwrap_or_default()) > ISOLATION_TIMEOUT
    }

    /// Whether entries that the weights depend on have changed since the last call.
    pub(super) fn poll_new_weight_inputs(&mut self) -> bool {
        std::mem::take(&mut self.has_new_weight_inputs)
    }
}

/// Whether the versions that stores should load depend on the entry of a key.
fn affects_weights(key: &Key) -> bool {
    matches!(key, Key::Configuration | Key::NamedVersion(_) | Key::Store(_) | Key::Weights(..))
}
