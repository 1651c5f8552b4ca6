//! A term's beginning: the state that an earlier term's log makes, and why it may make none.

use std::collections::HashMap;

use thiserror::Error;

use super::interface::Bounds;
use crate::log::{LogRecord, State};
use crate::map::{BlockMap, MapError};
use crate::types::StoreId;
use crate::validate;

/// Why a log's records can't be taken up.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoverError {
    /// The map.
    #[error("the log's map: {0}")]
    Map(#[from] MapError),
    /// A record that makes no sense where it stands.
    #[error("the log's record {0}: {1}")]
    Record(usize, &'static str),
    /// The map that the records make together.
    #[error("the log's map is not sound: {0}; restore the log, or rebuild the map from the stores")]
    Unsound(String),
}

/// The state that a log's records make together.
pub(super) fn fold(records: Vec<LogRecord>, bounds: &Bounds) -> Result<State, RecoverError> {
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
                change.recovered(step);
                change.reason = reason;
                state.changes.retain(|change| !change.step.ended());
            }
            LogRecord::Batch(batch) => map.apply(&batch)?,
            LogRecord::Paused(paused) => state.paused = paused,
            LogRecord::Given { blocks, changes, epochs } => state.given = (blocks, changes, epochs),
        }
    }
    let names: HashMap<StoreId, &String> = state.stores.iter().map(|(id, name)| (*id, name)).collect();
    let standing = |store| names.contains_key(&store).then_some(validate::Standing::Listed);
    let text = |store| names.get(&store).map_or_else(|| store.to_string(), |name| format!("store {name}"));
    let facts = validate::Facts { standing: &standing, text: &text, copies: &|_, _| true };
    if let Some(why) = validate::first_of(&validate::whole(&map, &facts)) {
        return Err(RecoverError::Unsound(why));
    }
    state.map = map.snapshot();
    Ok(state)
}
