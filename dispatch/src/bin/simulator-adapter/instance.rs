//! A hosted aggregator, with the tables that translate the names of the protocol to the aggregator's ids and
//! indices.

use std::collections::HashMap;

use gingerledge_dispatch::{Aggregator, Millis, ServerId, Setup};

use crate::error::LineError;

/// A hosted aggregator and its name tables.
pub struct Instance {
    pub aggregator: Aggregator,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    servers: HashMap<String, ServerId>,
    /// The names of the servers, by id.
    server_names: Vec<String>,
}

impl Instance {
    /// Starts an instance from the text of a `START` line: a seed and the settings, as in
    /// `SEED KEY=VALUE KEY=VALUE ...`.
    pub fn start(now: Millis, arguments: &str) -> Result<Self, LineError> {
        let (seed, pairs) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let not_an_integer = |_| LineError::NotAnInteger { field: "init_seed", found: seed.to_owned() };
        let seed_number = seed.parse().map_err(not_an_integer)?;
        let pairs: HashMap<&str, &str> = pairs.split(' ').filter_map(|pair| pair.split_once('=')).collect();
        let setup = Setup::read(&pairs).map_err(|source| LineError::Setup { source })?;
        Ok(Self {
            aggregator: Aggregator::new(seed_number, setup.settings, now),
            classes: setup.classes,
            tenants: setup.tenants,
            zones: setup.zones,
            servers: HashMap::new(),
            server_names: Vec::new(),
        })
    }

    /// The id of a server on a list. A server without an id gets the next one.
    pub fn register_server(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.servers.get(name) {
            return id;
        }
        let id = self.server_names.len() as ServerId;
        self.servers.insert(name.to_owned(), id);
        self.server_names.push(name.to_owned());
        id
    }

    /// The id of a server that has been on a list; an error if it has not.
    pub fn server(&self, name: &str) -> Result<ServerId, LineError> {
        self.servers.get(name).copied().ok_or_else(|| LineError::UnknownNode { node: name.to_owned() })
    }

    /// The name of a server, if the instance knows it.
    pub fn server_name(&self, id: ServerId) -> Option<&str> {
        self.server_names.get(id as usize).map(String::as_str)
    }

    /// The index of a class; an error if the settings do not contain it.
    pub fn class(&self, name: &str) -> Result<usize, LineError> {
        self.classes.get(name).copied().ok_or_else(|| LineError::UnknownClass { class: name.to_owned() })
    }

    /// The index of a tenant, if the settings contain it.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }

    /// The index of a zone; `u32::MAX` if the settings do not contain it.
    pub fn zone(&self, name: &str) -> u32 {
        self.zones.get(name).copied().unwrap_or(u32::MAX)
    }
}
