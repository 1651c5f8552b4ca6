//! The broker's program; see `gingerledge::service`.

use std::process::ExitCode;

use gingerledge::clock::Clock;
use gingerledge::config::Config;

fn main() -> ExitCode {
    let clock = Clock::new();
    let config = Config::read(|key| std::env::var(key).ok(), |path| std::fs::read_to_string(path));
    let ran = config.and_then(|config| {
        gingerledge::logger::start(&config.name, config.log, clock);
        gingerledge::service::run(config, clock)
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gingerledge: {error}");
            ExitCode::FAILURE
        }
    }
}
