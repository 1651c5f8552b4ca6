//! The platform reads which files hold the decisions from `policy` in `deploy/balancer.toml`: it has to list each of them.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const DECISIONS: &str = "dispatch/src/aggregator";

/// The root of the repository.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap()
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap()
}

/// The files below a folder, with paths from the root.
fn files_below(folder: &Path) -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path: PathBuf = entry.unwrap().path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.insert(path.strip_prefix(root()).unwrap().display().to_string());
        }
    }
    files
}

/// The entries of `policy`, in order.
fn policy_entries() -> Vec<String> {
    let deploy = read(&root().join("deploy/balancer.toml"));
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).unwrap();
    policy.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn policy_lists_every_file_of_the_decisions_once_and_no_other() {
    let entries = policy_entries();
    let listed: BTreeSet<String> = entries.iter().cloned().collect();
    assert_eq!(listed.len(), entries.len(), "an entry stands twice: {entries:?}");
    assert_eq!(listed, files_below(&root().join(DECISIONS)));
}

#[test]
fn the_opening_line_of_the_decisions_names_their_interface() {
    let text = read(&root().join(DECISIONS).join("mod.rs"));
    assert!(text.lines().next().unwrap().contains("src/interface.rs"));
}
