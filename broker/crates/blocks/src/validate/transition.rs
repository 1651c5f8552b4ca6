//! The passage from one version of a map to the next, proved for every key and every mixture of brokers and stores that act
//! under the old and the new version; `docs/design/blocks.md` states the rule, "The passage". It promises that what it finds
//! nothing against has, for each key, one set of holders that may take entries at any time, and somebody to be read
//! throughout. It rests on the fence of `holding.rs`, and on a copy under way ending before the new version is told.

use rustc_hash::FxHashSet;
use serde::Serialize;

use super::draft::{Row, Standing};
use super::fault::{Fault, Finding};
use super::map::Known;
use super::sweep::sweep;
use crate::types::{BlockId, Span, StoreId};

/// Keys whose entries nobody takes while a fence is up: a few exchanges long, and told as `later`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Wait {
    /// Which.
    pub keys: Span,
    /// The block that has them before.
    pub block: BlockId,
    /// Who is fenced off.
    pub from: Vec<String>,
    /// Who takes over.
    pub to: Vec<String>,
}

/// What came of looking at a passage.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Passage {
    /// All that is wrong with it; nothing: it is proved.
    pub findings: Vec<Finding>,
    /// Where entries wait.
    pub waits: Vec<Wait>,
}

/// How many stores of a kind act under the new version.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Under {
    None,
    Some,
    All,
}

const UNDER: [Under; 3] = [Under::None, Under::Some, Under::All];

/// The holders of a key, by what becomes of them.
struct Holders {
    kept: Vec<StoreId>,
    lost: Vec<StoreId>,
    /// New ones that have copied; those that have not are let nothing into, and come in by a change of their own.
    followed: Vec<StoreId>,
    /// Whether what is fenced off can tell the new version's orders from the old one's.
    fence: bool,
}

impl Holders {
    fn of(old: &Row, new: &Row) -> Self {
        let (kept, lost) = old.holders.iter().partition(|store| new.holders.contains(store));
        let copied = |store: &&StoreId| !old.holders.contains(store) && old.copying.contains(store);
        let followed = new.holders.iter().filter(copied).copied().collect();
        Self { kept, lost, followed, fence: new.epoch > old.epoch }
    }

    /// Mixtures that can come about: with a fence nobody new takes over before all who let go have done so.
    fn mixtures(&self) -> impl Iterator<Item = (Under, Under)> + '_ {
        let all = UNDER.into_iter().flat_map(|lost| UNDER.map(|followed| (lost, followed)));
        let some = |stores: &[StoreId], under| under != Under::Some || stores.len() > 1;
        all.filter(move |(lost, followed)| some(&self.lost, *lost) && some(&self.followed, *followed)).filter(
            |(lost, followed)| {
                let behind = !self.lost.is_empty() && *lost != Under::All;
                !(self.fence && behind && *followed != Under::None)
            },
        )
    }

    /// Which kinds of stores may take entries: those that let go, those that take over.
    fn takes(&self, lost: Under, followed: Under) -> (bool, bool) {
        (!self.lost.is_empty() && lost != Under::All, !self.followed.is_empty() && followed != Under::None)
    }

    /// Whether somebody who answers may be read. `told`: some broker or store acts under the new version, so copies
    /// are complete. Of those that let go, the ones that answer may be the ones that have let go already.
    fn read(&self, lost: Under, told: bool, answers: &dyn Fn(&StoreId) -> bool) -> bool {
        self.kept.iter().any(answers)
            || (lost == Under::None && self.lost.iter().any(answers))
            || (told && self.followed.iter().any(answers))
    }
}

/// Looks at the passage between two versions, whole or cut down to what a batch touches. Where either has several blocks at
/// a key, that is a fault of its own and not looked at here. `keys`: a range whose gaps have been named already.
pub(crate) fn pass(old: &[Row], new: &[Row], keys: Option<Span>, known: &Known<'_>) -> Passage {
    let spans: Vec<Span> = old.iter().chain(new).map(|row| row.span).collect();
    let mut passage = Passage::default();
    let mut stale = FxHashSet::default();
    sweep(&spans, &[], |stretch, inside| {
        let mut inside = inside.iter().map(|n| (*n, n.checked_sub(old.len())));
        match (inside.next(), inside.next(), inside.next()) {
            (Some((o, None)), Some((_, Some(n))), None) => {
                let (o, n) = (&old[o], &new[n]);
                pair(o, n, stretch, known, &mut stale, &mut passage);
            }
            (Some((o, None)), None, None) if keys.is_none_or(|keys| keys.meet(stretch).is_none()) => {
                let finding = Finding::new(Fault::GivenUp, stretch).block(old[o].id, 0);
                passage.findings.push(finding);
            }
            _ => {}
        }
    });
    passage
}

fn pair(
    old: &Row,
    new: &Row,
    keys: Span,
    known: &Known<'_>,
    stale: &mut FxHashSet<(BlockId, BlockId)>,
    passage: &mut Passage,
) {
    let sides = Holders::of(old, new);
    let same_stores = sides.lost.is_empty() && new.holders.iter().all(|store| old.holders.contains(store));
    let same = old.id == new.id && old.span == new.span && same_stores;
    let place = |fault| Finding::new(fault, keys).block(old.id, 0).block(new.id, new.line);
    let falls = new.epoch < old.epoch || (new.epoch == old.epoch && !same);
    if falls && stale.insert((old.id, new.id)) {
        passage.findings.push(place(Fault::Epoch { held: old.epoch, found: new.epoch }));
    }
    let names = |stores: &[StoreId]| stores.iter().map(|store| (known.text)(*store)).collect::<Vec<_>>();
    if sides.kept.is_empty() && sides.followed.is_empty() {
        // An empty list of holders is a fault of the map.
        if !new.holders.is_empty() && !old.holders.is_empty() {
            let (old, new) = (names(&old.holders), names(&new.holders));
            passage.findings.push(place(Fault::Unfollowed { old, new }));
        }
        return;
    }
    let answers = |store: &StoreId| (known.standing)(*store).is_some_and(Standing::answers);
    let (mut two, mut unread, mut wait) = (false, false, false);
    for (lost, followed) in sides.mixtures() {
        let (by_lost, by_followed) = sides.takes(lost, followed);
        two |= by_lost && by_followed;
        wait |= sides.kept.is_empty() && !by_lost && !by_followed;
        for broker_new in [false, true] {
            let told = broker_new || (lost, followed) != (Under::None, Under::None);
            unread |= !sides.read(lost, told, &answers);
        }
    }
    if two {
        let (old, new) = (names(&sides.lost), names(&sides.followed));
        passage.findings.push(place(Fault::TwoSets { old, new }));
    }
    if unread {
        let has: Vec<StoreId> = sides.kept.iter().chain(&sides.followed).copied().collect();
        let (old, new) = (names(&old.holders), names(&has));
        passage.findings.push(place(Fault::Unreadable { old, new }));
    }
    if wait && sides.fence {
        let (from, to) = (names(&sides.lost), names(&sides.followed));
        passage.waits.push(Wait { keys, block: old.id, from, to });
    }
}
