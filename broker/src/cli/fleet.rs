//! `gingerledge fleet`: who of the brokers lives, as one of them sees it.

use super::table::{rows, table};
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

/// Carries a command out.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    let Command::Members = arguments.what;
    let shown = admin::json(arguments.query.admin, "GET", "/fleet/members")?;
    if arguments.query.json {
        println!("{shown}");
        return Ok(());
    }
    let living = shown["living"].as_array().map_or(0, Vec::len);
    let all = shown["members"].as_array().map_or(0, Vec::len);
    println!("{living} of {all} live; own health {}", shown["health"]);
    println!(
        "datagrams: {} sent ({} bytes), {} held back, {} heard, {} unread",
        shown["sent"], shown["bytes"], shown["held_back"], shown["heard"], shown["unread"]
    );
    let keys = ["member", "state", "started_ms", "refuted", "address"];
    table(&keys, &rows(&shown["members"], &keys));
    Ok(())
}
