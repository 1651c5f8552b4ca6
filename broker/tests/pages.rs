//! The pages name only what exists: `.ci/check-names` finds each name in backticks, and lists what it does not find.
#![allow(clippy::expect_used)]

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

fn check_names(pages: &[&Path]) -> Output {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../.ci/check-names");
    Command::new(script).args(pages).output().expect("the check runs")
}

fn listed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn every_name_on_the_pages_exists() {
    let output = check_names(&[]);
    assert!(output.status.success(), "names that name nothing:\n{}", listed(&output));
}

#[test]
fn names_that_do_not_exist_are_listed() {
    let page = Path::new(env!("CARGO_TARGET_TMPDIR")).join("page.md");
    // Put together here, since what stands in a source exists.
    let missing = [
        ("NoSuch", "Type"),
        ("no_such", "_function"),
        ("no-such", "-package"),
        ("system/no_such", "_file.rs"),
    ]
    .map(|(begin, end)| format!("{begin}{end}"));
    let text = format!("`Replica::recover` `{}`\n```\n`InAnExample`\n```\n", missing.join("` and `"));
    fs::write(&page, text).expect("the page is written");
    let output = check_names(&[&page]);
    assert!(!output.status.success());
    let mut found: Vec<_> =
        listed(&output).lines().filter_map(|line| Some(line.split_once(": ")?.1.to_owned())).collect();
    found.sort();
    let mut expected = missing;
    expected.sort();
    assert_eq!(found, expected);
}
