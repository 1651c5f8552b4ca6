//! The validator: checks a map before it takes effect, and the transition to it from the map before. It owns
//! the rules and the format of a map as a document. It reports all faults at once, each with its keys, blocks,
//! line and remedy. A transition without findings keeps one set of holders for each key under every mixture of
//! map versions. The validator changes no map and does not depend on the coordinator.

mod batch;
mod document;
mod draft;
mod fault;
mod map;
mod sweep;
mod transition;

pub use batch::{batch, full_map, Facts};
pub use document::{Bounds, Document, DocumentError};
pub use draft::{Draft, Names, Redundancy, Row, Site, Standing};
pub use fault::{summary, Fault, Finding, Unfit};
pub use map::faults;
pub use transition::{EntryWait, Transition};

use rustc_hash::FxHashSet;

use crate::types::{BlockId, StoreId};

/// Checks the transition from one map to the next, each of which is checked on its own with [`faults`]. This is
/// a pure function of both maps: equal maps give equal findings.
pub fn transition(old: &Draft, new: &Draft, store_name: &dyn Fn(StoreId) -> String) -> Transition {
    let (before, after) = (old.sites_by_store(), new.sites_by_store());
    // The state of a store in the new map takes precedence; a store that the new map omits keeps its state.
    let standing = |store| after.get(&store).or(before.get(&store)).map(|site| site.standing);
    let known = map::StoreInfo { standing: &standing, store_name };
    let mut result = transition::check_transition(&old.rows, &new.rows, Some(new.keys), &known);
    let named: FxHashSet<&BlockId> = new.retired.iter().collect();
    let ended: FxHashSet<&BlockId> = old.retired.iter().filter(|id| !named.contains(id)).collect();
    for row in new.rows.iter().filter(|row| ended.contains(&row.id)) {
        result.findings.push(Finding::new(Fault::UsedAgain, row.span).block(row.id, row.line));
    }
    result
}
