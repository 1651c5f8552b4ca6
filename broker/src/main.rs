//! Entry point of the broker's program; see `gingerledge::cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    gingerledge::cli::main()
}
