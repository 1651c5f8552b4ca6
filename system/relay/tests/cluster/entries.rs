//! Sample entries.

use std::net::{Ipv4Addr, SocketAddr};

use gingerledge_wire::{Entry, Key, StoreRecord, Value};

/// The entry of a store.
pub fn store(number: usize, version: u64) -> Entry {
    let record = StoreRecord {
        service: "reader".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        zone: format!("zone-{}", number % 3),
        software: "1.0".to_owned(),
        slots: 8,
        state: Default::default(),
        models: Vec::new(),
    };
    Entry { key: store_key(number), version, value: Value::Store(record) }
}

/// The key of a store.
pub fn store_key(number: usize) -> Key {
    Key::Store(format!("store-{number:05}"))
}

/// The tombstone of a store.
pub fn tombstone(number: usize, version: u64) -> Entry {
    Entry { key: store_key(number), version, value: Value::Tombstone }
}
