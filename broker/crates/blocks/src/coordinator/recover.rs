//! Recovery of the coordinator's state from the log of an earlier term.

use std::collections::HashMap;

use thiserror::Error;

use super::interface::Bounds;
use crate::log::{LogRecord, State};
use crate::map::{BlockMap, MapError};
use crate::types::StoreId;
use crate::validate;

/// Reason why the state cannot be recovered from a log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoverError {
    /// The map rejects a batch or the snapshot of the log.
    #[error("the log's map: {0}")]
    Map(#[from] MapError),
    /// A record is not valid at its position.
    #[error("the log's record {0}: {1}")]
    Record(usize, &'static str),
    /// The validator rejects the recovered map.
    #[error("the log's map is not sound: {0}; restore the log, or rebuild the map from the stores")]
    Invalid(String),
}

/// Computes the state from the records of a log.
pub(super) fn replay(records: Vec<LogRecord>, bounds: &Bounds) -> Result<State, RecoverError> {
    let mut state = State::default();
    let mut map = BlockMap::new(bounds.blocks, bounds.retired);
    for (n, record) in records.into_iter().enumerate() {
        match record {
            LogRecord::Start(start) => {
                if n > 0 {
                    return Err(RecoverError::Record(n, "a term begins in the midst of another's log"));
                }
                map = BlockMap::restore(&start.map, bounds.blocks, bounds.retired)?;
                state = *start;
            }
            LogRecord::Store(id, name) => state.stores.push((id, name)),
            LogRecord::Begin(change) => state.changes.push(change),
            LogRecord::Step(id, step, reason) => {
                let Some(change) = state.changes.iter_mut().find(|change| change.id == id) else {
                    return Err(RecoverError::Record(n, "a step of a change that never began"));
                };
                change.restore_step(step);
                change.reason = reason;
                state.changes.retain(|change| !change.step.has_ended());
            }
            LogRecord::Batch(batch) => map.apply(&batch)?,
            LogRecord::Paused(paused) => state.paused = paused,
            LogRecord::Assigned { blocks, changes, epochs } => {
                state.last_assigned = (blocks, changes, epochs)
            }
        }
    }
    let names: HashMap<StoreId, &String> = state.stores.iter().map(|(id, name)| (*id, name)).collect();
    let store_standing = |store| names.contains_key(&store).then_some(validate::Standing::Listed);
    let store_name =
        |store| names.get(&store).map_or_else(|| store.to_string(), |name| format!("store {name}"));
    let facts = validate::Facts { standing: &store_standing, store_name: &store_name, copies: &|_, _| true };
    if let Some(why) = validate::summary(&validate::full_map(&map, &facts)) {
        return Err(RecoverError::Invalid(why));
    }
    state.map = map.snapshot();
    Ok(state)
}
