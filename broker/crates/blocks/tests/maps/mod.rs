//! Maps for the validator's tests: sound ones from a seed, each with one known break on request, and as documents.

#![allow(dead_code)]

pub mod brute;
pub mod change;

use fastrand::Rng;
use gingerledge_blocks::validate::{Draft, Redundancy, Row, Site, Standing};
use gingerledge_blocks::{BlockId, Epoch, Span, StoreId};

/// One thing done wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
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

pub const BREAKS: [Break; 16] = [
    Break::Gap,
    Break::Overlap,
    Break::Empty,
    Break::Reversed,
    Break::Outside,
    Break::UsedTwice,
    Break::UsedAgain,
    Break::Unknown,
    Break::Draining,
    Break::Gone,
    Break::CopierGone,
    Break::HeldTwice,
    Break::FewerHolders,
    Break::FewerZones,
    Break::Capacity,
    Break::StoreTwice,
];

/// Stores that serve, and behind them one that drains, one that is gone; nobody has named the next number.
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

/// Listed stores in so many zones first, then any others.
pub fn pick(rng: &mut Rng, minimum: Redundancy) -> Vec<StoreId> {
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

/// A sound map of one to seven blocks over at most 24 keys, some of them at the very beginning or end of all numbers.
pub fn sound(rng: &mut Rng) -> Draft {
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
    let mut rows: Vec<Row> = spans.zip(20..).map(|(span, id)| row(id, span, pick(rng, minimum))).collect();
    for row in &mut rows {
        if rng.u32(..3) == 0 {
            let free = (0..LISTED).map(StoreId).find(|store| !row.holders.contains(store));
            row.copying.extend(free);
        }
    }
    // Each of a block's holders carries the same share: just as much as the fullest store has is enough.
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

/// Breaks a sound map; `None` where this break can't be made of it. Gives the block that is to be named.
pub fn break_it(rng: &mut Rng, draft: &mut Draft, what: Break) -> Option<BlockId> {
    let (keys, minimum) = (draft.keys, draft.minimum);
    let n = rng.usize(..draft.rows.len());
    let other = rng.usize(..draft.rows.len());
    let twin = draft.rows[other].id;
    let row = &mut draft.rows[n];
    let width = row.span.end - row.span.first;
    let swap = |row: &mut Row, to: StoreId| row.holders[0] = to;
    match what {
        // Off by one at either end.
        Break::Gap if width > 1 && rng.bool() => row.span.first += 1,
        Break::Gap if width > 1 => row.span.end -= 1,
        Break::Overlap if rng.bool() && row.span.first > keys.first => row.span.first -= 1,
        Break::Overlap if row.span.end < keys.end => row.span.end += 1,
        Break::Empty => row.span.end = row.span.first,
        Break::Reversed => row.span = Span::new(row.span.end, row.span.first),
        Break::Outside if rng.bool() && row.span.first == keys.first && keys.first > 0 => row.span.first -= 1,
        Break::Outside if row.span.end == keys.end && keys.end < u64::MAX => row.span.end += 1,
        Break::UsedTwice if twin != row.id => row.id = twin,
        Break::UsedAgain => row.id = draft.retired[rng.usize(..draft.retired.len())],
        Break::Unknown => swap(row, UNKNOWN),
        Break::Draining => swap(row, DRAINING),
        Break::Gone => swap(row, GONE),
        Break::CopierGone => row.copying = vec![GONE],
        Break::HeldTwice => row.holders.push(row.holders[rng.usize(..row.holders.len())]),
        Break::FewerHolders => drop(row.holders.pop()),
        Break::FewerZones if minimum.zones > 1 => {
            // As many holders as before, all in the first one's zone.
            let zone = row.holders[0].0 % 3;
            row.holders =
                (0..LISTED).filter(|n| n % 3 == zone).take(row.holders.len()).map(StoreId).collect();
            row.copying.clear();
        }
        Break::Capacity => {
            let held = |store: StoreId| draft.rows.iter().any(|row| row.holders.contains(&store));
            let store = (0..LISTED).map(StoreId).find(|store| held(*store))?;
            let site = draft.sites.iter_mut().find(|site| site.store == store)?;
            site.capacity = 0.0;
            // With its share gone to others, one of them or it itself has too much only if it is alone.
            let alone = draft.rows.iter().find(|row| row.holders == [store])?;
            return Some(alone.id);
        }
        Break::StoreTwice => {
            let again = draft.sites[rng.usize(..draft.sites.len())].clone();
            draft.sites.push(again);
            return Some(row.id);
        }
        _ => return None,
    }
    Some(draft.rows[n].id)
}

/// The map as an operator would write it; lines of the rows are noted in the map.
pub fn write(draft: &mut Draft) -> String {
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
