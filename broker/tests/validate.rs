//! `gingerledge blocks validate` as a process: exit codes, a line for each fault, and what it prints for programs. And what a
//! broker does that is told a map which is not sound.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::Command;

use gingerledge::routes::{MapUpdate, MapUpdateError, Routes};
use gingerledge_blocks::wire::MapPage;
use gingerledge_blocks::{Block, BlockId, Cursor, Epoch, Record, Replica, ReplicaState, Span, StoreId, Term};
use serde_json::Value;

const STORES: &str = r#"
keys = [0, 200]
retired = [7]

[goal]
replicas = 1

[[store]]
name = "s-5be2a07c"
zone = "a"
capacity = 10.0

[[store]]
name = "s-93d04c1e"
zone = "b"
capacity = 10.0
"#;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gingerledge-validate-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// A map of blocks: number, first, end, epoch, stores, copying.
    fn map(&self, name: &str, version: u64, blocks: &[(u32, u64, u64, u64, &str, &str)]) -> PathBuf {
        let mut text = format!("version = {version}{STORES}");
        for (id, first, end, epoch, stores, copying) in blocks {
            text += &format!(
                "\n[[block]]\nblock = {id}\nfirst = {first}\nend = {end}\nepoch = {epoch}\nstores = [{stores}]\ncopying = [{copying}]\n"
            );
        }
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The exit code, and what was said on standard output and standard error.
fn validate(file: &Path, more: &[&str]) -> (Option<i32>, String, String) {
    let mut program = Command::new(env!("CARGO_BIN_EXE_gingerledge"));
    let output = program
        .args(["blocks", "validate"])
        .arg(file)
        .args(more)
        .env_remove("LB_ADMIN_ADDR")
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

const ONE: &str = "\"s-5be2a07c\"";
const TWO: &str = "\"s-93d04c1e\"";

#[test]
fn every_fault_has_its_line_and_the_exit_code_says_whether_there_is_any() {
    let folder = Folder::new("faults");
    let sound = folder.map("sound.toml", 1, &[(1, 0, 100, 1, ONE, ""), (2, 100, 200, 1, TWO, "")]);
    let (code, out, err) = validate(&sound, &[]);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert_eq!(out, format!("{}: sound, 2 blocks\n", sound.display()));

    let broken =
        folder.map("broken.toml", 2, &[(7, 0, 99, 1, ONE, ""), (2, 100, 200, 1, "\"s-0a4fb6d2\"", "")]);
    let (code, out, err) = validate(&broken, &[]);
    assert_eq!(code, Some(1));
    assert!(err.contains("5 faults"), "{err}");
    for expected in [
        "line 19: keys 0..99: block 7: the number has come to its end: take one never used",
        "line 31: keys 100..200: block 2: store s-0a4fb6d2 is to hold it, and nobody has named it",
        "line 27: keys 100..200: block 2: 0 of at least 1 sound holders",
        "line 27: keys 100..200: block 2: sound holders in 0 of at least 1 zones",
        "line 19, 27: keys 99..100: blocks 7, 2: no block has these keys",
    ] {
        let line = format!("{}: {expected}", broken.display());
        assert!(out.lines().any(|said| said.starts_with(&line)), "{out}\nshould say {line}");
    }
    let (code, _, err) = validate(&folder.0.join("none.toml"), &[]);
    assert!(code == Some(1) && err.contains("none.toml: No such file"), "{err}");
    std::fs::write(&broken, "keys = [0, 1]\nkeys = 3").unwrap();
    let (code, _, err) = validate(&broken, &[]);
    assert!(code == Some(1) && err.contains("broken.toml: line 2: "), "{err}");
}

#[test]
fn a_passage_is_refused_without_a_copy_and_says_where_entries_wait_with_one() {
    let folder = Folder::new("passage");
    let bare = folder.map("bare.toml", 1, &[(1, 0, 200, 1, ONE, "")]);
    let copied = folder.map("copied.toml", 1, &[(1, 0, 200, 1, ONE, TWO)]);
    let moved = folder.map("moved.toml", 2, &[(1, 0, 200, 2, TWO, "")]);
    let stale = folder.map("stale.toml", 2, &[(1, 0, 200, 1, TWO, "")]);
    let json = |old: &Path, new: &Path| -> (Option<i32>, Value) {
        let (code, out, _) = validate(new, &["--against", old.to_str().unwrap(), "--json"]);
        (code, serde_json::from_str(&out).unwrap())
    };
    let (code, said) = json(&copied, &moved);
    assert_eq!((code, &said["sound"], &said["faults"]), (Some(0), &true.into(), &Value::Array(vec![])));
    assert_eq!(said["waits"][0]["from"][0], "store s-5be2a07c");
    let (code, said) = json(&bare, &moved);
    assert_eq!((code, &said["faults"][0]["kind"]), (Some(1), &"unfollowed".into()));
    assert_eq!(said["faults"][0]["lines"][0], 19);
    let (code, said) = json(&copied, &stale);
    assert_eq!(code, Some(1));
    let kinds: Vec<&str> =
        said["faults"].as_array().unwrap().iter().filter_map(|f| f["kind"].as_str()).collect();
    assert_eq!(kinds, ["epoch", "two_sets"]);
    let (code, said) = json(&moved, &copied);
    assert_eq!((code, &said["faults"][0]["kind"]), (Some(1), &"version".into()));
    let (_, out, _) = validate(&moved, &["--against", copied.to_str().unwrap()]);
    assert!(
        out.contains("entries wait while store s-5be2a07c lets go and store s-93d04c1e takes over"),
        "{out}"
    );
}

/// A page of news that is all there is: blocks of 100 weighers, each with its number, epoch and holder.
fn news(version: u64, is_full_map: bool, blocks: &[(u32, u32, u32)]) -> MapPage {
    let block = |(id, epoch, store): &(u32, u32, u32)| {
        let first = u64::from(*id) * 100;
        Record::Active(Block {
            id: BlockId(*id),
            span: Span::new(first, first + 100),
            epoch: Epoch::from_parts(Term(1), *epoch),
            replicas: vec![Replica { store: StoreId(*store), state: ReplicaState::Serving }],
            extent: None,
        })
    };
    MapPage {
        stores: (0..2).map(|n| (StoreId(n), format!("s-{n}"))).collect(),
        records: blocks.iter().map(block).collect(),
        cursor: Cursor::after_version(version),
        version,
        term: 1,
        is_full_map,
    }
}

#[test]
fn a_broker_keeps_its_map_when_the_next_is_not_sound_and_asks_for_all_of_it() {
    let routes = Routes::new(100, 100);
    let unsound = |news| match routes.apply(news) {
        Err(MapUpdateError::Unsound { version, why }) => (version, why),
        other => panic!("{other:?}"),
    };
    // Nobody has named store 9.
    let (version, why) = unsound(news(1, true, &[(0, 1, 0), (1, 1, 9)]));
    assert!(version == 1 && why.contains("keys 100..200: block 1: store 9 is to hold it"), "{why}");
    assert_eq!((routes.version(), routes.term()), (0, 0));
    assert_eq!(routes.apply(news(1, true, &[(0, 1, 0), (1, 1, 1)])), Ok(MapUpdate::UpToDate(1)));
    let held = routes.snapshot();
    let (version, why) = unsound(news(2, false, &[(1, 2, 9)]));
    assert!(version == 2 && why.contains("store 9"), "{why}");
    // All is as it was, but for the term: without one the coordinator tells the whole map.
    assert_eq!(routes.snapshot().0, held.0);
    assert_eq!((routes.term(), routes.next_cursor()), (0, Cursor::after_version(1)));
    assert_eq!(routes.apply(news(2, true, &[(0, 1, 0), (1, 2, 0)])), Ok(MapUpdate::UpToDate(2)));
    assert_eq!(routes.apply(news(3, false, &[(0, 3, 1)])), Ok(MapUpdate::UpToDate(3)));
    assert_eq!(routes.epoch(0), Some(Epoch::from_parts(Term(1), 3)));
    // The map that was kept is looked at likewise.
    let (mut kept, stores, term) = routes.snapshot();
    kept.active[0].replicas[0].store = StoreId(9);
    let fresh = Routes::new(100, 100);
    assert!(matches!(fresh.restore(&kept, &stores, term), Err(MapUpdateError::Unsound { version: 3, .. })));
    assert_eq!(fresh.version(), 0);
}
