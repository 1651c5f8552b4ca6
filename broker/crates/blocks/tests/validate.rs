//! Compares the validator with a brute-force one: 100,000 maps, half of them with one known fault; transitions
//! under every mixture of versions; the behaviour of real stores during a transition; and documents with their
//! lines. A failure prints its seed.
#![allow(clippy::unwrap_used)]

mod validator_maps;

use fastrand::Rng;
use gingerledge_blocks::validate::*;
use gingerledge_blocks::{
    Admission, BlockId, Entry, Epoch, Holdings, Order, Span, StampedOrder, StoreId, Term,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use validator_maps::{brute, change, KnownFault, KNOWN_FAULTS, LISTED, UNKNOWN};

/// A test case is its seed, so that a failing case can be reproduced from it.
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

/// Returns a map from a seed, valid or with one fault.
fn case(rng: &mut Rng) -> (Draft, Option<(KnownFault, BlockId)>) {
    let mut draft = validator_maps::valid_map(rng);
    if rng.bool() {
        return (draft, None);
    }
    // Some faults cannot be introduced into some maps; then another one is chosen.
    loop {
        let (what, before) = (KNOWN_FAULTS[rng.usize(..KNOWN_FAULTS.len())], draft.clone());
        if let Some(id) = validator_maps::introduce_fault(rng, &mut draft, what) {
            return (draft, Some((what, id)));
        }
        draft = before;
    }
}

fn matches_fault(finding: &Finding, what: KnownFault, id: BlockId) -> bool {
    let named = finding.blocks.contains(&id);
    match (&finding.fault, what) {
        // A gap names the adjacent blocks, which do not include a block reduced to nothing.
        (Fault::Gap, KnownFault::Gap)
        | (Fault::Overlap { .. }, KnownFault::Overlap)
        | (Fault::Empty, KnownFault::Empty)
        | (Fault::Reversed, KnownFault::Reversed)
        | (Fault::Outside { .. }, KnownFault::Outside)
        | (Fault::UsedTwice, KnownFault::UsedTwice)
        | (Fault::UsedAgain, KnownFault::UsedAgain)
        | (Fault::HeldTwice { .. }, KnownFault::HeldTwice)
        | (Fault::Holders { .. }, KnownFault::FewerHolders)
        | (Fault::Capacity { .. }, KnownFault::Capacity)
        | (Fault::Zones { .. }, KnownFault::FewerZones) => named,
        (Fault::StoreTwice { .. }, KnownFault::StoreTwice) => true,
        (Fault::Holder { why, copies, .. }, _) => {
            let expected = match what {
                KnownFault::Unknown => (Unfit::Unknown, false),
                KnownFault::Draining => (Unfit::Draining, false),
                KnownFault::Gone => (Unfit::Gone, false),
                KnownFault::CopierGone => (Unfit::Gone, true),
                _ => return false,
            };
            named && (*why, *copies) == expected
        }
        _ => false,
    }
}

#[test]
fn known_faults_are_found_in_100_000_maps_and_no_valid_map_is_rejected() {
    fn holds(seed: Seed) -> bool {
        let (draft, broken) = case(&mut Rng::with_seed(seed.0));
        let found = faults(&draft, &text);
        let shown = match broken {
            None => found.is_empty(),
            Some((what, id)) => found.iter().any(|finding| matches_fault(finding, what, id)),
        };
        let actual = brute::fault_set(&found);
        if !shown || actual != brute::faults(&draft) {
            eprintln!("{broken:?}\n{draft:#?}\n{found:#?}\n{:?}", brute::faults(&draft));
            return false;
        }
        true
    }
    check(100_000, 1, holds);
}

#[test]
fn a_document_gives_the_findings_of_its_map_with_their_lines() {
    fn holds(seed: Seed) -> bool {
        let (mut draft, _) = case(&mut Rng::with_seed(seed.0));
        let written = validator_maps::write_document(&mut draft);
        let mut names = Names::default();
        // Registers the names in the order of their numbers, so that both maps use the same numbers.
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
                // A gap without adjacent blocks names none.
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
fn transitions_are_valid_under_every_mixture_or_rejected_for_each_key() {
    fn holds(seed: Seed) -> bool {
        let mut rng = Rng::with_seed(seed.0);
        let mut old = validator_maps::valid_map(&mut rng);
        let mut new = change::next_version(&mut rng, &mut old);
        let is_invalid = rng.bool();
        if is_invalid {
            change::invalidate(&mut rng, &mut old, &mut new);
        }
        let result = transition(&old, &new, &text);
        let expected = brute::transition_faults(&old, &new);
        let good =
            brute::transition_fault_set(&result) == expected && (is_invalid || result.findings.is_empty());
        if !good {
            eprintln!("{old:#?}\n{new:#?}\n{result:#?}\n{expected:?}");
        }
        good
    }
    check(40_000, 3, holds);
}

/// Carries out an order at a store.
fn carry_out(store: &mut Holdings, epoch: u64, order: Order) {
    let stamped =
        StampedOrder { term: Term(1), serial: epoch, block: BlockId(1), epoch: Epoch(epoch), order };
    store.carry_out(&stamped).unwrap();
}

/// Checks the transition rule against the real fence: in whatever order the stores learn of the new version,
/// within the steps of the coordinator, the stores that accept entries never belong to both versions, and
/// entries wait only where the transition reports it.
#[test]
fn real_fences_accept_entries_and_reads_as_the_transition_predicts() {
    for seed in 0..3_000 {
        let mut rng = Rng::with_seed(seed);
        let mut old = validator_maps::valid_map(&mut rng);
        let (span, holders) = (old.keys, old.rows[0].holders.clone());
        old.rows.truncate(1);
        (old.rows[0].id, old.rows[0].span) = (BlockId(1), span);
        old.retired.clear();
        let mut new = old.clone();
        let minimum = Redundancy { holders: rng.u32(1..=3), zones: 1 };
        let after = validator_maps::choose_holders(&mut rng, minimum);
        old.rows[0].copying = after.iter().filter(|s| !holders.contains(s)).copied().collect();
        (new.rows[0].holders, new.rows[0].copying, new.rows[0].epoch) = (after.clone(), vec![], Epoch(11));
        let result = transition(&old, &new, &text);
        assert_eq!(result.findings, [], "seed {seed}");

        let (source, mut stores) = (holders[0], vec![Holdings::new(4); LISTED as usize]);
        let at = |store: StoreId| store.0 as usize;
        holders.iter().for_each(|s| carry_out(&mut stores[at(*s)], 10, Order::Create { span }));
        let mut removed: Vec<StoreId> = holders.iter().filter(|s| !after.contains(s)).copied().collect();
        let mut added = old.rows[0].copying.clone();
        rng.shuffle(&mut removed);
        rng.shuffle(&mut added);
        for store in &added {
            carry_out(&mut stores[at(*store)], 11, Order::Prepare { span, from: source });
        }
        for store in &removed {
            carry_out(&mut stores[at(*store)], 11, Order::Fence { to: after[0] });
        }
        added.iter().for_each(|store| carry_out(&mut stores[at(*store)], 11, Order::AllowReads));
        let mut waited = false;
        let mut check_stores = |stores: &[Holdings], is_published: bool| {
            let executing_stores = |key: Option<&str>, epoch| -> Vec<StoreId> {
                let runs = |s: &StoreId| {
                    matches!(stores[at(*s)].admission(BlockId(1), Epoch(epoch), key), Admission::Execute(_))
                };
                (0..LISTED).map(StoreId).filter(runs).collect()
            };
            let entry_stores = [executing_stores(Some("k"), 10), executing_stores(Some("k"), 11)].concat();
            let all_of = |set: &[StoreId]| entry_stores.iter().all(|store| set.contains(store));
            assert!(all_of(&holders) || all_of(&after), "seed {seed}: {entry_stores:?}");
            waited |= entry_stores.is_empty();
            // A request that finds no store of the old version is directed to the new one.
            assert!(!executing_stores(None, 11).is_empty(), "seed {seed}");
            assert!(
                is_published || executing_stores(None, 10).iter().any(|store| holders.contains(store)),
                "seed {seed}"
            );
        };
        check_stores(&stores, false);
        for store in &removed {
            carry_out(&mut stores[at(*store)], 11, Order::Retire);
            check_stores(&stores, true);
        }
        for store in &added {
            carry_out(&mut stores[at(*store)], 11, Order::Open);
            let entry = Entry { key: format!("e{}", store.0), weigher: span.first, value: vec![] };
            stores[at(*store)].append(entry);
            check_stores(&stores, true);
        }
        assert_eq!(waited, !result.waits.is_empty(), "seed {seed}: {:?}", result.waits);
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
fn boundary_ranges_are_distinguished() {
    const MAX: u64 = u64::MAX;
    let texts = |keys, rows: &[(u32, u64, u64)]| -> Vec<String> {
        read(&blocks(keys, rows)).unwrap().iter().map(Finding::to_string).collect()
    };
    let assert_findings = |texts: &[String], expected: &[&str]| {
        assert_eq!(texts.len(), expected.len(), "{texts:#?}");
        for (text, expected) in texts.iter().zip(expected) {
            assert!(text.contains(expected), "{text} should contain {expected}");
        }
    };
    assert_findings(&texts([0, MAX], &[(1, 0, MAX)]), &[]);
    assert_findings(&texts([0, MAX], &[(1, 0, 1), (2, 1, MAX - 1), (3, MAX - 1, MAX)]), &[]);
    assert_findings(
        &texts([0, MAX], &[(1, 0, MAX - 1)]),
        &[&format!("line 9: keys {}..{MAX}: block 1: no block", MAX - 1)],
    );
    assert_findings(
        &texts([0, 3], &[(1, 1, 2)]),
        &["keys 0..1: block 1: no block", "keys 2..3: block 1: no block"],
    );
    assert_findings(&texts([0, 9], &[]), &["keys 0..9: no block"]);
    // Ranges with equal starts, equal ranges, and one range within another.
    assert_findings(
        &texts([0, 9], &[(1, 0, 9), (2, 0, 3)]),
        &["line 9, 15: keys 0..3: blocks 1, 2: these keys"],
    );
    assert_findings(&texts([0, 9], &[(1, 0, 9), (2, 0, 9)]), &["keys 0..9: blocks 1, 2"]);
    assert_findings(&texts([0, 9], &[(1, 0, 9), (2, 4, 5)]), &["keys 4..5: blocks 1, 2"]);
    assert_findings(&texts([0, 9], &[(1, 0, 9), (2, 4, 4)]), &["line 15: keys 4..4: block 2: has no keys"]);
    assert_findings(
        &texts([0, 9], &[(1, 9, 0)]),
        &["keys 9..0: block 1: ends before", "keys 0..9: no block"],
    );
    assert_findings(&texts([9, 0], &[(1, 0, 9)]), &["keys 9..0: ends before", "block 1: goes beyond"]);
}

#[test]
fn unreadable_documents_name_the_line_and_large_ones_the_limit() {
    let document = blocks([0, 9], &[(1, 0, 9)]);
    let line = |text: &str| match read(text) {
        Err(DocumentError::Format { line, what }) => (line, what),
        other => panic!("{other:?}"),
    };
    assert_eq!(line(&document.replace("first = 0", "first = -1")).0, 10);
    assert_eq!(line(&document.replace("epoch = 1", "epoch = ")).0, 12);
    assert_eq!(line(&document.replace("first", "frist")).0, 10);
    assert!(line(&document.replace("capacity = 9.0\n", "")).1.contains("capacity"));
    let bounds = Bounds { bytes: document.len(), stores: 1, blocks: 0 };
    let large = |bounds| Document::read(&document, &mut Names::default(), &bounds).unwrap_err();
    assert_eq!(large(bounds), DocumentError::Large { what: "blocks", found: 1, most: 0 });
    let bytes = Bounds { bytes: document.len() - 1, ..bounds };
    assert_eq!(
        large(bytes),
        DocumentError::Large { what: "bytes", found: document.len(), most: document.len() - 1 }
    );
    let invalid = document.replace("9.0", "nan");
    assert!(read(&invalid)
        .unwrap()
        .iter()
        .any(|f| matches!(f.fault, Fault::Figure { what: "capacity", .. })));
}

#[test]
fn random_bytes_never_cause_a_panic() {
    let document = blocks([0, 9], &[(1, 0, 9)]);
    let mut rng = Rng::with_seed(7);
    for _ in 0..2_000 {
        let mut bytes = document.clone().into_bytes();
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let _ = read(&String::from_utf8_lossy(&bytes));
    }
    let spans = [Span::new(0, u64::MAX), Span::new(u64::MAX, 0), Span::new(u64::MAX, u64::MAX)];
    assert!(spans[1..].iter().all(|span| span.is_empty()));
}
