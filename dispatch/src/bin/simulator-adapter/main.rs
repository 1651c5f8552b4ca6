//! Hosts aggregators for the simulator: reads events from standard input and writes actions to standard
//! output, in the simulator's line protocol. The adapter only translates, and makes no decisions.

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
