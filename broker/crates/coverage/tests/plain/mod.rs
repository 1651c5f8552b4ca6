//! Cover by looking at every key and every block anew: the plain reference that the table is held against. It shares no code
//! with it but the types.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_coverage::*;

const ONE: u128 = 1_000_000;

/// All facts, and nothing else.
#[derive(Clone, Default)]
pub struct Plain {
    pub sites: BTreeMap<Store, Site>,
    pub held: BTreeMap<Block, Held>,
    pub shares: BTreeMap<Zone, f64>,
    pub away: BTreeSet<Store>,
    /// Ranges that were held before a proposal: what lies between all of them must be held.
    before: Vec<Keys>,
}

/// What falls on each sound holder, and from which on which it would be led.
type Falls = (Vec<(Site, u128)>, Vec<(Site, Site, u128)>);

fn millionths(units: f64) -> u128 {
    (units * 1e6).round() as u128
}

fn parts(amount: u128, weights: &[u128]) -> Vec<u128> {
    let all: Vec<u128> =
        if weights.iter().all(|w| *w == 0) { vec![1; weights.len()] } else { weights.to_vec() };
    let total: u128 = all.iter().sum();
    let upto = |n: usize| amount * all[..n].iter().sum::<u128>() / total;
    (0..all.len()).map(|n| upto(n + 1) - upto(n)).collect()
}

impl Plain {
    pub fn after(&self, proposal: &Proposal) -> Plain {
        let mut after = self.clone();
        after.before = self.held.values().map(|held| held.keys).collect();
        after.away = proposal.away.clone();
        after.shares.extend(&proposal.shares);
        after.held.retain(|block, _| !proposal.gone.contains(block));
        after.held.extend(proposal.held.iter().map(|held| (held.block, held.clone())));
        after.held.retain(|_, held| held.keys.first < held.keys.end);
        after
    }

    pub fn sound(&self, held: &Held) -> Vec<Site> {
        let holders: BTreeSet<Store> = held.holders.iter().copied().collect();
        let here = holders.iter().filter(|store| !self.away.contains(store));
        let sites = here.filter_map(|store| self.sites.get(store).copied());
        sites.filter(|site| matches!(site.state, State::Listed | State::Cold { .. })).collect()
    }

