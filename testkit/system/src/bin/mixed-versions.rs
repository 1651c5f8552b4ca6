//! Runs two builds of the scheduler's programs as one system on loopback, and checks that state and service survive each mixture.
//!
//! Usage: `mixed-versions OLD NEW`, each the folder of a build's programs. The phases:
//!
//! 1. all programs old: a configuration, a batch job and its results;
//! 2. one old control node beside two new ones, a new edge under old and new parents;
//! 3. all control nodes new, so that the old edge, restarted, is under a new parent;
//! 4. each backend upgraded in place, on its old disk;
//! 5. all programs new.
//!
//! In each phase a configuration is replaced and read back, a version is named, a batch job runs at each edge, and the results of all
//! earlier batch jobs are what they were. Prints a line a check; ends with 1 if one fails.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use gingerledge_protocol::ListedResult;
use gingerledge_system_testkit::{
    call, configuration, Fleet, FleetError, Operator, Step, Store, StoreSettings, Trainer,
};
use hyper::{Method, StatusCode};

/// How long a condition may take; only a fault reaches it.
const DEADLINE: Duration = Duration::from_secs(60);
/// The pause before a condition is looked at again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Addresses 127.NETWORK.0.0/16 are this program's.
const NETWORK: u8 = 78;
/// How many of the stores make texts; the others answer look-ups.
const ENGINES: u8 = 3;
const STORES: u8 = 5;
const GROUPS: usize = 4;
const GROUP_SIZE: usize = 4;
const MODEL: &str = "m0";

/// Runs two builds of the programs as one system, and checks what each mixture keeps and serves.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The folder of the old programs
    #[bpaf(positional("OLD"))]
    old: PathBuf,
    /// The folder of the new programs
    #[bpaf(positional("NEW"))]
    new: PathBuf,
}

/// The running system, and what it has been given so far.
struct Mixture {
    fleet: Fleet,
    /// They answer while they live.
    _stores: Vec<Store>,
    operator: Operator,
    trainer: Trainer,
    configuration_version: u64,
    finished: Vec<(Step, Vec<ListedResult>)>,
    passed: usize,
    failed: usize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options().run();
    match run(&options).await {
        Ok((passed, failed)) => {
            println!("{passed} passed, {failed} failed");
            ExitCode::from(u8::from(failed > 0))
        }
        Err(error) => {
            eprintln!("mixed-versions: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> Result<(usize, usize), FleetError> {
    let folder = std::env::temp_dir().join(format!("mixed-versions-{}", std::process::id()));
    std::fs::create_dir_all(&folder)
        .map_err(|source| FleetError::System { what: format!("{}", folder.display()), source })?;
    println!("logs and disks in {}", folder.display());
    let mut mixture = Mixture::start(&options.old, &folder).await?;
    mixture.check_phase("all old").await;

    mixture.upgrade(&["core-2", "core-3", "edge-2"], &options.new)?;
    mixture.check_phase("one old control node, a new edge").await;

    mixture.upgrade(&["core-1"], &options.new)?;
    mixture.upgrade(&["edge-1"], &options.old)?;
    mixture.check_phase("control nodes new, an old edge under a new parent").await;

    for backend in ["backend-1", "backend-2", "backend-3"] {
        mixture.upgrade(&[backend], &options.new)?;
        mixture.check_phase(&format!("{backend} upgraded in place")).await;
    }

    mixture.upgrade(&["edge-1"], &options.new)?;
    mixture.check_phase("all new").await;
    Ok((mixture.passed, mixture.failed))
}

impl Mixture {
    async fn start(programs: &Path, folder: &Path) -> Result<Self, FleetError> {
        let mut fleet = Fleet::new(programs, folder, NETWORK, (3, 3, 2))?;
        fleet.start_all()?;
        let mut stores = Vec::new();
        for number in 0..STORES {
            let store = Store::start(store_settings(number), fleet.control()).await;
            stores.push(store.map_err(|source| FleetError::System { what: "store".to_owned(), source })?);
        }
        let operator = Operator::new(fleet.control());
        let trainer = Trainer::new(fleet.edges());
        let (finished, configuration_version) = (Vec::new(), 0);
        Ok(Self {
            fleet,
            _stores: stores,
            operator,
            trainer,
            configuration_version,
            finished,
            passed: 0,
            failed: 0,
        })
    }

    fn upgrade(&mut self, names: &[&str], programs: &Path) -> Result<(), FleetError> {
        names.iter().try_for_each(|name| self.fleet.replace_program(name, programs))
    }

    async fn check_phase(&mut self, phase: &str) {
        println!("{phase}:");
        self.check_configuration().await;
        self.check_edges().await;
        self.check_batch_job().await;
        self.check_earlier_results().await;
    }

    async fn check_configuration(&mut self) {
        let base = self.configuration_version;
        let next = configuration(base + 1, &[MODEL]);
        let status = self.operator.replace(base, &next, DEADLINE).await;
        self.check("the configuration is replaced on its base", status == Some(StatusCode::OK));
        self.configuration_version = base + 1;
        let read = self.operator.read(DEADLINE).await;
        let read = read.and_then(|answer| serde_json::from_slice::<serde_json::Value>(&answer.body).ok());
        self.check("the configuration is read back", read == Some(next));
        let named = self.operator.name_version(MODEL, base + 2, DEADLINE).await;
        self.check("a version of the weights is named", named == Some(StatusCode::OK));
    }

    async fn check_edges(&mut self) {
        for edge in self.fleet.edges() {
            let served = is_served(edge).await;
            self.check("an edge serves a look-up", served);
        }
    }

    async fn check_batch_job(&mut self) {
        let number = self.finished.len() as u64;
        let step = Step {
            id: format!("{:016x}", 0x3e55_0000 + number),
            step: number,
            model: MODEL.to_owned(),
            min_version: number + 2,
            groups: GROUPS,
            size: GROUP_SIZE,
            desired: GROUPS,
        };
        let accepted = self.trainer.submit(&step, DEADLINE).await;
        self.check("a batch job is accepted", accepted);
        let results = self.trainer.collect(&step, DEADLINE).await;
        self.check("the batch job has all results", results.len() == GROUPS * GROUP_SIZE);
        self.finished.push((step, results));
    }

    async fn check_earlier_results(&mut self) {
        let finished = std::mem::take(&mut self.finished);
        for (step, results) in &finished {
            let again = self.trainer.collect(step, DEADLINE).await;
            self.check("earlier results are unchanged", again == *results);
        }
        self.finished = finished;
    }

    fn check(&mut self, what: &str, holds: bool) {
        println!("  {}: {what}", if holds { "passed" } else { "FAILED" });
        if holds {
            self.passed += 1;
        } else {
            self.failed += 1;
        }
    }
}

/// Whether an edge forwards a look-up to a store within the deadline.
async fn is_served(edge: SocketAddr) -> bool {
    let began = Instant::now();
    while began.elapsed() < DEADLINE {
        let id = format!("{:016x}", fastrand::u64(..));
        let headers = [("Host", "hives.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "2000")];
        let path = "/weights/hive-7";
        let answer =
            call(edge, Method::POST, path, &headers, b"query".to_vec(), Duration::from_secs(3)).await;
        if answer.is_ok_and(|answer| answer.headers.contains_key("server-signature")) {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

fn store_settings(number: u8) -> StoreSettings {
    let models: &[&str] = if number < ENGINES { &[MODEL] } else { &[] };
    StoreSettings::numbered(NETWORK, number, models)
}
