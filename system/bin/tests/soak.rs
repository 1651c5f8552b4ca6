//! A short soak of the real programs: signals, restarts and changes of the configuration come in series and overlap, while clients keep
//! using their connections. `rollout-soak` runs longer ones and more seeds.

use std::path::Path;
use std::time::Duration;

use gingerledge_system_testkit::soak::{self, SoakKind, SoakSettings, SoakSize};
use yare::parameterized;

/// Guards against requests, batch jobs and configurations that are lost, doubled or mixed up around planned work and faults.
#[parameterized(planned = { 1, SoakKind::Planned }, faults = { 2, SoakKind::Faults })]
fn no_rule_is_broken_while_signals_restarts_and_changes_overlap(seed: u64, kind: SoakKind) {
    let programs = Path::new(env!("CARGO_BIN_EXE_gingerledge-edge"))
        .parent()
        .expect("folder of the programs")
        .to_owned();
    let network = 60 + u8::try_from(seed).expect("a small seed");
    let size = SoakSize::small();
    let settings = SoakSettings { programs, network, seed, kind, size, duration: Duration::from_secs(15) };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    let report = runtime.block_on(soak::run(&settings)).expect("a soak");
    println!("seed {seed} {kind:?}: {report}");
    assert!(report.violations.is_empty(), "seed {seed} {kind:?}: {report}");
    assert!(report.counts.get("successes").is_some_and(|count| *count > 100), "{report}");
    assert!(report.counts.get("complete batch jobs").is_some_and(|count| *count > 0), "{report}");
}
