//! Distribution of blocks' load over stores and zones, in integer millionths, so that every sum is independent of the order of
//! addition. Division loses nothing to rounding, and a change of a zone's share needs no iteration over blocks: the load that
//! would move from each zone to each other one if the share of the first were 0 is summed by pairs of zones, and a share
//! applies to these sums.

use crate::types::{Region, State};

/// Number of millionths in one unit; also a share of 1.
pub(crate) const ONE: u64 = 1_000_000;

/// Maximum amount in units: far above the needs of any fleet, and small enough that no product overflows.
pub(crate) const MAX_AMOUNT: f64 = 1e9;

/// Converts an amount from units to millionths; NaN counts as 0.
pub(crate) fn amount(units: f64) -> u64 {
    (units.clamp(0.0, MAX_AMOUNT) * ONE as f64).round() as u64
}

/// Converts a share to millionths; NaN counts as `otherwise`.
pub(crate) fn share(share: f64, otherwise: u64) -> u64 {
    if share.is_nan() {
        otherwise
    } else {
        amount(share.min(1.0))
    }
}

/// Converts an amount from millionths to units.
pub(crate) fn units(amount: i128) -> f64 {
    amount as f64 / ONE as f64
}

/// Capacity of a store in its present state, in millionths.
pub(crate) fn capacity(units: f64, state: State) -> u64 {
    match state {
        State::Listed => amount(units),
        State::Cold { share: warm_share } => multiply_divide(amount(units), share(warm_share, 0), ONE),
        _ => 0,
    }
}

/// Returns `amount * numerator / denominator`, rounded down.
fn multiply_divide(amount: u64, numerator: u64, denominator: u64) -> u64 {
    match amount.checked_mul(numerator) {
        Some(product) => product / denominator,
        None => (u128::from(amount) * u128::from(numerator) / u128::from(denominator)) as u64,
    }
}

/// A sum minus a share of it, rounded down, such as the redirected part of a zone's load, or a capacity minus the headroom.
pub(crate) fn without_share(sum: i128, share: u64) -> i128 {
    match ONE - share {
        0 => 0,
        ONE => sum,
        redirected_share => {
            match i64::try_from(sum).ok().and_then(|sum| sum.checked_mul(redirected_share as i64)) {
                Some(product) => i128::from(product / ONE as i64),
                None => sum * i128::from(redirected_share) / i128::from(ONE),
            }
        }
    }
}

/// A sound holder of a block.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoundHolder {
    /// Slot of the store in the table.
    pub(crate) slot: u32,
    /// Slot of the store's zone.
    pub(crate) zone: usize,
    pub(crate) region: Region,
    /// Capacity of the store in its present state, in millionths.
    pub(crate) capacity: u64,
}

/// Receiver of the load that [`distribute`] assigns.
pub(crate) trait LoadReceiver {
    /// Adds load that a holder serves while every zone's share is 1.
    fn add_local(&mut self, holder: &SoundHolder, amount: u64);
    /// Adds the part of one holder's load that another holder would serve if the share of the first one's zone were 0.
    fn add_redirected(&mut self, from: &SoundHolder, to: &SoundHolder, amount: u64);
}

/// Divides an amount in proportion to weights, so that the parts add up to the amount; evenly if all weights are 0.
fn divide(
    amount: u64,
    weighted: impl Iterator<Item = (usize, u64)> + Clone,
    mut assign: impl FnMut(usize, u64),
) {
    let total: u64 = weighted.clone().map(|(_, weight)| weight).sum();
    let even = u64::from(total == 0);
    let total = if total == 0 { weighted.clone().count() as u64 } else { total };
    let (mut weights, mut assigned) = (0, 0);
    for (index, weight) in weighted {
        weights += weight + even;
        let cumulative = multiply_divide(amount, weights, total);
        assign(index, cumulative - assigned);
        assigned = cumulative;
    }
}

/// Distributes a block's load over its sound holders, which have to be ordered by number: in proportion to capacity. The load that
/// zones' shares redirect goes to holders in other zones; in the same region as the original holder if there are any.
pub(crate) fn distribute(load: u64, holders: &[SoundHolder], receiver: &mut impl LoadReceiver) {
    if load == 0 {
        return;
    }
    divide(load, holders.iter().map(|holder| holder.capacity).enumerate(), |index, local| {
        let from = &holders[index];
        receiver.add_local(from, local);
        let in_other_zone = |holder: &SoundHolder| holder.zone != from.zone;
        let has_in_region =
            holders.iter().any(|holder| in_other_zone(holder) && holder.region == from.region);
        let others = holders
            .iter()
            .enumerate()
            .filter(|(_, holder)| in_other_zone(holder) && (!has_in_region || holder.region == from.region));
        divide(local, others.map(|(index, holder)| (index, holder.capacity)), |to, amount| {
            receiver.add_redirected(from, &holders[to], amount);
        });
    });
}

