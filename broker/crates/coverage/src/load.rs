//! Where a block's load falls, in whole millionths, so that every sum is the same in any order of adding. It promises that
//! nothing is lost in dividing, and that shares need no look at blocks: what would leave each zone for each other one, were it
//! led away whole, is summed by pairs, and a share takes its part of the sums.

use crate::types::{Region, State};

/// Millionths in one.
pub(crate) const ONE: u64 = 1_000_000;

/// The largest amount that is taken, in units: far above any fleet, and small enough that no product overflows.
pub(crate) const MOST: f64 = 1e9;

/// An amount in millionths; what is no number counts as 0.
pub(crate) fn amount(units: f64) -> u64 {
    (units.clamp(0.0, MOST) * ONE as f64).round() as u64
}

/// A share in millionths; what is no number counts as `otherwise`.
pub(crate) fn share(share: f64, otherwise: u64) -> u64 {
    if share.is_nan() {
        otherwise
    } else {
        amount(share.min(1.0))
    }
}

/// Back to units.
pub(crate) fn units(amount: i128) -> f64 {
    amount as f64 / ONE as f64
}

/// What a store can do as it stands.
pub(crate) fn capacity(units: f64, state: State) -> u64 {
    match state {
        State::Listed => amount(units),
        State::Cold { share: part } => of(amount(units), share(part, 0), ONE),
        _ => 0,
    }
}

/// `amount * part / whole`, rounded down.
fn of(amount: u64, part: u64, whole: u64) -> u64 {
    match amount.checked_mul(part) {
        Some(product) => product / whole,
        None => (u128::from(amount) * u128::from(part) / u128::from(whole)) as u64,
    }
}

/// What is left of a sum without a share of it, rounded down; of a zone's load, what is led away.
pub(crate) fn without(sum: i128, share: u64) -> i128 {
    match ONE - share {
        0 => 0,
        ONE => sum,
        rest => match i64::try_from(sum).ok().and_then(|sum| sum.checked_mul(rest as i64)) {
            Some(product) => i128::from(product / ONE as i64),
            None => sum * i128::from(rest) / i128::from(ONE),
        },
    }
}

/// A sound holder.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    /// Its slot in the table, and its zone's.
    pub(crate) slot: u32,
    pub(crate) zone: usize,
    pub(crate) region: Region,
    /// In millionths, as it stands.
    pub(crate) capacity: u64,
}

/// What takes note of where load falls.
pub(crate) trait Falls {
    /// So much falls on a holder while every share is 1.
    fn near(&mut self, on: &Part, amount: u64);
    /// So much of what falls on one holder falls on another once the zone of the first is led away whole.
    fn led(&mut self, from: &Part, to: &Part, amount: u64);
}

/// Divides by weights so that the parts sum up to the whole; evenly where all weights are 0.
fn divide(amount: u64, of_parts: impl Iterator<Item = (usize, u64)> + Clone, mut to: impl FnMut(usize, u64)) {
    let total: u64 = of_parts.clone().map(|(_, weight)| weight).sum();
    let even = u64::from(total == 0);
    let total = if total == 0 { of_parts.clone().count() as u64 } else { total };
    let (mut weights, mut given) = (0, 0);
    for (index, weight) in of_parts {
        weights += weight + even;
        let upto = of(amount, weights, total);
        to(index, upto - given);
        given = upto;
    }
}

/// Lets a block's load fall on its sound holders, which come by number: by capacity; and what their zones' shares lead away on
/// holders in other zones, in the holder's own region if there are any.
pub(crate) fn fall(load: u64, parts: &[Part], falls: &mut impl Falls) {
    if load == 0 {
        return;
    }
    divide(load, parts.iter().map(|part| part.capacity).enumerate(), |index, near| {
        let from = &parts[index];
        falls.near(from, near);
        let elsewhere = |part: &Part| part.zone != from.zone;
        let by = parts.iter().any(|part| elsewhere(part) && part.region == from.region);
        let others =
            parts.iter().enumerate().filter(|(_, p)| elsewhere(p) && (!by || p.region == from.region));
        divide(near, others.map(|(index, part)| (index, part.capacity)), |to, amount| {
            falls.led(from, &parts[to], amount);
        });
    });
}

