//! Writes days of faults for the users' bench, one file a seed: `fault-days --first 1 --count 40 --out FOLDER`.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use gingerledge_system_testkit::fault_days::{FaultDay, Scope};

/// Draws days from every kind of trouble that the bench lists.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The first seed
    #[bpaf(long, argument("SEED"), fallback(1))]
    first: u64,
    /// How many days, each with the next seed
    #[bpaf(long, argument("DAYS"), fallback(40))]
    count: u64,
    /// With the kinds that need the contract `health`, which the grown deployments have
    #[bpaf(long)]
    health: bool,
    /// Only kinds that strike the control plane, the backends and their state
    #[bpaf(long)]
    state: bool,
    /// The folder that the days are written to, as SEED.toml
    #[bpaf(long, argument("FOLDER"))]
    out: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    if let Err(error) = fs::create_dir_all(&options.out) {
        eprintln!("--out: {}: {error}", options.out.display());
        return ExitCode::FAILURE;
    }
    let scope = Scope { health: options.health, only_state: options.state };
    for seed in options.first..options.first.saturating_add(options.count) {
        let file = options.out.join(format!("{seed}.toml"));
        if let Err(error) = fs::write(&file, FaultDay::draw(seed, scope).to_string()) {
            eprintln!("--out: {}: {error}", file.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
