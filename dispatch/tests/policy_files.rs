//! The platform reads from the entry `policy` in `deploy/balancer.toml` which files contain the decisions.
//! The entry must list all of these files and no others.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const DECISIONS_FOLDER: &str = "dispatch/src/aggregator";

/// The root of the repository.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap()
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap()
}

/// All files below a folder, as paths relative to the root.
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

/// The paths listed in `policy`, in order.
fn policy_entries() -> Vec<String> {
    let deploy = read(&root().join("deploy/balancer.toml"));
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).unwrap();
    policy.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn policy_lists_every_file_of_the_decisions_once_and_no_other() {
    let entries = policy_entries();
    let listed: BTreeSet<String> = entries.iter().cloned().collect();
    assert_eq!(listed.len(), entries.len(), "an entry occurs twice: {entries:?}");
    assert_eq!(listed, files_below(&root().join(DECISIONS_FOLDER)));
}

#[test]
fn the_first_line_of_the_decisions_refers_to_their_interface() {
    let text = read(&root().join(DECISIONS_FOLDER).join("mod.rs"));
    assert!(text.lines().next().unwrap().contains("src/interface.rs"));
}
