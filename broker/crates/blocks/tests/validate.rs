//! The validator against brute force: a hundred thousand maps a run, half of them broken in one known way; passages under every
//! mixture of versions; what real stores take in on the way; and documents with their lines. A failure prints its seed.
#![allow(clippy::unwrap_used)]

mod maps;

use fastrand::Rng;
use gingerledge_blocks::validate::*;
use gingerledge_blocks::{
    Admission, BlockId, Entry, Epoch, Holdings, Order, Span, StampedOrder, StoreId, Term,
};
use maps::{brute, change, Break, BREAKS, LISTED, UNKNOWN};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// A case is its seed: what it makes is printed by playing it again.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn check(tests: u64, seed: u64, property: fn(Seed) -> bool) {
    let gen = Gen::from_size_and_seed(100, seed);
    QuickCheck::new()
        .rng(gen)
        .tests(tests)
        .max_tests(tests)
        .min_tests_passed(tests)
        .quickcheck(property as fn(Seed) -> bool);
}

fn text(store: StoreId) -> String {
    store.to_string()
}

/// A map of a seed, broken in one way or sound.
fn case(rng: &mut Rng) -> (Draft, Option<(Break, BlockId)>) {
    let mut draft = maps::sound(rng);
    if rng.bool() {
        return (draft, None);
    }
    // Some breaks can't be made of some maps: then it is another.
    loop {
        let (what, before) = (BREAKS[rng.usize(..BREAKS.len())], draft.clone());
        if let Some(id) = maps::break_it(rng, &mut draft, what) {
            return (draft, Some((what, id)));
        }
        draft = before;
    }
}

fn shows(finding: &Finding, what: Break, id: BlockId) -> bool {
    let named = finding.blocks.contains(&id);
    match (&finding.fault, what) {
        // A gap names its neighbours, of which a block cut to nothing is none.
        (Fault::Gap, Break::Gap)
        | (Fault::Overlap { .. }, Break::Overlap)
        | (Fault::Empty, Break::Empty)
        | (Fault::Reversed, Break::Reversed)
        | (Fault::Outside { .. }, Break::Outside)
        | (Fault::UsedTwice, Break::UsedTwice)
        | (Fault::UsedAgain, Break::UsedAgain)
        | (Fault::HeldTwice { .. }, Break::HeldTwice)
        | (Fault::Holders { .. }, Break::FewerHolders)
        | (Fault::Capacity { .. }, Break::Capacity)
        | (Fault::Zones { .. }, Break::FewerZones) => named,
        (Fault::StoreTwice { .. }, Break::StoreTwice) => true,
        (Fault::Holder { why, copies, .. }, _) => {
            let expected = match what {
                Break::Unknown => (Unfit::Unknown, false),
                Break::Draining => (Unfit::Draining, false),
                Break::Gone => (Unfit::Gone, false),
                Break::CopierGone => (Unfit::Gone, true),
                _ => return false,
            };
            named && (*why, *copies) == expected
        }
        _ => false,
    }
}

#[test]
fn each_known_break_of_a_hundred_thousand_maps_is_found_and_no_sound_one_refused() {
    fn holds(seed: Seed) -> bool {
        let (draft, broken) = case(&mut Rng::with_seed(seed.0));
        let found = faults(&draft, &text);
        let shown = match broken {
            None => found.is_empty(),
            Some((what, id)) => found.iter().any(|finding| shows(finding, what, id)),
        };
        let said = brute::said(&found);
        if !shown || said != brute::faults(&draft) {
            eprintln!("{broken:?}\n{draft:#?}\n{found:#?}\n{:?}", brute::faults(&draft));
            return false;
        }
        true
    }
    check(100_000, 1, holds);
}

#[test]
fn a_document_says_what_its_map_says_and_each_fault_its_line() {
    fn holds(seed: Seed) -> bool {
        let (mut draft, _) = case(&mut Rng::with_seed(seed.0));
        let written = maps::write(&mut draft);
        let mut names = Names::default();
        // The names in the order of their numbers, so that both count alike.
        for n in 0..=UNKNOWN.0 {
            names.id(&format!("s-{n}"));
        }
        let read = Document::read(&written, &mut names, &Bounds::default()).unwrap().draft;
        let lines: Vec<&str> = written.lines().collect();
        let bare = |mut findings: Vec<Finding>| {
            findings.iter_mut().for_each(|finding| finding.lines.clear());
            findings
        };
        let found = faults(&read, &text);
        let placed = found.iter().all(|finding| {
            let at = |line: &u32| lines[*line as usize - 1];
            match &finding.fault {
                Fault::StoreTwice { .. } | Fault::Capacity { .. } => {
                    finding.lines.iter().all(|line| at(line).starts_with("name = "))
                }
                Fault::Holder { store, copies, .. } => {
                    let name = format!("\"s-{}\"", store.trim_start_matches("store "));
                    let key = if *copies { "copying" } else { "stores" };
                    finding.lines.len() == 1
                        && finding
                            .lines
                            .iter()
                            .all(|line| at(line).starts_with(key) && at(line).contains(&name))
                }
                Fault::HeldTwice { .. } => !finding.lines.is_empty(),
                // A gap between nothing has no neighbours.
                Fault::Gap => finding.lines.len() >= finding.blocks.len(),
                _ => {
                    let block =
                        |line: &u32| finding.blocks.iter().any(|id| at(line) == format!("block = {}", id.0));
                    !finding.lines.is_empty() && finding.lines.iter().all(block)
                }
            }
        });
        let same = bare(found) == bare(faults(&draft, &text));
        if !(placed && same) {
            eprintln!("{written}\n{:#?}", faults(&read, &text));
        }
        placed && same
    }
    check(4_000, 2, holds);
}

