//! Starts the control program: `gingerledge-control` runs it, `gingerledge-control check [SETTINGS]` only validates its settings.

use std::process::ExitCode;

use gingerledge_protocol::Settings;
use gingerledge_system::{launch, ProgramError};
use snafu::{ResultExt, Snafu};
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};

/// Why the control program fails.
#[derive(Debug, Snafu)]
enum ControlError {
    #[snafu(display("{source}"))]
    Plane { source: gingerledge_control::RunError },
    #[snafu(display("the system refuses what the program needs: {source}"))]
    System { source: std::io::Error },
}

fn main() -> ExitCode {
    launch("gingerledge-control", "The control plane of the rollout scheduler", run)
}

fn run(settings: Settings) -> Result<(), ProgramError<ControlError>> {
    let runtime =
        Builder::new_current_thread().enable_all().build().context(SystemSnafu).map_err(ProgramError::Run)?;
    runtime.block_on(serve(settings)).map_err(ProgramError::Run)
}

async fn serve(settings: Settings) -> Result<(), ControlError> {
    let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
    // The settings are read at the next start only; the signal must not terminate the process.
    let _hangup = signal(SignalKind::hangup()).context(SystemSnafu)?;
    let stop = async move {
        terminate.recv().await;
    };
    gingerledge_control::run(settings, stop).await.context(PlaneSnafu)
}
