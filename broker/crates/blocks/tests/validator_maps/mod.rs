//! Maps for the tests of the validator: valid ones from a seed, optionally with one known fault, and as
//! documents.

#![allow(dead_code)]

pub mod brute;
pub mod change;

use fastrand::Rng;
use gingerledge_blocks::validate::{Draft, Redundancy, Row, Site, Standing};
use gingerledge_blocks::{BlockId, Epoch, Span, StoreId};

/// A fault that can be introduced into a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownFault {
    Gap,
    Overlap,
    Empty,
    Reversed,
    Outside,
    UsedTwice,
    UsedAgain,
    Unknown,
    Draining,
    Gone,
    CopierGone,
    HeldTwice,
    FewerHolders,
    FewerZones,
    Capacity,
    StoreTwice,
}

pub const KNOWN_FAULTS: [KnownFault; 16] = [
    KnownFault::Gap,
    KnownFault::Overlap,
    KnownFault::Empty,
    KnownFault::Reversed,
    KnownFault::Outside,
    KnownFault::UsedTwice,
    KnownFault::UsedAgain,
    KnownFault::Unknown,
    KnownFault::Draining,
    KnownFault::Gone,
    KnownFault::CopierGone,
    KnownFault::HeldTwice,
    KnownFault::FewerHolders,
    KnownFault::FewerZones,
    KnownFault::Capacity,
    KnownFault::StoreTwice,
];

/// Number of stores in service. The numbers after them are a draining store, a store that no longer exists, and
/// an unknown store.
pub const LISTED: u32 = 6;
pub const DRAINING: StoreId = StoreId(LISTED);
pub const GONE: StoreId = StoreId(LISTED + 1);
pub const UNKNOWN: StoreId = StoreId(LISTED + 2);

fn row(id: u32, span: Span, holders: Vec<StoreId>) -> Row {
    Row {
        id: BlockId(id),
        span,
        epoch: Epoch(10),
        holders,
        copying: Vec::new(),
        load: 1.0,
        line: 0,
        lines: vec![],
    }
}

/// Chooses listed stores, first from the required number of zones, then any others.
pub fn choose_holders(rng: &mut Rng, minimum: Redundancy) -> Vec<StoreId> {
    let mut all: Vec<u32> = (0..LISTED).collect();
    rng.shuffle(&mut all);
    let mut picked: Vec<u32> = Vec::new();
    for store in &all {
        if (picked.len() as u32) < minimum.zones && picked.iter().all(|other| other % 3 != store % 3) {
            picked.push(*store);
        }
    }
    for store in all {
        if (picked.len() as u32) < minimum.holders && !picked.contains(&store) {
            picked.push(store);
        }
    }
    picked.into_iter().map(StoreId).collect()
}

/// Creates a valid map of one to seven blocks over at most 24 keys, in some cases at the very beginning or end
/// of the number range.
pub fn valid_map(rng: &mut Rng) -> Draft {
    let many = rng.u64(1..=24);
    let first = [0, 1000, u64::MAX - many][rng.usize(..3)];
    let keys = Span::new(first, first + many);
    let holders = rng.u32(1..=3);
    let minimum = Redundancy { holders, zones: rng.u32(1..=holders) };
    let mut cuts: Vec<u64> = (0..rng.usize(..7)).map(|_| first + rng.u64(..many)).collect();
    cuts.extend([keys.first, keys.end]);
    cuts.sort_unstable();
    cuts.dedup();
    let spans = cuts.windows(2).map(|pair| Span::new(pair[0], pair[1]));
    let mut rows: Vec<Row> =
        spans.zip(20..).map(|(span, id)| row(id, span, choose_holders(rng, minimum))).collect();
    for row in &mut rows {
        if rng.u32(..3) == 0 {
            let free = (0..LISTED).map(StoreId).find(|store| !row.holders.contains(store));
            row.copying.extend(free);
        }
    }
    // The holders of a block carry equal shares, so a capacity equal to the load of the most loaded store is
    // enough.
    let carried = |store| {
        let held = rows.iter().filter(|row: &&Row| row.holders.contains(&store));
        held.map(|row| 1.0 / row.holders.len() as f64).sum::<f64>()
    };
    let capacity = (0..LISTED).map(|n| carried(StoreId(n))).fold(0.5, f64::max);
    let site = |n: u32| Site {
        store: StoreId(n),
        zone: (n % 3) as u16,
        region: 0,
        capacity,
        standing: match n {
            _ if StoreId(n) == DRAINING => Standing::Draining,
            _ if StoreId(n) == GONE => Standing::Gone,
            n if n % 2 == 0 => Standing::Listed,
            _ => Standing::Cold,
        },
        line: 0,
    };
    rng.shuffle(&mut rows);
    let retired = (1..4).map(BlockId).collect();
    Draft { keys, minimum, sites: (0..UNKNOWN.0).map(site).collect(), rows, retired }
}

