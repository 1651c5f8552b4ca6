//! Hosts aggregators on the drill's line protocol: events on standard input, actions on standard
//! output. It translates and decides nothing.

mod wire;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let out = BufWriter::new(io::stdout().lock());
    match wire::Host::new(out).run(io::stdin().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            let _ = writeln!(io::stderr(), "simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
