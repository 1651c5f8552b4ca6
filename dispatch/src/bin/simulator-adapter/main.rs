//! Hosts aggregators on the simulator's line protocol: events on standard input, actions on standard output. It translates
//! and decides nothing.

mod actions;
mod error;
mod events;
mod fields;
mod host;
mod instance;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let output = BufWriter::new(io::stdout().lock());
    match host::Host::new(output).run(io::stdin().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
