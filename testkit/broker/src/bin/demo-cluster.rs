//! A whole installation on loopback with data in it: discovery, stores, a broker with all its fronts; or a site that a file
//! describes, with strict stores. Prints what to ask, and serves until Ctrl-C.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use clap::Parser;
use futures_lite::StreamExt;
use gingerledge_testkit::fleet::ledger::Ledger;
use gingerledge_testkit::site::Site;
use gingerledge_testkit::world::{Installed, Size, World};

const SIZE: Size = Size { stores: 6, used: 4, blocks: 12, weighers: 600, work: Duration::from_millis(5) };

#[derive(Parser)]
#[command(about = "Starts a small installation on loopback, prints what to ask, and serves until Ctrl-C")]
struct Arguments {
    /// A site file, as those in deploy/samples; without one, stores with data and blocks that move.
    #[arg(long)]
    site: Option<PathBuf>,
}

fn main() -> ExitCode {
    let ran = match Arguments::parse().site {
        Some(path) => Site::read(&path).map_err(Into::into).and_then(at_site),
        None => run(),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("world: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let world = World::start(&executor, SIZE)?;
        let dir = tempfile::tempdir()?;
        let operator = world.operator("coordinate = true");
        let broker = world.broker(&executor, "world", dir.path(), &operator).await?;
        let (platform, admin) = (broker.platform, broker.admin.ok_or("no operators' door")?);
        let features = broker.features.ok_or("no feature front")?;
        println!("A query on the platform's protocol, for two weigher blocks:");
        println!(
            "  curl -s http://{platform}/yard-compare -H 'X-Request-ID: q1' -H 'X-Priority-Class: yard-compare' \
             -H 'X-Tenant-Id: west-shore-club' -H 'X-Timeout-Ms: 2000' \
             -d '{{\"ranges\":[{{\"range\":0,\"portion\":0.5}},{{\"range\":1,\"portion\":0.5}}],\"predicate\":\"all\"}}'"
        );
        println!("Weighers as OGC features:");
        println!("  curl -s 'http://{features}/collections/weighers/items?bbox=-92,44,-91.5,45&limit=3'");
        println!("Who holds which block; and a block moved to another store:");
        println!("  curl -s http://{admin}/blocks");
        println!("  curl -s -X PUT http://{admin}/blocks/move -d '{{\"block\":0,\"from\":\"s-0\",\"to\":\"s-5\"}}'");
        println!("Ctrl-C ends it.");
        let mut signals = Signals::new([Signal::Int, Signal::Term])?;
        signals.next().await;
        broker.stop().await;
        Ok(())
    }))
}

fn at_site(site: Site) -> Result<(), Box<dyn std::error::Error>> {
    let (executor, ledger) = (Rc::new(LocalExecutor::new()), Rc::new(Ledger::default()));
    async_io::block_on(executor.run(async {
        let (installed, dir) = (Installed::start(&executor, site, &ledger)?, tempfile::tempdir()?);
        let broker = installed.broker(&executor, dir.path()).await?;
        let site = &installed.witness.site;
        println!("The site {} runs: {} stores, {} shards.", site.name, site.stores.count, site.stores.shards);
        for (n, class) in site.class.iter().enumerate() {
            println!("A query of class {}, {:?} to repeat:", class.name, class.repeat);
            let text = installed.witness.ask(&format!("{}-1", class.name), n, 0, None, true);
            println!("  {}", curl(broker.platform, &class.name, &String::from_utf8_lossy(&text)));
        }
        println!(
            "The stores are strict: a part that is not as one of these lines asks it, at a store that does not hold its \
             shard, sent once too often or too late, or out twice, is a breach. Ctrl-C ends it and says which there were."
        );
        let mut signals = Signals::new([Signal::Int, Signal::Term])?;
        signals.next().await;
        broker.stop().await;
        let breaches = ledger.seen();
        println!("{} breaches", breaches.len());
        breaches.iter().for_each(|breach| println!("  {breach}"));
        Ok(())
    }))
}

/// A request as a line for the shell.
fn curl(at: std::net::SocketAddr, class: &str, text: &str) -> String {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let told = |line: &&str| line.starts_with("X-") || line.starts_with("Idempotency-Key");
    let headers: String = head.lines().filter(told).map(|line| format!(" -H '{line}'")).collect();
    format!("curl -s http://{at}/{class}{headers} -d '{body}'")
}
