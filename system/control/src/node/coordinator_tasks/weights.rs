//! Loads the named versions of weights at the stores.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::{Configuration, ConfigurationFollower, Engine, Model, Order, Service, StoreState};
use gingerledge_wire::{Entry, Key, Registry, StoreRecord, Value};
use tokio::sync::mpsc::UnboundedSender;

use super::load_task::{LoadResult, LoadTask};
use super::order_gate::OrderGate;
use crate::coordinator::load_schedule::{LoadOutcome, LoadSchedule, LoadScheduleSettings, StartedLoad};
use crate::coordinator::model_usage::ModelUsage;
use crate::coordinator::weights::{due_loads, EngineService, EngineStore, WantedModel};
use crate::node::clock::Clock;
use crate::node::relay_host::RelayHost;
use crate::node::session_host::SessionHost;
use crate::state::{ConfigurationState, ControlState};

/// The coordinator's task for weights.
#[derive(Debug)]
pub(super) struct WeightTask {
    /// Name of this node, which orders carry as their holder.
    holder: String,
    follower: ConfigurationFollower,
    usage: ModelUsage,
    schedule: LoadSchedule,
    /// Whether an input of the planning has changed since the last run.
    is_dirty: bool,
    gate: OrderGate,
    results: UnboundedSender<LoadResult>,
}

impl WeightTask {
    pub(super) fn new(clock: Clock, holder: String, results: UnboundedSender<LoadResult>) -> Self {
        Self {
            holder,
            follower: ConfigurationFollower::default(),
            usage: ModelUsage::default(),
            schedule: LoadSchedule::new(LoadScheduleSettings::default()),
            is_dirty: true,
            gate: OrderGate::new(clock),
            results,
        }
    }

    /// Makes the next run plan the loads of all stores again.
    pub(super) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Allows orders to be sent until the given time.
    pub(super) fn allow_orders_until(&self, until: Duration) {
        self.gate.open_until(until);
    }

    /// Forbids sending orders, and drops the loads in flight.
    pub(super) fn stop(&mut self) {
        self.gate.close();
        self.schedule.clear();
    }

    /// Starts the loads that are due.
    pub(super) fn run(&mut self, now: Duration, token: u64, state: &ControlState, registry: &Registry) {
        let is_evaluation_due = self.schedule.next_evaluation().is_some_and(|at| at <= now);
        if !self.is_dirty && !is_evaluation_due {
            return;
        }
        self.is_dirty = false;
        self.apply_configuration(state.configuration());
        for (name, service) in &self.engine_services(state.versions(), registry) {
            for started in self.schedule.start(now, name, &due_loads(service)) {
                self.send_order(started, token, registry);
            }
        }
    }

    /// Processes an edge's notice of a batch job for a model.
    pub(super) fn on_model_used(
        &mut self,
        configuration: &ConfigurationState,
        model: &str,
        host: &str,
        path: &str,
        min_version: u64,
    ) {
        self.apply_configuration(configuration);
        let configuration = self.configuration();
        if self.usage.on_job_seen(&configuration, model, host, path, min_version) {
            self.is_dirty = true;
        }
    }

    /// Processes the result of a load. Returns whether the store has received a newer fencing token.
    pub(super) fn on_load_result(
        &mut self,
        now: Duration,
        result: LoadResult,
        sessions: &mut SessionHost,
        relay: &mut RelayHost,
    ) -> bool {
        let LoadResult { id, model, version, outcome } = result;
        self.schedule.on_load_ended(now, &id, outcome);
        self.is_dirty = true;
        if outcome == LoadOutcome::Done {
            let key = Key::Weights(id, model);
            sessions.publish(Entry { key, version, value: Value::Version(version) }, relay);
        }
        outcome == LoadOutcome::Fenced
    }

    /// Applies the newest configuration. If it can't be read, the previous one stays in use.
    fn apply_configuration(&mut self, state: &ConfigurationState) {
        let Some(document) = state.document() else { return };
        if let Err(error) = self.follower.apply_document(state.sequence(), document) {
            log::error!(index = state.sequence(), error:% = error; "configuration unreadable");
        }
    }

    /// The current configuration; an empty one before the first.
    fn configuration(&self) -> Arc<Configuration> {
        self.follower.configuration().cloned().unwrap_or_default()
    }

    /// The services whose stores have models, with their stores that accept requests.
    fn engine_services(
        &mut self,
        named_versions: &BTreeMap<String, u64>,
        registry: &Registry,
    ) -> BTreeMap<String, EngineService> {
        let configuration = self.configuration();
        let mut services = self.wanted_services(&configuration, named_versions);
        for (id, store) in registry.stores() {
            let Some(service) = services.get_mut(&store.service) else { continue };
            if store.state == StoreState::Ready {
                let versions = service
                    .models
                    .keys()
                    .map(|model| (model.clone(), registry.loaded_version(id, store, model)));
                service.stores.push(EngineStore { id: id.to_owned(), versions: versions.collect() });
            }
        }
        services
    }

    fn wanted_services(
        &mut self,
        configuration: &Configuration,
        named_versions: &BTreeMap<String, u64>,
    ) -> BTreeMap<String, EngineService> {
        let usage = &mut self.usage;
        let mut wanted = |service: &Service, model: &Model| {
            let version = named_versions.get(&model.name).copied().unwrap_or(1);
            let floor = usage.floor(&model.name, version);
            let method = usage.method(configuration, &service.name, &model.name);
            WantedModel { version, floor, method }
        };
        services_with_models(configuration)
            .map(|(service, engine)| {
                let models = engine.models.iter().map(|model| (model.name.clone(), wanted(service, model)));
                (service.name.clone(), EngineService { models: models.collect(), stores: Vec::new() })
            })
            .collect()
    }

    /// Sends the order of a load in a task of its own, which ends by its time-outs, or soon after the lease has ended.
    fn send_order(&self, started: StartedLoad, token: u64, registry: &Registry) {
        let StartedLoad { load, typical_duration } = started;
        let Some(address) = store_address(registry, &load.id) else {
            let outcome = LoadOutcome::Failed;
            let result = LoadResult { id: load.id, model: load.model, version: load.version, outcome };
            // The node owns the receiver too, so sending can't fail.
            let _ = self.results.send(result);
            return;
        };
        log::info!(store:% = load.id, model:% = load.model, version = load.version; "weight load ordered");
        let order = Order {
            operation: "version".to_owned(),
            model: load.model,
            version: load.version,
            method: load.method.wire_name().to_owned(),
            holder: self.holder.clone(),
            fencing_token: token,
            if_revision: None,
        };
        let task = LoadTask {
            id: load.id,
            address,
            order,
            method: load.method,
            typical_duration,
            gate: self.gate.clone(),
            results: self.results.clone(),
        };
        tokio::spawn(task.run());
    }
}

/// The services whose stores have models.
fn services_with_models(configuration: &Configuration) -> impl Iterator<Item = (&Service, &Engine)> {
    let engines =
        configuration.services.iter().filter_map(|service| Some((service, service.engine.as_ref()?)));
    engines.filter(|(_, engine)| !engine.models.is_empty())
}

fn store_address(registry: &Registry, id: &str) -> Option<SocketAddr> {
    match registry.entry(&Key::Store(id.to_owned())) {
        Some(Entry { value: Value::Store(StoreRecord { address, .. }), .. }) => Some(*address),
        _ => None,
    }
}