/// Introduces a fault into a valid map. Returns the block that the finding must name, or `None` if the fault
/// cannot be introduced into this map.
pub fn introduce_fault(rng: &mut Rng, draft: &mut Draft, what: KnownFault) -> Option<BlockId> {
    let (keys, minimum) = (draft.keys, draft.minimum);
    let n = rng.usize(..draft.rows.len());
    let other = rng.usize(..draft.rows.len());
    let twin = draft.rows[other].id;
    let row = &mut draft.rows[n];
    let width = row.span.end - row.span.first;
    let swap = |row: &mut Row, to: StoreId| row.holders[0] = to;
    match what {
        // The range is off by one at either end.
        KnownFault::Gap if width > 1 && rng.bool() => row.span.first += 1,
        KnownFault::Gap if width > 1 => row.span.end -= 1,
        KnownFault::Overlap if rng.bool() && row.span.first > keys.first => row.span.first -= 1,
        KnownFault::Overlap if row.span.end < keys.end => row.span.end += 1,
        KnownFault::Empty => row.span.end = row.span.first,
        KnownFault::Reversed => row.span = Span::new(row.span.end, row.span.first),
        KnownFault::Outside if rng.bool() && row.span.first == keys.first && keys.first > 0 => {
            row.span.first -= 1
        }
        KnownFault::Outside if row.span.end == keys.end && keys.end < u64::MAX => row.span.end += 1,
        KnownFault::UsedTwice if twin != row.id => row.id = twin,
        KnownFault::UsedAgain => row.id = draft.retired[rng.usize(..draft.retired.len())],
        KnownFault::Unknown => swap(row, UNKNOWN),
        KnownFault::Draining => swap(row, DRAINING),
        KnownFault::Gone => swap(row, GONE),
        KnownFault::CopierGone => row.copying = vec![GONE],
        KnownFault::HeldTwice => row.holders.push(row.holders[rng.usize(..row.holders.len())]),
        KnownFault::FewerHolders => drop(row.holders.pop()),
        KnownFault::FewerZones if minimum.zones > 1 => {
            // The block has as many holders as before, all in the zone of the first one.
            let zone = row.holders[0].0 % 3;
            row.holders =
                (0..LISTED).filter(|n| n % 3 == zone).take(row.holders.len()).map(StoreId).collect();
            row.copying.clear();
        }
        KnownFault::Capacity => {
            let held = |store: StoreId| draft.rows.iter().any(|row| row.holders.contains(&store));
            let store = (0..LISTED).map(StoreId).find(|store| held(*store))?;
            let site = draft.sites.iter_mut().find(|site| site.store == store)?;
            site.capacity = 0.0;
            // Since the load is redistributed, a store exceeds its capacity for certain only if it is the only
            // holder.
            let alone = draft.rows.iter().find(|row| row.holders == [store])?;
            return Some(alone.id);
        }
        KnownFault::StoreTwice => {
            let again = draft.sites[rng.usize(..draft.sites.len())].clone();
            draft.sites.push(again);
            return Some(row.id);
        }
        _ => return None,
    }
    Some(draft.rows[n].id)
}

/// Writes the map as an operator would, and stores the line numbers in the draft.
pub fn write_document(draft: &mut Draft) -> String {
    let name = |store: &StoreId| format!("\"s-{}\"", store.0);
    let list = |stores: &[StoreId]| stores.iter().map(name).collect::<Vec<_>>().join(", ");
    let retired: Vec<String> = draft.retired.iter().map(|id| id.0.to_string()).collect();
    let mut text = format!(
        "keys = [{}, {}]\nretired = [{}]\ngoal = {{ replicas = {}, zones = {} }}\n",
        draft.keys.first,
        draft.keys.end,
        retired.join(", "),
        draft.minimum.holders,
        draft.minimum.zones
    );
    let line = |text: &str| text.lines().count() as u32 + 1;
    for site in &mut draft.sites {
        let state = format!("{:?}", site.standing).to_lowercase();
        text += "\n[[store]]\n";
        site.line = line(&text);
        text += &format!(
            "name = {}\nzone = \"z{}\"\ncapacity = {:?}\nstate = \"{state}\"\n",
            name(&site.store),
            site.zone,
            site.capacity
        );
    }
    for row in &mut draft.rows {
        text += "\n[[block]]\n";
        row.line = line(&text);
        text += &format!(
            "block = {}\nfirst = {}\nend = {}\nepoch = {}\nload = {:?}\nstores = [{}]\ncopying = [{}]\n",
            row.id.0,
            row.span.first,
            row.span.end,
            row.epoch.0,
            row.load,
            list(&row.holders),
            list(&row.copying)
        );
    }
    text
}
