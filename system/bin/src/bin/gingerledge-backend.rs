//! Starts the backend program: `gingerledge-backend` runs it, `gingerledge-backend check [SETTINGS]` only validates its settings.

use std::process::ExitCode;

use gingerledge_jobs::{node, JobsError};
use gingerledge_protocol::Settings;
use gingerledge_system::{launch, ProgramError};
use tokio::runtime::Builder;

fn main() -> ExitCode {
    launch("gingerledge-backend", "Keeps batch jobs and their results", run)
}

fn run(settings: Settings) -> Result<(), ProgramError<JobsError>> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ProgramError::Runtime)?;
    runtime.block_on(node::run(settings)).map_err(ProgramError::Run)
}
