//! Validation of the transition from one version of a map to the next, for every key and every mixture of
//! brokers and stores that act under the old and the new version; `docs/design/blocks.md` states the rule in
//! the section "The passage". If there are no findings, each key has at any time one set of holders that may
//! accept entries, and a holder that can be read. This relies on the fence in `holding.rs`, and on copies in
//! progress ending before the new version is published.

use rustc_hash::FxHashSet;
use serde::Serialize;

use super::draft::{Row, Standing};
use super::fault::{Fault, Finding};
use super::map::StoreInfo;
use super::sweep::sweep;
use crate::types::{BlockId, Span, StoreId};

/// Keys whose entries no store accepts while a fence is in place. This lasts for a few message exchanges, and
/// clients are told `later`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryWait {
    /// Affected keys.
    pub keys: Span,
    /// Block that contains the keys before the transition.
    pub block: BlockId,
    /// Names of the fenced stores.
    pub from: Vec<String>,
    /// Names of the stores that take over.
    pub to: Vec<String>,
}

/// Result of the validation of a transition.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Transition {
    /// All faults found; the transition is valid if there are none.
    pub findings: Vec<Finding>,
    /// Keys whose entries have to wait.
    pub waits: Vec<EntryWait>,
}

/// Share of the stores of a group that act under the new version.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum VersionShare {
    None,
    Some,
    All,
}

const VERSION_SHARES: [VersionShare; 3] = [VersionShare::None, VersionShare::Some, VersionShare::All];

/// Holders of a key, grouped by their role in the transition.
struct Holders {
    kept: Vec<StoreId>,
    removed: Vec<StoreId>,
    /// New holders that have copied the block. Those that have not accept no requests, and become holders by a
    /// change of their own.
    added: Vec<StoreId>,
    /// Whether the fenced stores can tell orders of the new version from those of the old one.
    is_fenced: bool,
}

impl Holders {
    fn new(old: &Row, new: &Row) -> Self {
        let (kept, removed) = old.holders.iter().partition(|store| new.holders.contains(store));
        let copied = |store: &&StoreId| !old.holders.contains(store) && old.copying.contains(store);
        let added = new.holders.iter().filter(copied).copied().collect();
        Self { kept, removed, added, is_fenced: new.epoch > old.epoch }
    }

    /// Iterates over the possible mixtures: with a fence, no new holder takes over before all stores that give
    /// the key up have done so.
    fn mixtures(&self) -> impl Iterator<Item = (VersionShare, VersionShare)> + '_ {
        let all = VERSION_SHARES.into_iter().flat_map(|removed| VERSION_SHARES.map(|added| (removed, added)));
        let is_possible = |stores: &[StoreId], share| share != VersionShare::Some || stores.len() > 1;
        all.filter(move |(removed, added)| {
            is_possible(&self.removed, *removed) && is_possible(&self.added, *added)
        })
        .filter(|(removed, added)| {
            let is_removal_pending = !self.removed.is_empty() && *removed != VersionShare::All;
            !(self.is_fenced && is_removal_pending && *added != VersionShare::None)
        })
    }

    /// Returns whether stores that give the key up may accept entries, and whether stores that take it over
    /// may.
    fn accepts_entries(&self, removed: VersionShare, added: VersionShare) -> (bool, bool) {
        (
            !self.removed.is_empty() && removed != VersionShare::All,
            !self.added.is_empty() && added != VersionShare::None,
        )
    }

    /// Whether a responding store may be read. `published` means that some broker or store acts under the new
    /// version, so copies are complete. If some of the stores that give the key up have already done so, the
    /// responding ones may be exactly those.
    fn is_readable(
        &self,
        removed: VersionShare,
        published: bool,
        responds: &dyn Fn(&StoreId) -> bool,
    ) -> bool {
        self.kept.iter().any(responds)
            || (removed == VersionShare::None && self.removed.iter().any(responds))
            || (published && self.added.iter().any(responds))
    }
}

/// Checks the transition between two versions, either complete or reduced to what a batch affects. Keys that
/// several blocks contain in either version are a separate fault and are skipped here. `reported_keys` is a
/// range whose gaps have already been reported.
pub(crate) fn check_transition(
    old: &[Row],
    new: &[Row],
    reported_keys: Option<Span>,
    known: &StoreInfo<'_>,
) -> Transition {
    let spans: Vec<Span> = old.iter().chain(new).map(|row| row.span).collect();
    let mut result = Transition::default();
    let mut stale = FxHashSet::default();
    sweep(&spans, &[], |section, inside| {
        let mut inside = inside.iter().map(|n| (*n, n.checked_sub(old.len())));
        match (inside.next(), inside.next(), inside.next()) {
            (Some((o, None)), Some((_, Some(n))), None) => {
                let (o, n) = (&old[o], &new[n]);
                check_pair(o, n, section, known, &mut stale, &mut result);
            }
            (Some((o, None)), None, None)
                if reported_keys.is_none_or(|keys| keys.intersection(section).is_none()) =>
            {
                let finding = Finding::new(Fault::GivenUp, section).block(old[o].id, 0);
                result.findings.push(finding);
            }
            _ => {}
        }
    });
    result
}

fn check_pair(
    old: &Row,
    new: &Row,
    keys: Span,
    known: &StoreInfo<'_>,
    stale: &mut FxHashSet<(BlockId, BlockId)>,
    result: &mut Transition,
) {
    let sides = Holders::new(old, new);
    let same_stores = sides.removed.is_empty() && new.holders.iter().all(|store| old.holders.contains(store));
    let same = old.id == new.id && old.span == new.span && same_stores;
    let finding = |fault| Finding::new(fault, keys).block(old.id, 0).block(new.id, new.line);
    let epoch_not_raised = new.epoch < old.epoch || (new.epoch == old.epoch && !same);
    if epoch_not_raised && stale.insert((old.id, new.id)) {
        result.findings.push(finding(Fault::Epoch { held: old.epoch, found: new.epoch }));
    }
    let names =
        |stores: &[StoreId]| stores.iter().map(|store| (known.store_name)(*store)).collect::<Vec<_>>();
    if sides.kept.is_empty() && sides.added.is_empty() {
        // An empty list of holders is reported as a fault of the map.
        if !new.holders.is_empty() && !old.holders.is_empty() {
            let (old, new) = (names(&old.holders), names(&new.holders));
            result.findings.push(finding(Fault::Unfollowed { old, new }));
        }
        return;
    }
    let responds = |store: &StoreId| (known.standing)(*store).is_some_and(Standing::responds);
    let (mut two_sets, mut unreadable, mut entries_wait) = (false, false, false);
    for (removed, added) in sides.mixtures() {
        let (by_removed, by_added) = sides.accepts_entries(removed, added);
        two_sets |= by_removed && by_added;
        entries_wait |= sides.kept.is_empty() && !by_removed && !by_added;
        for broker_new in [false, true] {
            let published = broker_new || (removed, added) != (VersionShare::None, VersionShare::None);
            unreadable |= !sides.is_readable(removed, published, &responds);
        }
    }
    if two_sets {
        let (old, new) = (names(&sides.removed), names(&sides.added));
        result.findings.push(finding(Fault::TwoSets { old, new }));
    }
    if unreadable {
        let has: Vec<StoreId> = sides.kept.iter().chain(&sides.added).copied().collect();
        let (old, new) = (names(&old.holders), names(&has));
        result.findings.push(finding(Fault::Unreadable { old, new }));
    }
    if entries_wait && sides.is_fenced {
        let (from, to) = (names(&sides.removed), names(&sides.added));
        result.waits.push(EntryWait { keys, block: old.id, from, to });
    }
}
