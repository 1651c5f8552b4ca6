//! The subcommand `gingerledge blocks`: prints the block map and its changes, as text or with `--json` as JSON, and requests
//! changes.

use clap::{Args, Subcommand};
use serde_json::{json, Value};

use super::table::{print_table, rows, text};
use super::{admin, validate, QueryArguments};

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    query: QueryArguments,
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Who holds which block, and what is under way.
    Show {
        /// From this block's number on.
        #[arg(long, default_value_t = 0)]
        from: u32,
        /// Only what is under way and what has ended lately.
        #[arg(long)]
        changes: bool,
    },
    /// What would be done next.
    Plan {
        /// Do it.
        #[arg(long)]
        run: bool,
    },
    /// Move a replica; without --from one more is made, without --to one is given up.
    Move {
        /// The block.
        block: u32,
        /// The store that gives it up.
        #[arg(long, required_unless_present = "to")]
        from: Option<String>,
        /// The store that takes it.
        #[arg(long)]
        to: Option<String>,
    },
    /// Make two blocks of one.
    Split {
        /// The block.
        block: u32,
        /// The first weigher of the second.
        #[arg(long)]
        at: u64,
    },
    /// Make one block of two neighbours on the same stores.
    Merge {
        /// One.
        block: u32,
        /// The other.
        #[arg(long)]
        with: u32,
    },
    /// Have a change go back, if it still can.
    Abandon {
        /// Its number.
        change: u64,
    },
    /// Prove a map that stands in a file, and the passage to it; asks nobody.
    Validate {
        /// The map, in the format of docs/design/blocks.md.
        file: std::path::PathBuf,
        /// The map that holds before it.
        #[arg(long)]
        against: Option<std::path::PathBuf>,
    },
    /// Begin no more changes.
    Pause,
    /// Begin changes again.
    Resume,
}

/// Runs the subcommand.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    let put = |path: &str, body: Value| {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let reply = admin::request(arguments.query.admin, "PUT", path, &body)?;
        let text = String::from_utf8_lossy(&reply).trim().to_owned();
        match arguments.query.json {
            true => println!("{}", json!({ "done": text })),
            false => println!("{text}"),
        }
        Ok(())
    };
    match &arguments.what {
        Command::Show { from, changes } => show(arguments, *from, *changes),
        Command::Plan { run } => plan(arguments, *run),
        Command::Move { block, from, to } => {
            let mut body = json!({ "block": block });
            for (key, store) in [("from", from), ("to", to)] {
                if let Some(store) = store {
                    body[key] = store.as_str().into();
                }
            }
            put("/blocks/move", body)
        }
        Command::Split { block, at } => put("/blocks/split", json!({ "block": block, "at": at })),
        Command::Merge { block, with } => put("/blocks/merge", json!({ "block": block, "with": with })),
        Command::Abandon { change } => put("/blocks/abandon", json!({ "change": change })),
        Command::Validate { file, against } => validate::run(file, against.as_deref(), arguments.query.json),
        Command::Pause => put("/blocks/pause", Value::Null),
        Command::Resume => put("/blocks/resume", Value::Null),
    }
}

fn show(arguments: &Arguments, from: u32, changes: bool) -> Result<(), String> {
    let mut next = Some(from);
    let (mut first, mut blocks) = (None, Vec::new());
    while let Some(at) = next {
        let page = admin::json(arguments.query.admin, "GET", &format!("/blocks?from={at}"))?;
        next = page["next"].as_u64().map(|next| next as u32).filter(|_| !changes);
        blocks.extend(page["blocks"].as_array().cloned().unwrap_or_default());
        first.get_or_insert(page);
    }
    let mut response = first.unwrap_or_default();
    response["blocks"] = if changes { json!([]) } else { blocks.into() };
    if arguments.query.json {
        println!("{response}");
        return Ok(());
    }
    println!(
        "term {}, version {}, {} blocks{}",
        response["term"],
        response["version"],
        response["count"],
        if response["paused"] == true { ", paused" } else { "" }
    );
    if !changes {
        print_table(
            &["block", "first", "end", "stores"],
            &rows(&response["blocks"], &["block", "first", "end", "stores"]),
        );
    }
    for (key, title) in [("changes", "under way"), ("past", "ended lately")] {
        let changes_found =
            rows(&response[key], &["change", "kind", "block", "from", "to", "step", "stuck", "reason"]);
        if !changes_found.is_empty() {
            println!("\n{title}");
            print_table(
                &["change", "kind", "block", "from", "to", "step", "stuck", "reason"],
                &changes_found,
            );
        }
    }
    let unheard = text(&response["unheard"]);
    if !unheard.is_empty() {
        println!("\nhave not said what they hold: {unheard}");
    }
    Ok(())
}

fn plan(arguments: &Arguments, run: bool) -> Result<(), String> {
    let plan = admin::json(arguments.query.admin, if run { "PUT" } else { "GET" }, "/blocks/plan")?;
    if arguments.query.json {
        println!("{plan}");
        return Ok(());
    }
    let planned_changes = rows(&plan["wishes"], &["kind", "block", "from", "to", "bytes", "urgent", "why"]);
    match planned_changes.is_empty() {
        true => println!("nothing to do"),
        false => print_table(&["kind", "block", "from", "to", "bytes", "urgent", "why"], &planned_changes),
    }
    if plan["later"].as_u64().unwrap_or(0) > 0 {
        println!("\n{} more wait for a later plan", plan["later"]);
    }
    let stranded = rows(&plan["stranded"], &["block", "why"]);
    if !stranded.is_empty() {
        println!("\nstranded");
        print_table(&["block", "why"], &stranded);
    }
    let skew = &plan["fullest_over_mean"];
    println!(
        "\nfullest store over the mean: {:.2} now, {:.2} then",
        skew["now"].as_f64().unwrap_or(1.0),
        skew["then"].as_f64().unwrap_or(1.0)
    );
    if run {
        println!("begun {}; refused: {}", plan["begun"], text(&plan["refused"]));
    }
    Ok(())
}
