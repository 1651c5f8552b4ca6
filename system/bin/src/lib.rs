//! What the three programs share: the set-up of the log, the reading of the settings file, and the command line of a program
//! that runs when it is given no arguments and only checks its settings when told `check`.

mod log_line;

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{construct, positional, OptionParser, Parser};
use gingerledge_protocol::{Settings, SettingsError, SETTINGS_VARIABLE};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
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
    /// The settings can't be used.
    #[snafu(display("{source}"))]
    BadSettings {
        /// The key and what is wrong with it.
        source: SettingsError,
    },
    /// The log can't be set up.
    #[snafu(display("log: {reason}"))]
    Log {
        /// What the library said.
        reason: String,
    },
}

/// Why a program ends with a failure; `E` is why its plane can't go on.
#[derive(Debug)]
pub enum Failure<E> {
    /// It could not start.
    Start(StartError),
    /// The runtime could not be built.
    Runtime(std::io::Error),
    /// It could not go on.
    Run(E),
}

impl<E> From<StartError> for Failure<E> {
    fn from(error: StartError) -> Self {
        Self::Start(error)
    }
}

impl<E: Display> Display for Failure<E> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Start(error) => error.fmt(formatter),
            Self::Runtime(error) => write!(formatter, "runtime: {error}"),
            Self::Run(error) => error.fmt(formatter),
        }
    }
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    /// Run with the settings file that the environment names.
    Run,
    /// Read a settings file and name what is wrong with it.
    Check {
        /// The file; without one, the file that the environment names.
        settings: Option<PathBuf>,
    },
}

/// The command line of a program: nothing, or `check [SETTINGS]`.
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

/// Logs go to standard error, from level info on.
fn init_log() -> Result<(), StartError> {
    let encoder = Box::new(LineEncoder);
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let root = Root::builder().appender(APPENDER).build(LevelFilter::Info);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(console)))
        .build(root)
        .map_err(|error| StartError::Log { reason: error.to_string() })?;
    log4rs::init_config(config).map_err(|error| StartError::Log { reason: error.to_string() })?;
    Ok(())
}

/// Reads the settings file that the environment names.
pub fn read_settings() -> Result<Settings, StartError> {
    read_settings_at(None)
}

/// Reads a settings file: the one given, else the one that the environment names.
fn read_settings_at(path: Option<PathBuf>) -> Result<Settings, StartError> {
    let named = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = path.or_else(named).context(NoSettingsSnafu)?;
    Settings::read(&path).context(BadSettingsSnafu)
}

/// Reads a settings file for `check`, and says on standard output that it can be used.
fn check_settings(path: Option<PathBuf>) -> Result<(), StartError> {
    let settings = read_settings_at(path)?;
    println!("settings of {}: fine", settings.node_name);
    Ok(())
}

/// The whole of a program: does what the command line asks for, says on standard error why it failed, and gives its exit code.
/// `run` gets the settings, with the log set up.
pub fn launch<E: Display>(
    program: &str,
    description: &'static str,
    run: impl FnOnce(Settings) -> Result<(), Failure<E>>,
) -> ExitCode {
    let ended = match command_line(description).run() {
        Action::Check { settings } => check_settings(settings).map_err(Failure::from),
        Action::Run => start(run),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{program}: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn start<E>(run: impl FnOnce(Settings) -> Result<(), Failure<E>>) -> Result<(), Failure<E>> {
    init_log()?;
    run(read_settings()?)
}