/// Sums by zones' slots. A slot that is let go has sums of 0, as nothing falls on a zone without stores.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) near: Vec<i128>,
    /// From, to.
    pub(crate) led: Vec<Vec<i128>>,
    pub(crate) capacity: Vec<i128>,
}

/// Adds to a sum.
pub(crate) fn add(sums: &mut Vec<i128>, at: usize, amount: i128) {
    if sums.len() <= at {
        sums.resize(at + 1, 0);
    }
    sums[at] += amount;
}

/// A sum.
pub(crate) fn sum(sums: &[i128], at: usize) -> i128 {
    sums.get(at).copied().unwrap_or(0)
}

impl Tally {
    /// What falls on each zone by both tallies' sums and the shares.
    pub(crate) fn loads(&self, more: &Tally, shares: &[u64]) -> Vec<i128> {
        let both = |of: fn(&Tally) -> &Vec<i128>, at| sum(of(self), at) + sum(of(more), at);
        let mut loads: Vec<i128> = (0..shares.len()).map(|zone| both(|tally| &tally.near, zone)).collect();
        let pair = |tally: &Tally, from: usize, to| tally.led.get(from).map_or(0, |row| sum(row, to));
        for (from, share) in shares.iter().enumerate().filter(|(_, share)| **share < ONE) {
            for to in 0..shares.len() {
                // Both sums are one before the share takes its part: rounding must not tell whence they come.
                let amount = without(pair(self, from, to) + pair(more, from, to), *share);
                loads[from] -= amount;
                loads[to] += amount;
            }
        }
        loads
    }
}

/// Lets load fall on a tally, or takes it off.
pub(crate) struct Onto<'a> {
    pub(crate) tally: &'a mut Tally,
    /// 1 or -1.
    pub(crate) sign: i128,
}

impl Falls for Onto<'_> {
    fn near(&mut self, on: &Part, amount: u64) {
        add(&mut self.tally.near, on.zone, self.sign * i128::from(amount));
    }

    fn led(&mut self, from: &Part, to: &Part, amount: u64) {
        if self.tally.led.len() <= from.zone {
            self.tally.led.resize(from.zone + 1, Vec::new());
        }
        add(&mut self.tally.led[from.zone], to.zone, self.sign * i128::from(amount));
    }
}

/// What of one block falls on one zone, in millionths of millionths: whether it is more than nothing is what is asked.
pub(crate) struct On<'a> {
    pub(crate) zone: usize,
    pub(crate) shares: &'a [u64],
    pub(crate) sum: i128,
}

impl Falls for On<'_> {
    fn near(&mut self, on: &Part, amount: u64) {
        if on.zone == self.zone {
            self.sum += i128::from(amount) * i128::from(ONE);
        }
    }

    fn led(&mut self, from: &Part, to: &Part, amount: u64) {
        if from.zone == self.zone || to.zone == self.zone {
            let amount = i128::from(amount) * i128::from(ONE - self.shares[from.zone]);
            self.sum += if to.zone == self.zone { amount } else { -amount };
        }
    }
}

/// What falls on one store.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreLoad {
    pub(crate) near: i128,
    /// What leaves it once its zone is led away whole.
    pub(crate) out: i128,
    /// What comes to it once another zone is.
    pub(crate) into: Vec<i128>,
}

impl StoreLoad {
    /// All that falls on it, by shares.
    pub(crate) fn sum(&self, zone: usize, shares: &[u64]) -> i128 {
        let into = self.into.iter().zip(shares).map(|(sum, share)| without(*sum, *share));
        self.near - without(self.out, shares[zone]) + into.sum::<i128>()
    }
}
