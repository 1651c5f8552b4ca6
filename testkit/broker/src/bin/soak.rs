//! Soaks: long runs under load and faults that end with one line of figures, and with 1 if a promise was broken.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use gingerledge_testkit::{broker, soak};

#[derive(Parser)]
#[command(about = "Runs the program against its stand-ins under load and faults")]
struct Arguments {
    #[command(subcommand)]
    soak: Soak,
}

#[derive(Subcommand)]
enum Soak {
    /// Blocks that move, split and merge.
    Moves {
        /// How long, in all.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// The seed of load, moves and faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Queries a second.
        #[arg(long, default_value_t = 60.0)]
        rate: f64,
        /// Where the brokers' files and logs stay; a folder that goes with the run without.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    if let Some(code) = broker::if_asked() {
        return code;
    }
    let Soak::Moves { seconds, seed, rate, keep } = Arguments::parse().soak;
    let ran = tempfile::tempdir().and_then(|temporary| {
        let dir = keep.unwrap_or_else(|| temporary.path().to_owned());
        std::fs::create_dir_all(&dir)?;
        soak::moves::run(soak::moves::Plan { seconds, seed, rate }, &dir)
    });
    match ran {
        Ok((line, kept)) => {
            println!("{line}");
            if kept {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(fault) => {
            eprintln!("soak: {fault}");
            ExitCode::FAILURE
        }
    }
}
