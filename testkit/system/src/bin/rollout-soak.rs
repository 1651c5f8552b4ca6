//! Soaks the scheduler's programs on loopback: `rollout-soak --programs target/release --first 1 --count 50 --at-once 4`.
//!
//! Odd seeds have planned work only, even ones faults too. Prints a line a seed; ends with 1 if a rule was broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use gingerledge_system_testkit::soak::{self, SoakKind, SoakSettings, SoakSize};

/// Addresses 127.NETWORK.0.0/16 from this number on are this program's.
const FIRST_NETWORK: u8 = 100;
const NETWORKS: u64 = 100;

/// Soaks the programs with signals, restarts and changes in series.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The folder of the programs
    #[bpaf(long, argument("FOLDER"))]
    programs: PathBuf,
    /// The first seed
    #[bpaf(long, argument("SEED"), fallback(1))]
    first: u64,
    /// How many runs, each with the next seed
    #[bpaf(long, argument("RUNS"), fallback(1))]
    count: u64,
    /// How many runs at once
    #[bpaf(long, argument("RUNS"), fallback(1))]
    at_once: u64,
    /// How long the disruptions of a run go on, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Edges of a run; the other classes grow along
    #[bpaf(long, argument("EDGES"), fallback(4))]
    edges: usize,
}

fn main() -> ExitCode {
    let options = options().run();
    let mut broken = 0;
    let seeds: Vec<u64> = (options.first..options.first.saturating_add(options.count)).collect();
    for batch in seeds.chunks(usize::try_from(options.at_once.max(1)).unwrap_or(1)) {
        let runs: Vec<_> = batch.iter().map(|&seed| start(&options, seed)).collect();
        broken += runs.into_iter().map(|run| run.join().unwrap_or(false)).filter(|passed| !passed).count();
    }
    println!("{} runs, {broken} broke a rule or did not run", seeds.len());
    ExitCode::from(u8::from(broken > 0))
}

/// Runs a seed on a thread of its own, which gives whether it passed.
fn start(options: &Options, seed: u64) -> std::thread::JoinHandle<bool> {
    let settings = settings(options, seed);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let report = runtime.map(|runtime| runtime.block_on(soak::run(&settings)));
        match report {
            Ok(Ok(report)) => {
                println!("seed {seed} {:?}: {report}", settings.kind);
                report.violations.is_empty()
            }
            Ok(Err(error)) => {
                println!("seed {seed}: not run: {error}");
                false
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                false
            }
        }
    })
}

fn settings(options: &Options, seed: u64) -> SoakSettings {
    let small = SoakSize::small();
    let edges = options.edges.clamp(2, 250);
    let size = SoakSize {
        core: if edges > small.edges { 5 } else { small.core },
        backends: small.backends.max(edges / 5),
        edges,
        clients: small.clients.max(edges * 2),
    };
    SoakSettings {
        programs: options.programs.clone(),
        network: FIRST_NETWORK + u8::try_from(seed % NETWORKS).unwrap_or_default(),
        seed,
        kind: if seed % 2 == 1 { SoakKind::Planned } else { SoakKind::Faults },
        size,
        duration: Duration::from_secs(options.seconds),
        kills_edges: false,
    }
}
