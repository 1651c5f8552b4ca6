//! Starts the control program.

use std::process::ExitCode;

use gingerledge_system::{check_settings, command_line, init_log, read_settings, Action, StartError};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{signal, SignalKind};

#[derive(Debug, Snafu)]
enum Failure {
    #[snafu(transparent)]
    Start { source: StartError },
    #[snafu(display("{source}"))]
    Run { source: gingerledge_control::RunError },
    #[snafu(display("the system refuses what the program needs: {source}"))]
    System { source: std::io::Error },
}

fn main() -> ExitCode {
    let ended = match command_line("The control plane of the rollout scheduler").run() {
        Action::Run => run(),
        Action::Check { settings } => check_settings(settings).map_err(Failure::from),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("gingerledge-control: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Failure> {
    init_log()?;
    let settings = read_settings()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(SystemSnafu)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
        // What the file says is read at the next start; the signal must not end the process.
        let _hang_up = signal(SignalKind::hangup()).context(SystemSnafu)?;
        let stop = async move {
            terminate.recv().await;
        };
        gingerledge_control::run(settings, stop).await.context(RunSnafu)
    })
}
