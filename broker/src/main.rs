//! The broker's program; see `gingerledge::service`.

use std::process::ExitCode;

use gingerledge::clock::Clock;
use gingerledge::config::Config;

fn main() -> ExitCode {
    let clock = Clock::new();
    let var = |key: &str| std::env::var(key).ok();
    let read = |path: &str| std::fs::read_to_string(path);
    let ran = Config::read(var, read).and_then(|config| {
        gingerledge::logger::start(&config.name, config.log, clock);
        gingerledge::service::run(config, clock, || Config::discovery_again(var, read))
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gingerledge: {error}");
            ExitCode::FAILURE
        }
    }
}
