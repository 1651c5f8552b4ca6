//! A short soak of the real programs: signals, restarts and changes of the configuration come in series and overlap, while clients keep
//! using their connections. `rollout-soak` runs longer ones and more seeds.

use std::path::Path;
use std::time::Duration;

use gingerledge_system_testkit::soak::{self, SoakKind, SoakReport, SoakSettings, SoakSize};
use yare::parameterized;

/// Runs a soak of a small deployment. Runs at the same time need different seeds, from which their addresses come.
fn soak(seed: u64, kind: SoakKind, seconds: u64, kills_edges: bool) -> SoakReport {
    let programs =
        Path::new(env!("CARGO_BIN_EXE_gingerledge-edge")).parent().expect("folder of the programs");
    let settings = SoakSettings {
        programs: programs.to_owned(),
        network: 60 + u8::try_from(seed).expect("a small seed"),
        seed,
        kind,
        size: SoakSize::small(),
        duration: Duration::from_secs(seconds),
        kills_edges,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(soak::run(&settings)).expect("a soak")
}

/// Guards against requests, batch jobs and configurations that are lost, doubled or mixed up around planned work and faults.
#[parameterized(planned = { 1, SoakKind::Planned }, faults = { 2, SoakKind::Faults })]
fn no_rule_is_broken_while_signals_restarts_and_changes_overlap(seed: u64, kind: SoakKind) {
    let report = soak(seed, kind, 15, false);
    println!("seed {seed} {kind:?}: {report}");
    assert!(report.violations.is_empty(), "seed {seed} {kind:?}: {report}");
    assert!(report.counts.get("successes").is_some_and(|count| *count > 100), "{report}");
    assert!(report.counts.get("complete batch jobs").is_some_and(|count| *count > 0), "{report}");
}

/// The checks themselves: requests that are lost with a killed edge count where only planned work is allowed.
#[test]
fn requests_lost_with_a_killed_edge_are_reported() {
    let report = soak(3, SoakKind::Planned, 8, true);
    drop(std::fs::remove_dir_all(report.folder()));
    assert!(report.violations.iter().any(|violation| violation.starts_with("LOST")), "{report}");
}
