//! What the three programs share: the set-up of the log, the reading of the settings file, and the command line of a program
//! that runs when it is given no arguments and only checks its settings when told `check`.

use std::path::PathBuf;

use bpaf::{construct, positional, OptionParser, Parser};
use gingerledge_protocol::{Settings, SettingsError, SETTINGS_VARIABLE};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use snafu::{OptionExt, ResultExt, Snafu};

/// One line for each event: level, module, message. The platform adds the time.
const LINE_PATTERN: &str = "{l} {M}: {m}{n}";
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

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run with the settings file that the environment names.
    Run,
    /// Read a settings file and name what is wrong with it.
    Check {
        /// The file; without one, the file that the environment names.
        settings: Option<PathBuf>,
    },
}

/// The command line of a program: nothing, or `check [SETTINGS]`.
pub fn command_line(description: &'static str) -> OptionParser<Action> {
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
pub fn init_log() -> Result<(), StartError> {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
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
pub fn read_settings_at(path: Option<PathBuf>) -> Result<Settings, StartError> {
    let named = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = path.or_else(named).context(NoSettingsSnafu)?;
    Settings::read(&path).context(BadSettingsSnafu)
}

/// Reads a settings file for `check`, and says on standard output that it can be used.
pub fn check_settings(path: Option<PathBuf>) -> Result<(), StartError> {
    let settings = read_settings_at(path)?;
    println!("settings of {}: fine", settings.node_name);
    Ok(())
}
