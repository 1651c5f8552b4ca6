//! Reference implementation that computes coverage by examining every key and every block anew; the tests compare the table with
//! it. It shares nothing with the implementation except the types.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_coverage::*;

const ONE: u128 = 1_000_000;

/// The facts alone, without indices or sums.
#[derive(Clone, Default)]
pub struct Reference {
    pub sites: BTreeMap<Store, Site>,
    pub blocks: BTreeMap<Block, BlockAssignment>,
    pub shares: BTreeMap<Zone, f64>,
    pub excluded: BTreeSet<Store>,
    /// Ranges held before a proposal: every key between the lowest and the highest of them has to be held.
    before: Vec<KeyRange>,
}

/// Local load of each sound holder; and load that would move from one holder to another if the share of the first one's zone were
/// 0.
type Distribution = (Vec<(Site, u128)>, Vec<(Site, Site, u128)>);

fn millionths(units: f64) -> u128 {
    (units * 1e6).round() as u128
}

fn divide(amount: u128, weights: &[u128]) -> Vec<u128> {
    let effective: Vec<u128> =
        if weights.iter().all(|w| *w == 0) { vec![1; weights.len()] } else { weights.to_vec() };
    let total: u128 = effective.iter().sum();
    let cumulative = |n: usize| amount * effective[..n].iter().sum::<u128>() / total;
    (0..effective.len()).map(|n| cumulative(n + 1) - cumulative(n)).collect()
}

impl Reference {
    pub fn with_proposal(&self, proposal: &Proposal) -> Reference {
        let mut projected = self.clone();
        projected.before = self.blocks.values().map(|block| block.keys).collect();
        projected.excluded = proposal.excluded_stores.clone();
        projected.shares.extend(&proposal.shares);
        projected.blocks.retain(|block, _| !proposal.removed_blocks.contains(block));
        projected.blocks.extend(proposal.changed_blocks.iter().map(|block| (block.block, block.clone())));
        projected.blocks.retain(|_, block| block.keys.first < block.keys.end);
        projected
    }

    pub fn sound(&self, block: &BlockAssignment) -> Vec<Site> {
        let holders: BTreeSet<Store> = block.holders.iter().copied().collect();
        let candidates = holders.iter().filter(|store| !self.excluded.contains(store));
        let sites = candidates.filter_map(|store| self.sites.get(store).copied());
        sites.filter(|site| matches!(site.state, State::Listed | State::Cold { .. })).collect()
    }

    pub fn zones(&self, block: &BlockAssignment) -> usize {
        self.sound(block).iter().map(|site| site.zone).collect::<BTreeSet<_>>().len()
    }

    fn capacity(site: &Site) -> u128 {
        match site.state {
            State::Listed => millionths(site.capacity),
            State::Cold { share } => millionths(site.capacity) * millionths(share) / ONE,
            _ => 0,
        }
    }

    fn share(&self, zone: Zone) -> u128 {
        millionths(self.shares.get(&zone).copied().unwrap_or(1.0))
    }

    /// Distribution of the load of a block.
    fn distribution(&self, block: &BlockAssignment) -> Distribution {
        let sound = self.sound(block);
        let local = divide(millionths(block.load), &sound.iter().map(Self::capacity).collect::<Vec<_>>());
        let local: Vec<(Site, u128)> = sound.iter().copied().zip(local).collect();
        let mut redirected = Vec::new();
        for (from, amount) in &local {
            let mut to: Vec<Site> = sound.iter().copied().filter(|site| site.zone != from.zone).collect();
            if to.iter().any(|site| site.region == from.region) {
                to.retain(|site| site.region == from.region);
            }
            let amounts = divide(*amount, &to.iter().map(Self::capacity).collect::<Vec<_>>());
            redirected.extend(to.iter().zip(amounts).map(|(site, amount)| (*from, *site, amount)));
        }
        (local, redirected)
    }

    /// Load of each zone: redirected load is summed by pairs of zones before the share applies to the sum.
    fn loads(&self) -> BTreeMap<Zone, i128> {
        let (mut loads, mut pairs) = (BTreeMap::new(), BTreeMap::new());
        for (local, redirected) in self.blocks.values().map(|block| self.distribution(block)) {
            for (site, amount) in local {
                *loads.entry(site.zone).or_default() += amount as i128;
            }
            for (from, to, amount) in redirected {
                *pairs.entry((from.zone, to.zone)).or_default() += amount;
            }
        }
        for ((from, to), amount) in pairs {
            *loads.entry(from).or_default() -= self.redirected(from, amount);
            *loads.entry(to).or_default() += self.redirected(from, amount);
        }
        loads
    }

    fn redirected(&self, from: Zone, amount: u128) -> i128 {
        (amount * (ONE - self.share(from)) / ONE) as i128
    }

    /// Capacity minus load of a store, at least 0.
    fn spare(&self, site: &Site) -> i128 {
        let (mut sum, mut outgoing, mut incoming) = (0, 0, BTreeMap::<Zone, u128>::new());
        for (local, redirected) in self.blocks.values().map(|block| self.distribution(block)) {
            sum +=
                local.iter().filter(|(on, _)| on.store == site.store).map(|(_, n)| *n as i128).sum::<i128>();
            for (from, to, amount) in redirected {
                outgoing += if from.store == site.store { amount } else { 0 };
                *incoming.entry(from.zone).or_default() += if to.store == site.store { amount } else { 0 };
            }
        }
        let incoming: i128 = incoming.into_iter().map(|(from, amount)| self.redirected(from, amount)).sum();
        (Self::capacity(site) as i128 - sum + self.redirected(site.zone, outgoing) - incoming).max(0)
    }

