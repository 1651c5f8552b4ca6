//! What CI passes over: `.ci/known-red` reads KNOWN-RED.txt as strictly as it says, and `.ci/run` passes over just what that
//! names. Cargo is a script here that writes down how it was called, so nothing is built.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// As `cargo test -- --list --format terse` prints them: tests of two programs with one name, and one of the documentation.
const NAMES: &str = "\
known: test
deep::known: test
twice: test
twice: test
known_too: test
measured: benchmark
src/lib.rs - Aggregator (line 31): test
";
const CARGO: &str = "#!/usr/bin/env bash
echo \"$*\" >>called
case \"$*\" in *--list*) cat names ;; esac
";

/// One at a time: a child that another test starts while a script here is still open for writing holds it open until it has
/// become its own program, and a script that someone may write to can't be run.
static ALONE: Mutex<()> = Mutex::new(());

/// A folder with the project's scripts, a list of known failures, and a cargo that only takes notes.
struct Checkout(PathBuf, #[allow(dead_code)] MutexGuard<'static, ()>);

impl Checkout {
    fn new(name: &str, list: Option<&str>) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{name}"));
        drop(fs::remove_dir_all(&dir));
        fs::create_dir_all(dir.join(".ci")).unwrap();
        fs::create_dir_all(dir.join("target/release")).unwrap();
        for script in ["run", "known-red"] {
            let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("../.ci").join(script);
            fs::copy(from, dir.join(".ci").join(script)).unwrap();
        }
        fs::write(dir.join("names"), NAMES).unwrap();
        fs::write(dir.join("target/release/gingerledge"), "").unwrap();
        fs::write(dir.join("cargo"), CARGO).unwrap();
        fs::set_permissions(dir.join("cargo"), fs::Permissions::from_mode(0o755)).unwrap();
        if let Some(list) = list {
            fs::write(dir.join("KNOWN-RED.txt"), list).unwrap();
        }
        Self(dir, alone)
    }

    fn call(&self, script: &str, args: &[&str]) -> Output {
        let path = format!("{}:{}", self.0.display(), std::env::var("PATH").unwrap());
        let script = self.0.join(".ci").join(script);
        Command::new(script).args(args).current_dir(&self.0).env("PATH", path).output().unwrap()
    }

    /// What the list passes over, or what is wrong with it, and what was said beside.
    fn judged(&self) -> (Result<Vec<String>, String>, String) {
        let output = self.call("known-red", &["KNOWN-RED.txt", "names"]);
        let [out, err] = [output.stdout, output.stderr].map(|text| String::from_utf8(text).unwrap());
        match output.status.success() {
            true => (Ok(out.lines().map(str::to_owned).collect()), err),
            false => (Err(out), err),
        }
    }

    /// The calls of cargo in a whole run, and whether that went well.
    fn run(&self) -> (Vec<String>, bool) {
        let output = self.call("run", &[]);
        let called = fs::read_to_string(self.0.join("called")).unwrap();
        (called.lines().map(str::to_owned).collect(), output.status.success())
    }
}

/// The entry of a test of cargo.
fn cargo_entry(name: &str, issue: &str) -> String {
    format!("{name} | cargo test -p x {name}, no seed | fails | {issue}")
}

#[test]
fn an_absent_or_empty_list_passes_over_nothing() {
    for (name, list) in [("absent", None), ("empty", Some("")), ("blank", Some("\n  \n"))] {
        assert_eq!(Checkout::new(name, list).judged(), (Ok(vec![]), String::new()), "{name}");
    }
}

#[test]
fn what_is_listed_is_passed_over_and_said() {
    let one = "deep::known | cargo test -p x deep::known, seed 7 | a store's reset comes too late | issue 31";
    let (skips, said) = Checkout::new("one", Some(one)).judged();
    assert_eq!(skips.unwrap(), ["--skip", "deep::known"]);
    assert_eq!(said, format!("passed over, known to fail: {one}\n"));
    let three = format!("{}\n{one}\n{}\n", cargo_entry("known", "#31"), cargo_entry("known_too", "31"));
    let (skips, said) = Checkout::new("three", Some(&three)).judged();
    assert_eq!(skips.unwrap(), ["--skip", "known", "--skip", "deep::known", "--skip", "known_too"]);
    assert_eq!(said.lines().count(), 3, "{said}");
}