    pub fn zones(&self, held: &Held) -> usize {
        self.sound(held).iter().map(|site| site.zone).collect::<BTreeSet<_>>().len()
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

    /// Of a block: what is near each sound holder, and what would go from one to another were its zone led away whole.
    fn falls(&self, held: &Held) -> Falls {
        let sound = self.sound(held);
        let near = parts(millionths(held.load), &sound.iter().map(Self::capacity).collect::<Vec<_>>());
        let near: Vec<(Site, u128)> = sound.iter().copied().zip(near).collect();
        let mut led = Vec::new();
        for (from, amount) in &near {
            let mut to: Vec<Site> = sound.iter().copied().filter(|site| site.zone != from.zone).collect();
            if to.iter().any(|site| site.region == from.region) {
                to.retain(|site| site.region == from.region);
            }
            let amounts = parts(*amount, &to.iter().map(Self::capacity).collect::<Vec<_>>());
            led.extend(to.iter().zip(amounts).map(|(site, amount)| (*from, *site, amount)));
        }
        (near, led)
    }

    /// What falls on each zone: sums by pairs of zones, and of each sum its share's part.
    fn loads(&self) -> BTreeMap<Zone, i128> {
        let (mut loads, mut pairs) = (BTreeMap::new(), BTreeMap::new());
        for (near, led) in self.held.values().map(|held| self.falls(held)) {
            for (site, amount) in near {
                *loads.entry(site.zone).or_default() += amount as i128;
            }
            for (from, to, amount) in led {
                *pairs.entry((from.zone, to.zone)).or_default() += amount;
            }
        }
        for ((from, to), amount) in pairs {
            *loads.entry(from).or_default() -= self.led(from, amount);
            *loads.entry(to).or_default() += self.led(from, amount);
        }
        loads
    }

    fn led(&self, from: Zone, amount: u128) -> i128 {
        (amount * (ONE - self.share(from)) / ONE) as i128
    }

    /// What a store can do above what falls on it.
    fn spare(&self, site: &Site) -> i128 {
        let (mut sum, mut out, mut into) = (0, 0, BTreeMap::<Zone, u128>::new());
        for (near, led) in self.held.values().map(|held| self.falls(held)) {
            sum +=
                near.iter().filter(|(on, _)| on.store == site.store).map(|(_, n)| *n as i128).sum::<i128>();
            for (from, to, amount) in led {
                out += if from.store == site.store { amount } else { 0 };
                *into.entry(from.zone).or_default() += if to.store == site.store { amount } else { 0 };
            }
        }
        let into: i128 = into.into_iter().map(|(from, amount)| self.led(from, amount)).sum();
        (Self::capacity(site) as i128 - sum + self.led(site.zone, out) - into).max(0)
    }

    pub fn cover(&self, held: &Held) -> Cover {
        let sound = self.sound(held);
        Cover {
            keys: held.keys,
            block: held.block,
            sound: sound.len() as u32,
            zones: self.zones(held) as u32,
            regions: sound.iter().map(|site| site.region).collect::<BTreeSet<_>>().len() as u32,
            spare: sound.iter().map(|site| self.spare(site)).sum::<i128>() as f64 / 1e6,
        }
    }

    /// All ranges, the weakest first.
    pub fn weakest(&self) -> Vec<Cover> {
        let mut all: Vec<Cover> = self.held.values().map(|held| self.cover(held)).collect();
        let key = |c: &Cover| (c.sound, c.zones, (c.spare * 1e6).round() as i128, c.keys.first, c.block);
        all.sort_by_key(key);
        all
    }

    /// Everything short, of every key: which key, of what, in which block.
    pub fn short(&self, least: &Least) -> Vec<(u64, Short, Option<Block>)> {
        let all = || self.before.iter().copied().chain(self.held.values().map(|held| held.keys));
        let (Some(first), Some(end)) = (all().map(|keys| keys.first).min(), all().map(|keys| keys.end).max())
        else {
            return Vec::new();
        };
        let rooms = self.rooms(least.headroom);
        let mut short = Vec::new();
        for key in first..end {
            let here: Vec<&Held> = self.held.values().filter(|held| held.keys.holds(key)).collect();
            if here.is_empty() && (least.holders > 0 || least.zones > 0) {
                short.push((key, Short::Gap, None));
            }
            for (n, held) in here.iter().enumerate() {
                let (sound, zones) = (self.sound(held).len() as u32, self.zones(held) as u32);
                let block = Some(held.block);
                for other in &here[n + 1..] {
                    short.push((key, Short::Overlap { other: other.block }, block));
                }
                if sound < least.holders {
                    short.push((key, Short::Holders { sound, least: least.holders }, block));
                } else if zones < least.zones {
                    short.push((key, Short::Zones { sound: zones, least: least.zones }, block));
                }
                let over =
                    rooms.iter().filter(|(zone, (load, room))| load > room && self.falls_on(held, **zone));
                short.extend(over.map(|(zone, (load, room))| {
                    let (load, room) = (*load as f64 / 1e6, *room as f64 / 1e6);
                    (key, Short::Capacity { zone: *zone, load, room }, block)
                }));
            }
        }
        short
    }

    /// Whether some of a block's load falls on a zone.
    fn falls_on(&self, held: &Held, zone: Zone) -> bool {
        let (near, led) = self.falls(held);
        let part = |from: &Site, amount: u128| (amount * (ONE - self.share(from.zone))) as i128;
        let near: u128 =
            near.iter().filter(|(site, _)| site.zone == zone).map(|(_, amount)| amount * ONE).sum();
        let out =
            led.iter().filter(|(from, ..)| from.zone == zone).map(|(from, _, amount)| part(from, *amount));
        let into =
            led.iter().filter(|(_, to, _)| to.zone == zone).map(|(from, _, amount)| part(from, *amount));
        near as i128 - out.sum::<i128>() + into.sum::<i128>() > 0
    }

    /// The ranges that are short, as runs of keys short of the same, the smallest first: by count, first, kind, block.
    pub fn ranges(&self, least: &Least) -> Vec<(Keys, Short, Option<Block>)> {
        let mut runs: Vec<(Keys, Short, Option<Block>)> = Vec::new();
        for (key, short, block) in self.short(least) {
            let same = |run: &&mut (Keys, Short, Option<Block>)| {
                run.0.end == key && (run.1, run.2) == (short, block)
            };
            match runs.iter_mut().find(same) {
                Some(run) => run.0.end += 1,
                None => runs.push((Keys::new(key, key + 1), short, block)),
            }
        }
        let kind = |short: &Short| match short {
            Short::Gap => (0, 0),
            Short::Overlap { other } => (1, other.0),
            Short::Holders { .. } => (2, 0),
            Short::Zones { .. } => (3, 0),
            Short::Capacity { zone, .. } => (4, u32::from(zone.0)),
        };
        runs.sort_by_key(|(keys, short, block)| {
            let (kind, last) = kind(short);
            (keys.end - keys.first, keys.first, kind, *block, last)
        });
        runs
    }

    /// Load and room of each zone, in millionths.
    pub fn rooms(&self, headroom: f64) -> BTreeMap<Zone, (i128, i128)> {
        let loads = self.loads();
        let room = |zone: Zone| {
            let here = |site: &&Site| site.zone == zone && !self.away.contains(&site.store);
            let capacity: u128 = self.sites.values().filter(here).map(Self::capacity).sum();
            (capacity * (ONE - millionths(headroom)) / ONE) as i128
        };
        let zones: BTreeSet<Zone> = self.sites.values().map(|site| site.zone).collect();
        zones.into_iter().map(|zone| (zone, (loads.get(&zone).copied().unwrap_or(0), room(zone)))).collect()
    }
}
