//! Starts the control program: `gingerledge-control` runs it, `gingerledge-control check [SETTINGS]` only reads its settings.

use std::process::ExitCode;

use gingerledge_protocol::Settings;
use gingerledge_system::{launch, Failure};
use snafu::{ResultExt, Snafu};
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};

/// Why the control plane can't go on.
#[derive(Debug, Snafu)]
enum ControlFailure {
    #[snafu(display("{source}"))]
    Plane { source: gingerledge_control::RunError },
    #[snafu(display("the system refuses what the program needs: {source}"))]
    System { source: std::io::Error },
}

fn main() -> ExitCode {
    launch("gingerledge-control", "The control plane of the rollout scheduler", run)
}

fn run(settings: Settings) -> Result<(), Failure<ControlFailure>> {
    let runtime =
        Builder::new_current_thread().enable_all().build().context(SystemSnafu).map_err(Failure::Run)?;
    runtime.block_on(serve(settings)).map_err(Failure::Run)
}

async fn serve(settings: Settings) -> Result<(), ControlFailure> {
    let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
    // What the file says is read at the next start; the signal must not end the process.
    let _hang_up = signal(SignalKind::hangup()).context(SystemSnafu)?;
    let stop = async move {
        terminate.recv().await;
    };
    gingerledge_control::run(settings, stop).await.context(PlaneSnafu)
}
