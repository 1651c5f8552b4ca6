//! Starts the edge program: `gingerledge-edge` runs it, `gingerledge-edge check [SETTINGS]` only reads its settings.

use std::fmt::Display;
use std::process::ExitCode;

use gingerledge_data::node::{self, NodeError};
use gingerledge_system::{check_settings, command_line, init_log, read_settings, Action, StartError};
use snafu::Snafu;
use tokio::runtime::{Builder, LocalOptions};

/// Why the program ends with a failure.
#[derive(Debug, Snafu)]
enum Failure {
    /// It could not start.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// Why.
        source: StartError,
    },
    /// It could not go on.
    #[snafu(display("{source}"), context(false))]
    Run {
        /// Why.
        source: NodeError,
    },
    /// The runtime could not be built.
    #[snafu(display("runtime: {source}"), context(false))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
}

fn main() -> ExitCode {
    let result = match command_line("Takes requests and batch jobs from clients").run() {
        Action::Check { settings } => check_settings(settings).map_err(Failure::from),
        Action::Run => run(),
    };
    result.map_or_else(fail, |()| ExitCode::SUCCESS)
}

fn run() -> Result<(), Failure> {
    init_log()?;
    let settings = read_settings()?;
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(node::run(settings, read_settings))?;
    Ok(())
}

fn fail(failure: impl Display) -> ExitCode {
    eprintln!("gingerledge-edge: {failure}");
    ExitCode::FAILURE
}
