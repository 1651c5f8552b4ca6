//! Brings the named versions of weights to the stores.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::{Configuration, Engine, FollowedConfiguration, Model, Order, Service, StoreState};
use gingerledge_wire::{Entry, Key, StoreRecord, Value};

use super::super::orders::{LoadTask, OrderNews};
use super::super::Node;
use super::Coordination;
use crate::coordinator::load_schedule::{LoadOutcome, StartedLoad};
use crate::coordinator::weights::{due, EngineService, EngineStore, WantedModel};

/// The configuration as read for the weights, as of one change.
#[derive(Clone, Debug, Default)]
pub(super) struct Engines {
    followed: FollowedConfiguration,
}

impl Engines {
    /// The configuration; an empty one before the first.
    fn configuration(&self) -> Arc<Configuration> {
        self.followed.configuration().cloned().unwrap_or_default()
    }
}

/// The services whose stores hold models.
fn services_with_models(configuration: &Configuration) -> impl Iterator<Item = (&Service, &Engine)> {
    let engines =
        configuration.services.iter().filter_map(|service| Some((service, service.engine.as_ref()?)));
    engines.filter(|(_, engine)| !engine.models.is_empty())
}

impl Node {
    pub(super) fn keep_weights(&mut self, now: Duration, token: u64) {
        let retry_due = self.coordination.loads.next_evaluation().is_some_and(|at| at <= now);
        if self.relay.poll_new_weight_inputs() {
            self.coordination.weights_changed();
        }
        if !self.coordination.weights_dirty && !retry_due {
            return;
        }
        self.coordination.weights_dirty = false;
        self.read_engines();
        let services = self.engine_services();
        for (name, service) in &services {
            for started in self.coordination.loads.start(now, name, &due(service)) {
                self.order(&started, token);
            }
        }
    }

    fn read_engines(&mut self) {
        let configuration = self.chain.state().configuration();
        let Some(document) = configuration.document() else { return };
        if let Err(error) = self.coordination.engines.followed.follow(configuration.sequence(), document) {
            log::error!("the configuration of change {} can't be read: {error}", configuration.sequence());
        }
    }

    /// An edge has seen a batch job.
    pub(in crate::node) fn model_used(&mut self, model: &str, host: &str, path: &str, min_version: u64) {
        self.read_engines();
        let Coordination { uses, engines, .. } = &mut self.coordination;
        if uses.on_job_seen(&engines.configuration(), model, host, path, min_version) {
            self.coordination.weights_changed();
        }
    }

    /// What is known of the services whose stores hold models.
    fn engine_services(&mut self) -> BTreeMap<String, EngineService> {
        let versions = self.chain.state().versions();
        let Coordination { uses, engines, .. } = &mut self.coordination;
        let configuration = engines.configuration();
        let mut wanted = |service: &Service, model: &Model| {
            let version = versions.get(&model.name).copied().unwrap_or(1);
            let floor = uses.floor(&model.name, version);
            let method = uses.method(&configuration, &service.name, &model.name);
            WantedModel { version, floor, method }
        };
        let mut services: BTreeMap<String, EngineService> = services_with_models(&configuration)
            .map(|(service, engine)| {
                let models = engine.models.iter().map(|model| (model.name.clone(), wanted(service, model)));
                (service.name.clone(), EngineService { models: models.collect(), stores: Vec::new() })
            })
            .collect();
        let registry = self.relay.registry();
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

    fn order(&self, started: &StartedLoad, token: u64) {
        let StartedLoad { load, usual } = started;
        let Some(address) = self.store_address(&load.id) else {
            let (id, model, version) = (load.id.clone(), load.model.clone(), load.version);
            // The node owns the receiver too.
            let _ = self.coordination.news.send(OrderNews { id, model, version, end: LoadOutcome::Failed });
            return;
        };
        log::info!("orders version {} of {} at store {}", load.version, load.model, load.id);
        let order = Order {
            operation: "version".to_owned(),
            model: load.model.clone(),
            version: load.version,
            method: load.method.wire_name().to_owned(),
            holder: self.messenger.own().name.clone(),
            fencing_token: token,
            if_revision: None,
        };
        let (gate, news) = (self.coordination.gate.clone(), self.coordination.news.clone());
        tokio::spawn(LoadTask { id: load.id.clone(), address, order, usual: *usual, gate, news }.run());
    }

    fn store_address(&self, id: &str) -> Option<SocketAddr> {
        match self.relay.registry().entry(&Key::Store(id.to_owned())) {
            Some(Entry { value: Value::Store(StoreRecord { address, .. }), .. }) => Some(*address),
            _ => None,
        }
    }

    pub(in crate::node) fn take_order_news(&mut self, news: OrderNews) {
        let now = self.clock.now();
        let OrderNews { id, model, version, end } = news;
        self.coordination.loads.on_load_ended(now, &id, end);
        self.coordination.weights_changed();
        match end {
            LoadOutcome::Done => {
                let key = Key::Weights(id, model);
                let entry = Entry { key, version, value: Value::Version(version) };
                self.sessions.publish(entry, &mut self.relay);
            }
            LoadOutcome::Fenced => self.coordination.end(),
            LoadOutcome::Busy | LoadOutcome::Failed => {}
        }
    }
}