/// Sums by zone slot. The sums of a released slot are 0, since a zone without stores has no load.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneSums {
    pub(crate) local: Vec<i128>,
    /// Load that would move between two zones if the share of the first were 0, indexed by slot of the first, then of the second.
    pub(crate) redirected: Vec<Vec<i128>>,
    pub(crate) capacity: Vec<i128>,
}

/// Adds an amount to the sum at an index, extending the vector as needed.
pub(crate) fn add(sums: &mut Vec<i128>, at: usize, amount: i128) {
    if sums.len() <= at {
        sums.resize(at + 1, 0);
    }
    sums[at] += amount;
}

/// The sum at an index; 0 beyond the end of the vector.
pub(crate) fn sum(sums: &[i128], at: usize) -> i128 {
    sums.get(at).copied().unwrap_or(0)
}

impl ZoneSums {
    /// Load of each zone by the sums of `self` and `more` together and the shares.
    pub(crate) fn loads(&self, more: &ZoneSums, shares: &[u64]) -> Vec<i128> {
        let total = |select: fn(&ZoneSums) -> &Vec<i128>, at| sum(select(self), at) + sum(select(more), at);
        let mut loads: Vec<i128> = (0..shares.len()).map(|zone| total(|sums| &sums.local, zone)).collect();
        let pair = |sums: &ZoneSums, from: usize, to| sums.redirected.get(from).map_or(0, |row| sum(row, to));
        for (from, share) in shares.iter().enumerate().filter(|(_, share)| **share < ONE) {
            for to in 0..shares.len() {
                // The two sums are added before the share applies: rounding must not depend on how they are split.
                let amount = without_share(pair(self, from, to) + pair(more, from, to), *share);
                loads[from] -= amount;
                loads[to] += amount;
            }
        }
        loads
    }
}

/// Adds load to zone sums, or subtracts it from them.
pub(crate) struct ZoneSumUpdate<'a> {
    pub(crate) sums: &'a mut ZoneSums,
    /// 1 to add, -1 to subtract.
    pub(crate) sign: i128,
}

impl LoadReceiver for ZoneSumUpdate<'_> {
    fn add_local(&mut self, holder: &SoundHolder, amount: u64) {
        add(&mut self.sums.local, holder.zone, self.sign * i128::from(amount));
    }

    fn add_redirected(&mut self, from: &SoundHolder, to: &SoundHolder, amount: u64) {
        if self.sums.redirected.len() <= from.zone {
            self.sums.redirected.resize(from.zone + 1, Vec::new());
        }
        add(&mut self.sums.redirected[from.zone], to.zone, self.sign * i128::from(amount));
    }
}

/// Load of one block on one zone, in millionths of millionths. Callers only need to know whether it is above 0.
pub(crate) struct SingleZoneLoad<'a> {
    pub(crate) zone: usize,
    pub(crate) shares: &'a [u64],
    pub(crate) sum: i128,
}

impl LoadReceiver for SingleZoneLoad<'_> {
    fn add_local(&mut self, holder: &SoundHolder, amount: u64) {
        if holder.zone == self.zone {
            self.sum += i128::from(amount) * i128::from(ONE);
        }
    }

    fn add_redirected(&mut self, from: &SoundHolder, to: &SoundHolder, amount: u64) {
        if from.zone == self.zone || to.zone == self.zone {
            let amount = i128::from(amount) * i128::from(ONE - self.shares[from.zone]);
            self.sum += if to.zone == self.zone { amount } else { -amount };
        }
    }
}

/// Load of one store, in millionths.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreLoad {
    pub(crate) local: i128,
    /// Load that would leave the store if the share of its zone were 0.
    pub(crate) outgoing: i128,
    /// Load that would arrive at the store if the share of another zone were 0, by slot of that zone.
    pub(crate) incoming: Vec<i128>,
}

impl StoreLoad {
    /// Total load of the store under the given shares.
    pub(crate) fn sum(&self, zone: usize, shares: &[u64]) -> i128 {
        let incoming = self.incoming.iter().zip(shares).map(|(sum, share)| without_share(*sum, *share));
        self.local - without_share(self.outgoing, shares[zone]) + incoming.sum::<i128>()
    }
}