    pub fn cover(&self, block: &BlockAssignment) -> Cover {
        let sound = self.sound(block);
        Cover {
            keys: block.keys,
            block: block.block,
            sound: sound.len() as u32,
            zones: self.zones(block) as u32,
            regions: sound.iter().map(|site| site.region).collect::<BTreeSet<_>>().len() as u32,
            spare: sound.iter().map(|site| self.spare(site)).sum::<i128>() as f64 / 1e6,
        }
    }

    /// Cover of all ranges, the weakest first.
    pub fn weakest(&self) -> Vec<Cover> {
        let mut all: Vec<Cover> = self.blocks.values().map(|block| self.cover(block)).collect();
        let key = |c: &Cover| (c.sound, c.zones, (c.spare * 1e6).round() as i128, c.keys.first, c.block);
        all.sort_by_key(key);
        all
    }

    /// All shortages of every key, each with the key and the block.
    pub fn shortages(&self, requirements: &Requirements) -> Vec<(u64, Shortage, Option<Block>)> {
        let all = || self.before.iter().copied().chain(self.blocks.values().map(|block| block.keys));
        let (Some(first), Some(end)) = (all().map(|keys| keys.first).min(), all().map(|keys| keys.end).max())
        else {
            return Vec::new();
        };
        let zone_loads = self.zone_loads(requirements.headroom);
        let mut shortages = Vec::new();
        for key in first..end {
            let covering: Vec<&BlockAssignment> =
                self.blocks.values().filter(|block| block.keys.contains(key)).collect();
            if covering.is_empty() && (requirements.holders > 0 || requirements.zones > 0) {
                shortages.push((key, Shortage::Gap, None));
            }
            for (n, block) in covering.iter().enumerate() {
                let (sound, zones) = (self.sound(block).len() as u32, self.zones(block) as u32);
                let number = Some(block.block);
                for other in &covering[n + 1..] {
                    shortages.push((key, Shortage::Overlap { other: other.block }, number));
                }
                if sound < requirements.holders {
                    shortages.push((key, Shortage::Holders { sound, least: requirements.holders }, number));
                } else if zones < requirements.zones {
                    shortages.push((
                        key,
                        Shortage::Zones { sound: zones, least: requirements.zones },
                        number,
                    ));
                }
                let overloaded = zone_loads
                    .iter()
                    .filter(|(zone, (load, room))| load > room && self.serves_part_of(block, **zone));
                shortages.extend(overloaded.map(|(zone, (load, room))| {
                    let (load, room) = (*load as f64 / 1e6, *room as f64 / 1e6);
                    (key, Shortage::Capacity { zone: *zone, load, room }, number)
                }));
            }
        }
        shortages
    }

    /// Whether part of a block's load is served by a zone.
    fn serves_part_of(&self, block: &BlockAssignment, zone: Zone) -> bool {
        let (local, redirected) = self.distribution(block);
        let part = |from: &Site, amount: u128| (amount * (ONE - self.share(from.zone))) as i128;
        let local: u128 =
            local.iter().filter(|(site, _)| site.zone == zone).map(|(_, amount)| amount * ONE).sum();
        let outgoing = redirected
            .iter()
            .filter(|(from, ..)| from.zone == zone)
            .map(|(from, _, amount)| part(from, *amount));
        let incoming = redirected
            .iter()
            .filter(|(_, to, _)| to.zone == zone)
            .map(|(from, _, amount)| part(from, *amount));
        local as i128 - outgoing.sum::<i128>() + incoming.sum::<i128>() > 0
    }

    /// Ranges that are short: runs of keys with the same shortage, ordered by number of keys, first key, kind and block.
    pub fn ranges(&self, requirements: &Requirements) -> Vec<(KeyRange, Shortage, Option<Block>)> {
        let mut runs: Vec<(KeyRange, Shortage, Option<Block>)> = Vec::new();
        for (key, shortage, block) in self.shortages(requirements) {
            let same = |run: &&mut (KeyRange, Shortage, Option<Block>)| {
                run.0.end == key && (run.1, run.2) == (shortage, block)
            };
            match runs.iter_mut().find(same) {
                Some(run) => run.0.end += 1,
                None => runs.push((KeyRange::new(key, key + 1), shortage, block)),
            }
        }
        let kind = |shortage: &Shortage| match shortage {
            Shortage::Gap => (0, 0),
            Shortage::Overlap { other } => (1, other.0),
            Shortage::Holders { .. } => (2, 0),
            Shortage::Zones { .. } => (3, 0),
            Shortage::Capacity { zone, .. } => (4, u32::from(zone.0)),
        };
        runs.sort_by_key(|(keys, shortage, block)| {
            let (kind, last) = kind(shortage);
            (keys.end - keys.first, keys.first, kind, *block, last)
        });
        runs
    }

    /// Load and maximum load of each zone, in millionths.
    pub fn zone_loads(&self, headroom: f64) -> BTreeMap<Zone, (i128, i128)> {
        let loads = self.loads();
        let max_load = |zone: Zone| {
            let is_active = |site: &&Site| site.zone == zone && !self.excluded.contains(&site.store);
            let capacity: u128 = self.sites.values().filter(is_active).map(Self::capacity).sum();
            (capacity * (ONE - millionths(headroom)) / ONE) as i128
        };
        let zones: BTreeSet<Zone> = self.sites.values().map(|site| site.zone).collect();
        zones
            .into_iter()
            .map(|zone| (zone, (loads.get(&zone).copied().unwrap_or(0), max_load(zone))))
            .collect()
    }
}
