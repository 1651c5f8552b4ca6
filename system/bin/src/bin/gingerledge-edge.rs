//! Starts the edge program: `gingerledge-edge` runs it, `gingerledge-edge check [SETTINGS]` only validates its settings.

use std::process::ExitCode;

use gingerledge_data::node::{self, NodeError};
use gingerledge_protocol::Settings;
use gingerledge_system::{launch, read_settings, ProgramError};
use tokio::runtime::{Builder, LocalOptions};

fn main() -> ExitCode {
    launch("gingerledge-edge", "Takes requests and batch jobs from clients", run)
}

fn run(settings: Settings) -> Result<(), ProgramError<NodeError>> {
    let builder = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let runtime = builder.map_err(ProgramError::Runtime)?;
    runtime.block_on(node::run(settings, read_settings)).map_err(ProgramError::Run)
}
