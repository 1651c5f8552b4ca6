//! Waves: a set of stores parted so that each part may be away at once. Exact for small sets, by dynamic programming over subsets;
//! else first-fit from the most constrained store on, with seeded restarts, and a lower bound beside it that says how far from the
//! best it may be. Promises that coverage allows each wave as a whole, and the same waves for the same seed. What is short of
//! holders or zones stays short as more stores go; what is short of room need not (see `bound`), so room is asked for each set anew.

use std::collections::BTreeSet;

use gingerledge_coverage::{Counterexample, Coverage, Proposal, Requirements, Shortage, Store};
use thiserror::Error;

use crate::bound::Apart;

/// Subsets are counted in 16 bits, and three to the power of their number are gone through.
const EXACT_MOST: usize = 16;

/// How long is looked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effort {
    /// Sets of up to so many stores are parted exactly; 16 at most.
    pub exact_most: usize,
    /// How often is begun anew, while the lower bound is not met.
    pub restarts: u32,
    /// Nothing is begun anew once coverage was asked so often.
    pub asks_most: u64,
    /// Where chance comes from.
    pub seed: u64,
}

impl Default for Effort {
    fn default() -> Self {
        Self { exact_most: 12, restarts: 64, asks_most: 200_000, seed: 1 }
    }
}

/// A set in waves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waves {
    /// The stores of each, in order of their numbers; the greatest wave first.
    pub waves: Vec<Vec<Store>>,
    /// No way takes fewer.
    pub at_least: usize,
    /// Whether these are known to be as few as can be.
    pub exact: bool,
}

/// Why there are no waves.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum NoWaves {
    /// Something is short as it is.
    #[error("keys {} to {} are short with nobody away ({:?}); mend that first, or ask for less", .0.keys.first, .0.keys.end, .0.shortage)]
    AsItIs(Counterexample),
    /// A store can't go even alone.
    #[error("store {}: keys {} to {} would be short with it alone away ({:?}); give them a further holder, or ask for less",
        store.0, example.keys.first, example.keys.end, example.shortage)]
    Alone {
        /// Which.
        store: Store,
        /// What it would leave short.
        example: Counterexample,
    },
}

/// What coverage says to sets, and how often it was asked.
struct Asker<'a> {
    coverage: &'a Coverage,
    least: &'a Requirements,
    asked: u64,
}

impl Asker<'_> {
    fn check(&mut self, away: impl Iterator<Item = Store>) -> Result<(), Counterexample> {
        self.asked += 1;
        let proposal = Proposal { excluded_stores: away.collect(), ..Proposal::default() };
        self.coverage.check(&proposal, self.least)
    }
}

/// Parts a set of stores into as few waves as are found.
pub fn waves(
    coverage: &Coverage,
    stores: &BTreeSet<Store>,
    least: &Requirements,
    effort: &Effort,
) -> Result<Waves, NoWaves> {
    let mut asker = Asker { coverage, least, asked: 0 };
    asker.check([].into_iter()).map_err(NoWaves::AsItIs)?;
    for store in stores {
        let alone = asker.check([*store].into_iter());
        alone.map_err(|example| NoWaves::Alone { store: *store, example })?;
    }
    let stores: Vec<Store> = stores.iter().copied().collect();
    let apart = Apart::new(coverage, &stores, least);
    let exact = stores.len() <= effort.exact_most.min(EXACT_MOST);
    let found =
        if exact { parted(&mut asker, &stores, &apart) } else { fitted(&mut asker, &stores, &apart, effort) };
    let at_least = if exact { found.len() } else { apart.at_least };
    let named = |wave: Vec<usize>| -> Vec<Store> {
        let mut wave: Vec<Store> = wave.into_iter().map(|place| stores[place]).collect();
        wave.sort_unstable();
        wave
    };
    let mut waves: Vec<Vec<Store>> = found.into_iter().map(named).collect();
    waves.sort_by(|a, b| b.len().cmp(&a.len()).then_with(|| a.cmp(b)));
    let exact = waves.len() == at_least;
    Ok(Waves { waves, at_least, exact })
}