/// Guards against an entry for a day of the bench or a script that makes the run fail, or passes over a test.
#[test]
fn an_entry_that_is_no_test_of_cargo_is_said_and_passes_over_nothing() {
    let day = "review/2 | bench run site.toml day.toml --seed 3 | LOST 14 | issue 59";
    let said_of = |entry: &str| format!("known to fail, no test of cargo, passes over nothing: {entry}\n");
    assert_eq!(Checkout::new("day", Some(day)).judged(), (Ok(vec![]), said_of(day)));
    let soak = "soak_of_signals | target/release/soak --seed 7 | a request without an answer | issue 59";
    assert_eq!(Checkout::new("soak", Some(soak)).judged(), (Ok(vec![]), said_of(soak)));
    let test = cargo_entry("known", "31");
    let (skips, said) = Checkout::new("mixed", Some(&format!("{day}\n{test}\n{soak}\n"))).judged();
    assert_eq!(skips.unwrap(), ["--skip", "known"]);
    assert_eq!(said.lines().count(), 3, "{said}");
    let days = (1..6).map(|number| day.replace("review/2", &format!("review/{number}")));
    let (skips, said) = Checkout::new("days", Some(&days.collect::<Vec<_>>().join("\n"))).judged();
    assert_eq!((skips, said.lines().count()), (Ok(vec![]), 5));
    let readme = "test --locked --workspace".to_owned();
    let (called, well) = Checkout::new("run-day", Some(day)).run();
    assert_eq!((called.last(), well), (Some(&readme), true), "{called:?}");
}

#[test]
fn a_list_that_is_too_long_malformed_or_names_no_one_test_fails() {
    let line = cargo_entry("known", "issue 31");
    let malformed = "expected `name | command and seed | what was seen | number of the issue`";
    let four: String = ["a", "b", "c", "d"].map(|name| cargo_entry(name, "1") + "\n").concat();
    for (name, list, fault) in [
        ("four", four.as_str(), "4 tests are listed, where three may be"),
        ("unknown", &cargo_entry("unknown", "issue 31"), "no test is called `unknown`"),
        // No module is left out, and no part of a name is one.
        ("part", &cargo_entry("own", "issue 31"), "no test is called `own`"),
        ("pattern", &cargo_entry("know.*", "issue 31"), "`know.*`: a test of cargo has a path of Rust"),
        ("bench", &cargo_entry("measured", "issue 31"), "no test is called `measured`"),
        ("second", &format!("{line}\n{}", cargo_entry("unknown", "1")), "no test is called `unknown`"),
        ("shared", &cargo_entry("twice", "issue 31"), "2 tests are called `twice`"),
        ("again", &format!("{line}\n{line}\n"), "`known` is listed twice"),
        ("again-other", "a b | x, no seed | s | 1\na b | y, no seed | s | 1", "`a b` is listed twice"),
        ("name", "known", malformed),
        ("former", "known | cause | issue 31", malformed),
        ("command", "known |  | seen | issue 31", malformed),
        ("seed", "known | cargo test known | seen | issue 31", "`known`: its command says no seed"),
        ("seed-other", "review/2 | run.sh | seen | issue 31", "`review/2`: its command says no seed"),
        ("seen", "known | cargo test known, no seed |  | issue 31", malformed),
        ("issue", "known | cargo test known, no seed | seen | soon", malformed),
        ("fields", "known | cargo test known, no seed | c | d | issue 31", malformed),
        ("comment", "# none", malformed),
        ("doc", &cargo_entry("src/lib.rs - Aggregator (line 31)", "31"), "doc tests can't be passed over"),
        ("option", &cargo_entry("--help", "issue 31"), "`--help`: a test of cargo has a path of Rust"),
        // A test whose command was forgotten would be neither passed over nor noticed.
        ("test", "known | run.sh, no seed | seen | 31", "`known` is a test of cargo, and its command isn't"),
    ] {
        let (judged, said) = Checkout::new(name, Some(list)).judged();
        assert_eq!(judged, Err(String::new()), "{name}: {said}");
        assert!(said.starts_with("KNOWN-RED.txt: ") && said.contains(fault), "{name}: {said}");
    }
}

#[test]
fn a_run_uses_the_readmes_command_and_passes_over_just_what_is_listed() {
    let readme = "test --locked --workspace".to_owned();
    let (called, well) = Checkout::new("run", None).run();
    assert_eq!((called.last(), well), (Some(&readme), true), "{called:?}");
    assert!(
        !called.iter().any(|call| call.contains("--list")),
        "nothing is built to look up no names: {called:?}"
    );
    let [known, deep] = ["known", "deep::known"].map(|name| cargo_entry(name, "31"));
    let (called, well) = Checkout::new("run-two", Some(&format!("{known}\n{deep}\n"))).run();
    let tests = format!("{readme} -- --exact --skip known --skip deep::known");
    assert_eq!((called.last(), well), (Some(&tests), true), "{called:?}");
    let (called, well) = Checkout::new("run-unknown", Some(&cargo_entry("unknown", "31"))).run();
    assert!(!well && called.last().unwrap().contains("--list"), "no test runs: {called:?}");
}
