//! Applies the list of servers and its changes: decides which servers may be sent work.

use super::Aggregator;
use crate::interface::{ListKind, Millis, ServerEntry, ServerId, ServerStatus};
use crate::pseudorandom::{splitmix64, unit_interval};
use crate::state::{FailureAccrual, Server};

impl Aggregator {
    /// Applies a list of servers or its changes. From this turn on, a draining or removed server is sent
    /// nothing; the grace period after a drain notice is not used.
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
        // The state of removed servers is dropped, since a server that replaces one has another id.
        self.servers
            .retain(|_, server| server.status != ServerStatus::Removed || !server.outstanding.is_empty());
        let ready = self.servers.iter().filter(|(_, server)| server.status == ServerStatus::Ready);
        self.replicas.set_ready_servers(ready.map(|(&id, server)| (id, server.cell)));
    }

    /// Updates one server. If the list shows a later start of its process, the server warms up again and its
    /// failures are cleared.
    fn apply_entry(&mut self, entry: ServerEntry) {
        let no_failures = vec![FailureAccrual::default(); self.settings.classes.len() + 1];
        let server = self.servers.entry(entry.server).or_insert_with(|| Server {
            failures: no_failures.clone(),
            latency_ratio: 1.0,
            latency_sampled_at: f64::NEG_INFINITY,
            last_served_at: f64::NEG_INFINITY,
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

    /// Drops the state of a removed server if it has no outstanding attempts. This does not wait for the next
    /// list, which may arrive much later.
    pub(super) fn remove_if_unused(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        if server.status == ServerStatus::Removed && server.outstanding.is_empty() {
            self.servers.remove(&id);
        }
    }
}