#[test]
fn passages_hold_under_every_mixture_or_are_refused_with_each_key() {
    fn holds(seed: Seed) -> bool {
        let mut rng = Rng::with_seed(seed.0);
        let mut old = maps::sound(&mut rng);
        let mut new = change::next(&mut rng, &mut old);
        let spoilt = rng.bool();
        if spoilt {
            change::spoil(&mut rng, &mut old, &mut new);
        }
        let proved = transition(&old, &new, &text);
        let expected = brute::passage(&old, &new);
        let good = brute::said_of(&proved) == expected && (spoilt || proved.findings.is_empty());
        if !good {
            eprintln!("{old:#?}\n{new:#?}\n{proved:#?}\n{expected:?}");
        }
        good
    }
    check(40_000, 3, holds);
}

/// A store acts on an order.
fn carry_out(store: &mut Holdings, epoch: u64, order: Order) {
    let ordered =
        StampedOrder { term: Term(1), serial: epoch, block: BlockId(1), epoch: Epoch(epoch), order };
    store.carry_out(&ordered).unwrap();
}

/// The rule against the real fence: whatever order the stores learn of the new version in, as far as the coordinator's steps
/// allow, those that take entries are never of both versions, and waits are where the passage says.
#[test]
fn stores_with_their_fences_take_entries_and_reads_as_the_passage_says() {
    for seed in 0..3_000 {
        let mut rng = Rng::with_seed(seed);
        let mut old = maps::sound(&mut rng);
        let (span, holders) = (old.keys, old.rows[0].holders.clone());
        old.rows.truncate(1);
        (old.rows[0].id, old.rows[0].span) = (BlockId(1), span);
        old.retired.clear();
        let mut new = old.clone();
        let minimum = Redundancy { holders: rng.u32(1..=3), zones: 1 };
        let after = maps::pick(&mut rng, minimum);
        old.rows[0].copying = after.iter().filter(|s| !holders.contains(s)).copied().collect();
        (new.rows[0].holders, new.rows[0].copying, new.rows[0].epoch) = (after.clone(), vec![], Epoch(11));
        let proved = transition(&old, &new, &text);
        assert_eq!(proved.findings, [], "seed {seed}");

        let (source, mut stores) = (holders[0], vec![Holdings::new(4); LISTED as usize]);
        let at = |store: StoreId| store.0 as usize;
        holders.iter().for_each(|s| carry_out(&mut stores[at(*s)], 10, Order::Create { span }));
        let mut lost: Vec<StoreId> = holders.iter().filter(|s| !after.contains(s)).copied().collect();
        let mut gained = old.rows[0].copying.clone();
        rng.shuffle(&mut lost);
        rng.shuffle(&mut gained);
        for store in &gained {
            carry_out(&mut stores[at(*store)], 11, Order::Prepare { span, from: source });
        }
        for store in &lost {
            carry_out(&mut stores[at(*store)], 11, Order::Fence { to: after[0] });
        }
        gained.iter().for_each(|store| carry_out(&mut stores[at(*store)], 11, Order::AllowReads));
        let mut waited = false;
        let mut look = |stores: &[Holdings], told: bool| {
            let lets = |key: Option<&str>, epoch| -> Vec<StoreId> {
                let runs = |s: &StoreId| {
                    matches!(stores[at(*s)].admission(BlockId(1), Epoch(epoch), key), Admission::Execute(_))
                };
                (0..LISTED).map(StoreId).filter(runs).collect()
            };
            let takes = [lets(Some("k"), 10), lets(Some("k"), 11)].concat();
            let all_of = |set: &[StoreId]| takes.iter().all(|store| set.contains(store));
            assert!(all_of(&holders) || all_of(&after), "seed {seed}: {takes:?}");
            waited |= takes.is_empty();
            // Who meets nobody of the old version is told of the new one.
            assert!(!lets(None, 11).is_empty(), "seed {seed}");
            assert!(told || lets(None, 10).iter().any(|store| holders.contains(store)), "seed {seed}");
        };
        look(&stores, false);
        for store in &lost {
            carry_out(&mut stores[at(*store)], 11, Order::Retire);
            look(&stores, true);
        }
        for store in &gained {
            carry_out(&mut stores[at(*store)], 11, Order::Open);
            let entry = Entry { key: format!("e{}", store.0), weigher: span.first, value: vec![] };
            stores[at(*store)].append(entry);
            look(&stores, true);
        }
        assert_eq!(waited, !proved.waits.is_empty(), "seed {seed}: {:?}", proved.waits);
    }
}