/// The fewest, over all subsets. Each store may go alone, so there is a way.
fn parted(asker: &mut Asker, stores: &[Store], apart: &Apart) -> Vec<Vec<usize>> {
    let all = (1_usize << stores.len()) - 1;
    let places = |set: usize| (0..stores.len()).filter(move |place| set >> place & 1 == 1);
    let (mut may, mut never) = (vec![false; all + 1], vec![false; all + 1]);
    for set in 1..=all {
        let within = |place: usize| set & !(1 << place);
        let conflict = |one: usize| apart.conflicts[one].iter().any(|two| set >> two & 1 == 1);
        never[set] = places(set).any(|place| never[within(place)] || conflict(place));
        if never[set] {
            continue;
        }
        match asker.check(places(set).map(|place| stores[place])) {
            Ok(()) => may[set] = true,
            Err(example) => {
                never[set] = matches!(example.shortage, Shortage::Holders { .. } | Shortage::Zones { .. })
            }
        }
    }
    // The fewest waves of each set, and the one among them with its first store.
    let mut fewest = vec![(0_usize, 0_usize); all + 1];
    for set in 1..=all {
        let first = set & set.wrapping_neg();
        let rest = set ^ first;
        let mut beside = rest;
        fewest[set] = (usize::MAX, 0);
        loop {
            let wave = beside | first;
            if may[wave] && fewest[set ^ wave].0 + 1 < fewest[set].0 {
                fewest[set] = (fewest[set ^ wave].0 + 1, wave);
            }
            if beside == 0 {
                break;
            }
            beside = (beside - 1) & rest;
        }
    }
    let (mut left, mut waves) = (all, Vec::new());
    while left != 0 {
        let wave = fewest[left].1;
        waves.push(places(wave).collect());
        left ^= wave;
    }
    waves
}

/// First-fit, begun anew while there may be a better way: by turns from an order shaken by chance, and from the best waves so far
/// in another order, which can't do worse by holders and zones.
fn fitted(asker: &mut Asker, stores: &[Store], apart: &Apart, effort: &Effort) -> Vec<Vec<usize>> {
    let mut rng = fastrand::Rng::with_seed(effort.seed);
    let mut order: Vec<usize> = (0..stores.len()).collect();
    order.sort_by_key(|place| (std::cmp::Reverse(apart.conflicts[*place].len()), *place));
    let mut best = first_fit(asker, stores, apart, &order);
    for turn in 0..effort.restarts {
        if best.len() <= apart.at_least || asker.asked >= effort.asks_most {
            break;
        }
        let order: Vec<usize> = if turn % 2 == 0 {
            let mut waves = best.clone();
            rng.shuffle(&mut waves);
            waves.concat()
        } else {
            let shaken = |place: &usize| apart.conflicts[*place].len() as f64 * (0.5 + rng.f64()) + rng.f64();
            let mut keyed: Vec<(f64, usize)> = order.iter().map(shaken).zip(order.iter().copied()).collect();
            keyed.sort_by(|a, b| b.0.total_cmp(&a.0));
            keyed.into_iter().map(|(_, place)| place).collect()
        };
        let found = first_fit(asker, stores, apart, &order);
        // One as good is taken too: it leads elsewhere.
        if found.len() <= best.len() {
            best = found;
        }
    }
    best
}

fn first_fit(asker: &mut Asker, stores: &[Store], apart: &Apart, order: &[usize]) -> Vec<Vec<usize>> {
    let mut waves: Vec<Vec<usize>> = Vec::new();
    for place in order {
        let mut fits = |wave: &Vec<usize>| {
            let conflicts = wave.iter().any(|other| apart.conflicts[*place].contains(other));
            let with = wave.iter().chain([place]).map(|place| stores[*place]);
            !conflicts && asker.check(with).is_ok()
        };
        match waves.iter().position(&mut fits) {
            Some(wave) => waves[wave].push(*place),
            None => waves.push(vec![*place]),
        }
    }
    waves
}
