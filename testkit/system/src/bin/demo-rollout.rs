//! Runs the whole rollout scheduler on loopback with stand-in stores, an operator and a trainer, and prints the trainer's
//! steps as they go round. Usage: `demo-rollout [FOLDER OF THE PROGRAMS] [STEPS]`; the folder is that of this program by default.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use gingerledge_system_testkit::{configuration, Fleet, Operator, Step, Store, StoreSettings, Trainer};

const PATIENCE: Duration = Duration::from_secs(30);
/// Addresses 127.NETWORK.0.0/16 are this program's.
const NETWORK: u8 = 77;
/// How many of the stores make texts; the others answer look-ups.
const ENGINES: u8 = 2;
const STORES: u8 = 4;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let own = std::env::current_exe()?;
    let own = own.parent().map(PathBuf::from).unwrap_or_default();
    let programs = arguments.next().map_or(own, PathBuf::from);
    let steps: u64 = arguments.next().map_or(Ok(5), |steps| steps.parse())?;

    let folder = std::env::temp_dir().join(format!("demo-rollout-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    println!("programs from {}, logs and disks in {}", programs.display(), folder.display());
    let mut fleet = Fleet::new(&programs, &folder, NETWORK, (3, 3, 3))?;
    fleet.start_all()?;
    println!("started 3 control nodes, 3 backends and 3 edges; edges at {:?}", fleet.edges());

    let mut stores = Vec::new();
    for number in 0..STORES {
        stores.push(Store::start(store(number), fleet.control()).await?);
    }
    let operator = Operator::new(fleet.control());
    let status = operator.replace(0, &configuration(1, &["m0"]), PATIENCE).await;
    println!("configuration 1: {status:?}");

    let trainer = Trainer::new(fleet.edges());
    for number in 0..steps {
        let named = operator.name_version("m0", number + 2, PATIENCE).await;
        let step = Step {
            id: format!("{:016x}", 0x5eed_0000 + number),
            step: number,
            model: "m0".to_owned(),
            min_version: number + 2,
            groups: 6,
            size: 4,
            desired: 5,
        };
        let began = Instant::now();
        let taken = trainer.submit(&step, PATIENCE).await;
        let results = trainer.collect(&step, PATIENCE).await;
        let ended = trainer.end(&step.id, PATIENCE).await;
        println!(
            "step {number}: version {} {named:?}, taken {taken}, {} results in {:?}, ended {ended}",
            number + 2,
            results.len(),
            began.elapsed()
        );
    }
    Ok(())
}

fn store(number: u8) -> StoreSettings {
    let models: &[&str] = if number < ENGINES { &["m0"] } else { &[] };
    StoreSettings {
        events: 10,
        pause: Duration::from_millis(10),
        heartbeat: Duration::from_millis(500),
        ..StoreSettings::numbered(NETWORK, number, models)
    }
}
