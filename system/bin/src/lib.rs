//! The parts that the three programs share: the logger, the settings file, and the command line. Without arguments a program runs; with
//! `check` it only validates its settings file.

#![warn(unreachable_pub)]

mod log_line;

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{construct, positional, OptionParser, Parser};
use gingerledge_protocol::{Settings, SettingsError, SETTINGS_VARIABLE};
use log::{LevelFilter, SetLoggerError};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::runtime::ConfigErrors;
use log4rs::config::{Appender, Config, Root};
use snafu::{OptionExt, ResultExt, Snafu};

use log_line::LineEncoder;

const APPENDER: &str = "stderr";

/// Why a program does not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The variable with the path of the settings file is not set.
    #[snafu(display("{SETTINGS_VARIABLE}: not set; it names the settings file"))]
    NoSettings,
    /// The settings file is rejected.
    #[snafu(display("{source}"))]
    InvalidSettings {
        /// The key and why it is invalid.
        source: SettingsError,
    },
    /// The configuration of the logger is inconsistent.
    #[snafu(display("log: {source}"))]
    LogConfiguration {
        /// The cause.
        source: ConfigErrors,
    },
    /// A logger is installed already.
    #[snafu(display("log: {source}"))]
    LogInstallation {
        /// The cause.
        source: SetLoggerError,
    },
}

/// Why a program exits with a failure; `E` is the error of its plane.
#[derive(Debug)]
pub enum ProgramError<E> {
    /// It could not start.
    Start(StartError),
    /// The asynchronous runtime could not be built.
    Runtime(std::io::Error),
    /// Its plane failed.
    Run(E),
}

impl<E> From<StartError> for ProgramError<E> {
    fn from(error: StartError) -> Self {
        Self::Start(error)
    }
}

impl<E: Display> Display for ProgramError<E> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Start(error) => error.fmt(formatter),
            Self::Runtime(error) => write!(formatter, "runtime: {error}"),
            Self::Run(error) => error.fmt(formatter),
        }
    }
}

/// The action that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    /// Run with the settings file that the environment names.
    Run,
    /// Validate a settings file.
    Check {
        /// The file; without one, the file that the environment names.
        settings: Option<PathBuf>,
    },
}

/// The command line of a program: no arguments, or `check [SETTINGS]`.
fn command_line(description: &'static str) -> OptionParser<Action> {
    let settings =
        positional::<PathBuf>("SETTINGS").help("Settings file, in place of the environment's").optional();
    let check = construct!(Action::Check { settings })
        .to_options()
        .descr("Reads a settings file and names a bad key")
        .command("check")
        .help("Read a settings file and name a bad key");
    let run = bpaf::pure(Action::Run);
    construct!([check, run]).to_options().descr(description)
}

/// Installs the logger: lines on standard error, from level info on.
fn install_logger() -> Result<(), StartError> {
    let encoder = Box::new(LineEncoder);
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let root = Root::builder().appender(APPENDER).build(LevelFilter::Info);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(console)))
        .build(root)
        .context(LogConfigurationSnafu)?;
    log4rs::init_config(config).context(LogInstallationSnafu)?;
    Ok(())
}

/// Reads the settings file that the environment names.
///
/// # Errors
///
/// The environment names none, or it is rejected.
pub fn read_settings() -> Result<Settings, StartError> {
    read_settings_at(None)
}

/// Reads a settings file: the given one, or else the one that the environment names.
fn read_settings_at(path: Option<PathBuf>) -> Result<Settings, StartError> {
    let from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = path.or_else(from_environment).context(NoSettingsSnafu)?;
    Settings::read(&path).context(InvalidSettingsSnafu)
}

/// Validates a settings file for `check`, and confirms it on standard output.
fn check_settings(path: Option<PathBuf>) -> Result<(), StartError> {
    let settings = read_settings_at(path)?;
    println!("settings of {}: fine", settings.node_name);
    Ok(())
}

/// The main function of a program: parses the command line, carries it out, prints an error on standard error, and returns the exit
/// code. `run` is called with the settings after the logger is installed.
pub fn launch<E: Display>(
    program: &str,
    description: &'static str,
    run: impl FnOnce(Settings) -> Result<(), ProgramError<E>>,
) -> ExitCode {
    let result = match command_line(description).run() {
        Action::Check { settings } => check_settings(settings).map_err(ProgramError::from),
        Action::Run => start(run),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start<E>(run: impl FnOnce(Settings) -> Result<(), ProgramError<E>>) -> Result<(), ProgramError<E>> {
    install_logger()?;
    run(read_settings()?)
}
