//! The subcommand `gingerledge fleet`: prints the members of the fleet, as one broker sees them.

use super::table::{print_table, rows};
use super::{admin, QueryArguments};
use clap::{Args, Subcommand};

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    query: QueryArguments,
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Who lives, who is missed, and who is gone.
    Members,
}

/// Runs the subcommand.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    let Command::Members = arguments.what;
    let response = admin::json(arguments.query.admin, "GET", "/fleet/members")?;
    if arguments.query.json {
        println!("{response}");
        return Ok(());
    }
    let living = response["living"].as_array().map_or(0, Vec::len);
    let all = response["members"].as_array().map_or(0, Vec::len);
    println!("{living} of {all} live; own health {}", response["health"]);
    println!(
        "datagrams: {} sent ({} bytes), {} held back, {} heard, {} unread",
        response["sent"], response["bytes"], response["held_back"], response["heard"], response["unread"]
    );
    let keys = ["member", "state", "started_ms", "refuted", "address"];
    print_table(&keys, &rows(&response["members"], &keys));
    Ok(())
}
