//! Facts of small fleets, and what the record promises held against them by brute force.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_common::*;

pub fn site(store: &str, zone: &str, region: &str, capacity_milli: u64, state: StateFact) -> SiteFact {
    SiteFact { store: store.into(), zone: zone.into(), region: region.into(), capacity_milli, state }
}

pub fn held(block: u32, first: u64, end: u64, holders: &[&str], load_milli: u64) -> HeldFact {
    HeldFact { block, first, end, holders: holders.iter().map(|h| (*h).into()).collect(), load_milli }
}

pub fn least(holders: u32, zones: u32) -> LeastFact {
    LeastFact { holders, zones, headroom_permille: 0 }
}

pub fn plan(stores: &[&str], from: u64, length: u64, least: LeastFact) -> Plan {
    let stores = stores.iter().map(|s| (*s).into()).collect();
    Plan { stores, from_unix_ms: from, length_ms: length, least, by: "test".into() }
}

/// Three zones, `a` and `b` in one region, a store in each, two blocks: the first at a and b, the second at b and c.
pub fn three() -> Record {
    let mut record = Record::default();
    let sites = [("a", "A", "near"), ("b", "B", "near"), ("c", "C", "far")];
    let sites = sites.map(|(s, z, r)| site(s, z, r, 10_000, StateFact::Listed)).to_vec();
    taken(record.apply(1, &Command::Sites { sites }));
    let held = vec![held(0, 0, 10, &["a", "b"], 2000), held(1, 10, 20, &["b", "c"], 2000)];
    let map = Command::Map { at: record.version(), from: 0, to: 1, hash: 7, held, gone: vec![] };
    taken(record.apply(2, &map));
    record
}

pub fn taken(answer: Answer) -> Vec<Note> {
    match answer {
        Answer::Taken { notes, .. } => notes,
        other => panic!("expected to be taken: {other:?}"),
    }
}

pub fn refused(answer: Answer) -> Refusal {
    match answer {
        Answer::Refused { why, .. } => why,
        other => panic!("expected a refusal: {other:?}"),
    }
}

/// Sound holders by block, and the zones that they are in; by facts alone, or less what windows in force take away.
pub fn sound(record: &Record, windows: bool) -> BTreeMap<u32, (u32, u32)> {
    let zone_of = |name: &String| {
        let (fact, window) = record.site(name)?;
        let stands = matches!(fact.state, StateFact::Listed | StateFact::Cold(_));
        (stands && !(windows && window.is_some())).then(|| fact.zone.clone())
    };
    let of = |held: &HeldFact| {
        let zones: Vec<String> = held.holders.iter().filter_map(zone_of).collect();
        (zones.len() as u32, zones.iter().collect::<BTreeSet<_>>().len() as u32)
    };
    record.blocks().map(|held| (held.block, of(held))).collect()
}

/// What has to remain of every range now.
pub fn needed(record: &Record) -> LeastFact {
    let begun = record.bookings().filter(|(_, _, begun)| *begun);
    begun.fold(record.least(), |least, (_, plan, _)| least.stricter(plan.least))
}

/// Load and room of each zone, by the share rule: of what falls on a zone, what its share does not keep goes to the block's sound
/// holders in other zones, those of its region first; where there are none it stays.
pub fn loads(record: &Record, shares: &BTreeMap<String, u16>) -> BTreeMap<String, (f64, f64)> {
    let mut zones: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    let strength = |fact: &SiteFact| match fact.state {
        StateFact::Listed => fact.capacity_milli as f64,
        StateFact::Cold(permille) => fact.capacity_milli as f64 * f64::from(permille.min(1000)) / 1000.0,
        _ => 0.0,
    };
    for fact in record.sites() {
        let out = record.site(&fact.store).is_some_and(|(_, window)| window.is_some());
        zones.entry(fact.zone.clone()).or_default().1 += if out { 0.0 } else { strength(fact) };
    }
    for held in record.blocks() {
        let holders: Vec<(&SiteFact, f64)> = held
            .holders
            .iter()
            .filter_map(|name| record.site(name))
            .filter(|(_, window)| window.is_none())
            .map(|(fact, _)| (fact, strength(fact)))
            .filter(|(fact, _)| matches!(fact.state, StateFact::Listed | StateFact::Cold(_)))
            .collect();
        let all: f64 = holders.iter().map(|(_, s)| s).sum();
        if all <= 0.0 {
            continue;
        }
        for (fact, strength) in &holders {
            let falls = held.load_milli as f64 * strength / all;
            let share = f64::from(shares.get(&fact.zone).copied().unwrap_or(WHOLE)) / 1000.0;
            let others: Vec<_> = holders.iter().filter(|(o, _)| o.zone != fact.zone).collect();
            let near: Vec<_> = others.iter().filter(|(o, _)| o.region == fact.region).copied().collect();
            let onto = if near.is_empty() { others } else { near };
            let room: f64 = onto.iter().map(|(_, s)| s).sum();
            let keeps = if room > 0.0 { share } else { 1.0 };
            zones.entry(fact.zone.clone()).or_default().0 += falls * keeps;
            for (other, s) in onto.iter().filter(|_| room > 0.0) {
                zones.entry(other.zone.clone()).or_default().0 += falls * (1.0 - keeps) * s / room;
            }
        }
    }
    zones
}
