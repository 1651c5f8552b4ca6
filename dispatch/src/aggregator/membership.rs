//! Follows the list of servers.

use super::Aggregator;
use crate::interface::{ListKind, Millis, ServerEntry, ServerId, ServerStatus};
use crate::pseudorandom::{splitmix64, unit_interval};
use crate::state::{FailureAccrual, Server};

impl Aggregator {
    /// Applies a list or its changes. A server that is draining or gone gets nothing from this turn on, without
    /// using the grace period.
    pub(super) fn on_list(&mut self, now: Millis, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            self.random_state = splitmix64(self.random_state);
            let jitter = unit_interval(self.random_state);
            self.list_refresh.on_failure(now, self.settings.aggregators, jitter);
            return;
        }
        if kind != ListKind::Restored {
            self.list_refresh.on_subscribed();
        }
        if kind != ListKind::Changes {
            for server in self.servers.values_mut() {
                server.status = ServerStatus::Removed;
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        // Servers that are gone are removed, since one that replaces them has another id.
        self.servers
            .retain(|_, server| server.status != ServerStatus::Removed || !server.outstanding.is_empty());
        let ready = self.servers.iter().filter(|(_, server)| server.status == ServerStatus::Ready);
        self.replicas.set_ready_servers(ready.map(|(&id, server)| (id, server.cell)));
    }

    /// Updates one server. One listed with a later start begins anew: warming up, and without failures.
    fn apply_entry(&mut self, entry: ServerEntry) {
        let no_failures = vec![FailureAccrual::default(); self.settings.classes.len() + 1];
        let server = self.servers.entry(entry.server).or_insert_with(|| Server {
            failures: no_failures.clone(),
            latency_ratio: 1.0,
            sampled_at: f64::NEG_INFINITY,
            last_served: f64::NEG_INFINITY,
            started_at: f64::NEG_INFINITY,
            ..Server::default()
        });
        server.status = entry.status;
        server.zone = entry.zone;
        server.cell = entry.cell % self.settings.cells;
        let started_at = if entry.started_at > 0.0 { entry.started_at } else { f64::NEG_INFINITY };
        if started_at > server.started_at {
            server.started_at = started_at;
            server.failures = no_failures;
            server.latency_ratio = 1.0;
            server.is_down = false;
        }
    }

    /// Removes a server that is gone once nothing is outstanding there: the next list may be long in coming.
    pub(super) fn remove_if_unused(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        if server.status == ServerStatus::Removed && server.outstanding.is_empty() {
            self.servers.remove(&id);
        }
    }
}