fn read(document: &str) -> Result<Vec<Finding>, DocumentError> {
    let mut names = Names::default();
    let read = Document::read(document, &mut names, &Bounds::default())?;
    Ok(faults(&read.draft, &|store| names.text(store)))
}

const HEAD: &str = "[goal]\nreplicas = 1\n[[store]]\nname = \"a\"\nzone = \"z\"\ncapacity = 9.0\n";

fn blocks(keys: [u64; 2], blocks: &[(u32, u64, u64)]) -> String {
    let block = |(id, first, end): &(u32, u64, u64)| {
        format!("[[block]]\nblock = {id}\nfirst = {first}\nend = {end}\nepoch = 1\nstores = [\"a\"]\n")
    };
    let blocks: String = blocks.iter().map(block).collect();
    format!("keys = [{}, {}]\n{HEAD}{blocks}", keys[0], keys[1])
}

#[test]
fn hard_ranges_are_told_apart() {
    const MOST: u64 = u64::MAX;
    let said = |keys, rows: &[(u32, u64, u64)]| -> Vec<String> {
        read(&blocks(keys, rows)).unwrap().iter().map(Finding::to_string).collect()
    };
    let starts = |said: &[String], expected: &[&str]| {
        assert_eq!(said.len(), expected.len(), "{said:#?}");
        for (said, expected) in said.iter().zip(expected) {
            assert!(said.contains(expected), "{said} should say {expected}");
        }
    };
    starts(&said([0, MOST], &[(1, 0, MOST)]), &[]);
    starts(&said([0, MOST], &[(1, 0, 1), (2, 1, MOST - 1), (3, MOST - 1, MOST)]), &[]);
    starts(
        &said([0, MOST], &[(1, 0, MOST - 1)]),
        &[&format!("line 9: keys {}..{MOST}: block 1: no block", MOST - 1)],
    );
    starts(&said([0, 3], &[(1, 1, 2)]), &["keys 0..1: block 1: no block", "keys 2..3: block 1: no block"]);
    starts(&said([0, 9], &[]), &["keys 0..9: no block"]);
    // Equal starts, equal ranges, one within another.
    starts(&said([0, 9], &[(1, 0, 9), (2, 0, 3)]), &["line 9, 15: keys 0..3: blocks 1, 2: these keys"]);
    starts(&said([0, 9], &[(1, 0, 9), (2, 0, 9)]), &["keys 0..9: blocks 1, 2"]);
    starts(&said([0, 9], &[(1, 0, 9), (2, 4, 5)]), &["keys 4..5: blocks 1, 2"]);
    starts(&said([0, 9], &[(1, 0, 9), (2, 4, 4)]), &["line 15: keys 4..4: block 2: has no keys"]);
    starts(&said([0, 9], &[(1, 9, 0)]), &["keys 9..0: block 1: ends before", "keys 0..9: no block"]);
    starts(&said([9, 0], &[(1, 0, 9)]), &["keys 9..0: ends before", "block 1: goes beyond"]);
}

#[test]
fn what_can_not_be_read_names_its_line_and_what_is_too_large_its_bound() {
    let whole = blocks([0, 9], &[(1, 0, 9)]);
    let line = |text: &str| match read(text) {
        Err(DocumentError::Format { line, what }) => (line, what),
        other => panic!("{other:?}"),
    };
    assert_eq!(line(&whole.replace("first = 0", "first = -1")).0, 10);
    assert_eq!(line(&whole.replace("epoch = 1", "epoch = ")).0, 12);
    assert_eq!(line(&whole.replace("first", "frist")).0, 10);
    assert!(line(&whole.replace("capacity = 9.0\n", "")).1.contains("capacity"));
    let bounds = Bounds { bytes: whole.len(), stores: 1, blocks: 0 };
    let large = |bounds| Document::read(&whole, &mut Names::default(), &bounds).unwrap_err();
    assert_eq!(large(bounds), DocumentError::Large { what: "blocks", found: 1, most: 0 });
    let bytes = Bounds { bytes: whole.len() - 1, ..bounds };
    assert_eq!(
        large(bytes),
        DocumentError::Large { what: "bytes", found: whole.len(), most: whole.len() - 1 }
    );
    let odd = whole.replace("9.0", "nan");
    assert!(read(&odd).unwrap().iter().any(|f| matches!(f.fault, Fault::Figure { what: "capacity", .. })));
}

#[test]
fn garbage_never_panics() {
    let whole = blocks([0, 9], &[(1, 0, 9)]);
    let mut rng = Rng::with_seed(7);
    for _ in 0..2_000 {
        let mut bytes = whole.clone().into_bytes();
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let _ = read(&String::from_utf8_lossy(&bytes));
    }
    let spans = [Span::new(0, u64::MAX), Span::new(u64::MAX, 0), Span::new(u64::MAX, u64::MAX)];
    assert!(spans[1..].iter().all(|span| span.is_empty()));
}
