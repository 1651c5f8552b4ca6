//! The command line: serves, validates the configuration, and sends requests to the admin endpoint of a running broker.
//!
//! Doc comments on types derived from `clap` are the text of `--help`.

mod admin;
mod blocks;
mod fleet;
mod table;
mod validate;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use crate::clock::Clock;
use crate::config::{Config, Error};

/// The load broker of the Great Lakes Hive Weighing Association.
#[derive(Parser)]
#[command(name = "gingerledge", version, about, propagate_version = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve, as the environment says; also what no command means.
    Serve,
    /// Read every file of the configuration and say what is wrong with which key.
    Check,
    /// Look at blocks and have them moved, at a broker that runs.
    Blocks(blocks::Arguments),
    /// Who of the brokers lives, as one that runs sees it.
    Fleet(fleet::Arguments),
    /// Drain a broker, end that, or ask whether it is ready.
    Broker(BrokerArguments),
    /// Take a reading store out by hand, or put it back.
    Store(StoreArguments),
}

/// Where to call.
#[derive(Args, Clone, Copy, Debug)]
struct AdminArguments {
    /// The operators' door.
    #[arg(id = "door", long, value_name = "DOOR", env = "LB_ADMIN_ADDR", global = true)]
    address: Option<SocketAddr>,
}

/// Where to call for something to look at, and how it is printed.
#[derive(Args, Clone, Copy, Debug)]
struct QueryArguments {
    #[command(flatten)]
    admin: AdminArguments,
    /// Print what the door says as JSON.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Args)]
struct BrokerArguments {
    #[command(flatten)]
    admin: AdminArguments,
    #[command(subcommand)]
    what: BrokerCommand,
}

#[derive(Subcommand)]
enum BrokerCommand {
    /// Whether it can serve.
    Ready,
    /// Finish what was taken, and take nothing more.
    Drain,
    /// Serve again.
    Undrain,
}

#[derive(Args)]
struct StoreArguments {
    #[command(flatten)]
    admin: AdminArguments,
    #[command(subcommand)]
    what: StoreCommand,
}

#[derive(Subcommand)]
enum StoreCommand {
    /// Take it out.
    Out {
        /// Its name, as discovery has it.
        store: String,
    },
    /// Put it back.
    Back {
        /// Its name, as discovery has it.
        store: String,
    },
}

/// Runs the program.
pub fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        None | Some(Command::Serve) => serve().map_err(|e| e.to_string()),
        Some(Command::Check) => check().map_err(|e| e.to_string()),
        Some(Command::Blocks(arguments)) => blocks::run(&arguments),
        Some(Command::Fleet(arguments)) => fleet::run(&arguments),
        Some(Command::Broker(BrokerArguments { admin, what })) => {
            let (method, path) = match what {
                BrokerCommand::Ready => ("GET", "/ready"),
                BrokerCommand::Drain => ("PUT", "/drain"),
                BrokerCommand::Undrain => ("PUT", "/undrain"),
            };
            admin::print(admin, method, path, "")
        }
        Some(Command::Store(StoreArguments { admin, what })) => {
            let (path, store) = match &what {
                StoreCommand::Out { store } => ("/reading-stores/disable", store),
                StoreCommand::Back { store } => ("/reading-stores/enable", store),
            };
            admin::print(admin, "PUT", path, store)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("gingerledge: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn var(key: &str) -> Option<String> {
    std::env::var(key).ok()
}

fn read(path: &str) -> std::io::Result<String> {
    std::fs::read_to_string(path)
}

fn serve() -> Result<(), Error> {
    let clock = Clock::new();
    let config = Config::read(var, read)?;
    crate::logger::start_as(&config.name, config.log, config.log_json, clock);
    crate::service::run(config, clock, || Config::reload_discovery(var, read))
}

/// Prints a summary of the configuration, or returns its first error.
fn check() -> Result<(), Error> {
    let config = Config::read(var, read)?;
    println!("{}: sound", config.name);
    println!("  platform   {}", config.listen);
    println!("  discovery  {}", config.discovery);
    println!("  operators  {}", config.admin.map_or_else(|| "no door".to_owned(), |at| at.to_string()));
    match &config.features {
        None => println!("  features   off"),
        Some(set) => println!("  features   {} ({} collections)", set.listen, set.collections.len()),
    }
    match &config.blocks {
        None => println!("  blocks     on the ring"),
        Some(set) if set.coordinate => {
            println!("  blocks     move; may coordinate, state in {}", set.dir.display());
        }
        Some(set) => println!("  blocks     move; the map is followed at {:?}", set.coordinators),
    }
    match &config.fleet {
        None => println!("  fleet      brokers do not hear each other"),
        Some(set) => {
            println!("  fleet      broker {} of {}, on {}", set.settings.own, set.peers.len(), set.listen)
        }
    }
    Ok(())
}
