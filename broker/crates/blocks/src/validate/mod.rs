//! The validator: proves a map before it holds, and the passage to it from the one before. It owns the rules and the format
//! of a map as a document. It promises to name every fault at once, each with its keys, its blocks, its line and the way
//! out, and that a passage it finds nothing against keeps one set of holders to each key under every mixture of
//! versions. It changes no map, and knows no coordinator: those who hold maps ask it.

mod batch;
mod document;
mod draft;
mod fault;
mod map;
mod transition;
mod sweep;

pub use batch::{batch, whole, Facts};
pub use document::{Bounds, Document, DocumentError};
pub use draft::{Draft, Least, Names, Row, Site, Standing};
pub use fault::{first_of, Fault, Finding, Unfit};
pub use map::faults;
pub use transition::{Passage, Wait};

use rustc_hash::FxHashSet;

use crate::types::{BlockId, StoreId};

/// Proves the passage from one map to the next, each of which is looked at by itself with [`faults`]. A pure function of both:
/// whoever knows them says the same.
pub fn passage(old: &Draft, new: &Draft, text: &dyn Fn(StoreId) -> String) -> Passage {
    let (before, after) = (old.standings(), new.standings());
    // What the new map says of a store is the newer word; one that it leaves out is as it was.
    let standing = |store| after.get(&store).or(before.get(&store)).map(|site| site.standing);
    let known = map::Known { standing: &standing, text };
    let mut passage = transition::pass(&old.rows, &new.rows, Some(new.keys), &known);
    let named: FxHashSet<&BlockId> = new.retired.iter().collect();
    let ended: FxHashSet<&BlockId> = old.retired.iter().filter(|id| !named.contains(id)).collect();
    for row in new.rows.iter().filter(|row| ended.contains(&row.id)) {
        passage.findings.push(Finding::new(Fault::UsedAgain, row.span).block(row.id, row.line));
    }
    passage
}
