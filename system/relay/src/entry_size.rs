//! The approximate size of an entry in a message.

use gingerledge_wire::{Entry, Key, Value};

/// Approximate size of an entry without its variable-length fields, in bytes.
const FIXED_BYTES: usize = 32;

/// The approximate size of an entry in a message, in bytes.
pub(crate) fn entry_size(entry: &Entry) -> usize {
    FIXED_BYTES + key_size(&entry.key) + value_size(&entry.value)
}

fn key_size(key: &Key) -> usize {
    match key {
        Key::NamedVersion(text) | Key::Store(text) => text.len(),
        Key::Weights(id, model) => id.len() + model.len(),
        Key::Configuration | Key::Node(_) | Key::Partition(_) | Key::Coordinator => 0,
    }
}

fn value_size(value: &Value) -> usize {
    match value {
        Value::Configuration(document) => document.size_estimate(),
        Value::ConfigurationUpdates(updates) => {
            updates.iter().map(|update| FIXED_BYTES + update.json.len()).sum()
        }
        Value::Store(store) => {
            let models: usize = store.models.iter().map(|model| model.name.len() + FIXED_BYTES).sum();
            store.service.len() + store.zone.len() + store.software.len() + models
        }
        Value::Node(node) => node.name.len() + node.zone.len(),
        Value::Partition(record) => (record.chain.len() + record.in_sync.len()) * size_of::<u64>(),
        Value::Version(_) | Value::Coordinator(_) | Value::Tombstone => 0,
    }
}
