//! Starts a small deployment of the scheduler with stand-ins for its stores and one trainer. One store of seven fails some of its
//! requests with 500; a few of its answers come twice, the second one late, in the slot where the next answer is due.
//!
//! Arguments: the folder of the programs, a temporary folder, the path of the record, and 1 (with the disruption), `errors` (only
//! the answers of 500, none of them twice) or 0 (without). Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "samples.example";
const MODEL: &str = "m0";
const CONTROL_PORT: u16 = 8144;
const FRONT_PORT: u16 = 8149;
const READINESS_PORT: u16 = 8141;
const INTERNAL_PORT: u16 = 7380;
const STORE_PORT: u16 = 9001;

const MAX_ATTEMPTS: u32 = 3;
const RETENTION_S: u64 = 60;

/// Stores of the service that makes samples. One of them is in trouble: 1 of 7 is less than the share of 0.15 of the pages.
const SAMPLE_STORES: usize = 7;
const TROUBLED_STORE: usize = 0;
/// Doses of the pages: how long, which part of the requests of the troubled store fails, which part of its answers is spoiled.
const TROUBLE_TIME: Duration = Duration::from_millis(4900);
const MAX_FAILED_PART: f64 = 0.4;
const MAX_SPOILED_PART: f64 = 0.03;

const BATCH_JOBS: usize = 16;
const GROUPS_PER_JOB: usize = 16;
const ITEMS_PER_GROUP: usize = 4;
const BETWEEN_JOBS: Duration = Duration::from_millis(300);
const EVENTS: usize = 5;
const BETWEEN_EVENTS: Duration = Duration::from_millis(20);

/// Which disruption strikes.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    None,
    Errors,
    ErrorsAndSurplus,
}

/// What the stores have seen and answered.
#[derive(Default)]
struct Seen {
    /// Start of the disruption.
    trouble_since: Option<Instant>,
    runs: HashMap<String, u32>,
    failures: HashMap<String, u32>,
    /// Items that the troubled store fails twice.
    chosen: Vec<String>,
    /// Requests for samples since the start of the disruption, at the troubled store and at all.
    troubled_requests: u32,
    /// Answers to these that the troubled store has sent whole.
    troubled_answers: u32,
    requests: u32,
    failed: u32,
    spoiled: u32,
}

struct World {
    started: Instant,
    record: Mutex<File>,
    seen: Mutex<Seen>,
    trouble: Trouble,
    control: Vec<String>,
}

impl World {
    fn note(&self, text: &str) {
        let line = format!("{:>8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let mut record = lock(&self.record);
        let _ = record.write_all(line.as_bytes());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One HTTP message: its first line, its headers with names in lower case, and its body.
struct Message {
    first_line: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

fn end_of_stream() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the peer closed the connection")
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(end_of_stream());
    }
    Ok(line.trim_end().to_owned())
}

fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let first_line = read_line(reader)?;
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length").and_then(|value| value.parse::<usize>().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if headers.get("transfer-encoding").is_some_and(|value| value == "chunked") {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16).map_err(|_| end_of_stream())?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk);
        }
    }
    Ok(Message { first_line, headers, body })
}

/// Makes one call on a new connection.
fn call(address: &str, method: &str, path: &str, headers: &str, body: &str) -> io::Result<Message> {
    let target = address.parse().map_err(|_| end_of_stream())?;
    let stream = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    stream.set_nodelay(true)?;
    let length = body.len();
    (&stream).write_all(
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        )
        .as_bytes(),
    )?;
    read_message(&mut BufReader::new(&stream))
}

/// One store of a service.
struct Store {
    number: usize,
    id: String,
    service: &'static str,
    address: String,
    makes_samples: bool,
    world: Arc<World>,
}

impl Store {
    fn start(store: Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(&store.address)?;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(&stream));
            }
        });
        thread::spawn(move || store.send_heartbeats());
        Ok(())
    }

    fn send_heartbeats(&self) {
        let models = if self.makes_samples {
            format!(r#"{{"name":"{MODEL}","version":1,"adapters":[]}}"#)
        } else {
            String::new()
        };
        for sequence in 1_u64.. {
            let body = format!(
                concat!(
                    r#"{{"service":"{}","address":"{}","zone":"zone-0","version":"v1","slots":12,"state":"ready","#,
                    r#""coldRemainingMs":0,"stage":"both","models":[{}],"sequence":{}}}"#
                ),
                self.service, self.address, models, sequence
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            for turn in 0..self.world.control.len() {
                let address = &self.world.control[(self.number + turn) % self.world.control.len()];
                let answer = call(address, "POST", &path, "Content-Type: application/json\r\n", &body);
                if answer.is_ok_and(|message| message.status() < 300) {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(400));
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut surplus = None;
        while let Ok(request) = read_message(&mut reader) {
            if self.answer(&request, stream, &mut surplus).is_err() {
                return;
            }
        }
    }

    /// Answers one request. `surplus` is the second answer that this connection still owes.
    fn answer(
        &self,
        request: &Message,
        mut stream: &TcpStream,
        surplus: &mut Option<(String, String)>,
    ) -> io::Result<()> {
        let id = request.header("attempt-id");
        let expected = request.header("expected-instance");
        if let Some((earlier, answer)) = surplus.take() {
            self.world.note(&format!("store {} sends the surplus answer of item {earlier}, late", self.id));
            stream.write_all(answer.as_bytes())?;
        }
        if !expected.is_empty() && expected != self.id {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return stream.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes());
        }
        match request.path() {
            "/healthz" => {
                let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n", self.id);
                stream.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes())
            }
            "/report" => {
                let body = format!(
                    concat!(
                        r#"{{"stage":"both","models":[{{"name":"{}","version":1,"adapters":[]}}],"utilization":false,"#,
                        r#""sequence":0,"waiting":0,"running":0,"kvCacheUsed":0,"kvCacheTotal":90000,"handles":0}}"#
                    ),
                    MODEL
                );
                let length = body.len();
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes())
            }
            // The only version is the one that the stores hold.
            "/order" => stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            _ if self.makes_samples => self.run_item(id, request, stream, surplus),
            _ => {
                self.world.note(&format!("store {} scores {id}: 200", self.id));
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: score.{id}\r\n");
                stream.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())
            }
        }
    }

    fn run_item(
        &self,
        id: &str,
        request: &Message,
        mut stream: &TcpStream,
        surplus: &mut Option<(String, String)>,
    ) -> io::Result<()> {
        let (run, fails, is_spoiled) = self.decide(id);
        self.world.note(&format!("store {} runs item {id}, run {run}", self.id));
        let signature = format!("{}.{id}.{run}", self.id);
        if fails {
            thread::sleep(BETWEEN_EVENTS);
            let head = format!(
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nServer-Signature: {signature}\r\n"
            );
            let answer = format!("{head}Content-Length: 6\r\n\r\nfailed");
            self.world.note(&format!("store {} answers item {id}, run {run}: 500", self.id));
            if is_spoiled {
                *surplus = Some((id.to_owned(), answer.clone()));
            }
            self.count_answer();
            return stream.write_all(answer.as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {signature}\r\nWeight-Versions: 1\r\n"
        );
        stream.write_all(
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes(),
        )?;
        let first = request.header("last-event-id").parse::<usize>().unwrap_or(0) + 1;
        for event in first..=EVENTS {
            thread::sleep(BETWEEN_EVENTS);
            let data = format!("id: {event}\ndata: {id}-{event}\n\n");
            stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.count_answer();
        self.world.note(&format!("store {} answers item {id}, run {run}: 200, whole", self.id));
        Ok(())
    }

    /// Counts an answer of the troubled store, from the start of the disruption on.
    fn count_answer(&self) {
        let mut seen = lock(&self.world.seen);
        if self.number == TROUBLED_STORE
            && seen.trouble_since.is_some_and(|since| since.elapsed() < TROUBLE_TIME)
        {
            seen.troubled_answers += 1;
        }
    }

    /// Counts a run of an item. Returns its number, whether it fails, and whether its answer comes twice.
    fn decide(&self, id: &str) -> (u32, bool, bool) {
        let trouble = self.world.trouble;
        let mut seen = lock(&self.world.seen);
        let run = {
            let runs = seen.runs.entry(id.to_owned()).or_default();
            *runs += 1;
            *runs
        };
        let in_trouble = seen.trouble_since.is_some_and(|since| since.elapsed() < TROUBLE_TIME);
        if !in_trouble {
            return (run, false, false);
        }
        seen.requests += 1;
        if self.number != TROUBLED_STORE {
            return (run, false, false);
        }
        seen.troubled_requests += 1;
        if trouble == Trouble::None {
            return (run, false, false);
        }
        let may_fail = f64::from(seen.failed + 2) <= MAX_FAILED_PART * f64::from(seen.troubled_requests);
        let may_spoil = f64::from(seen.spoiled + 1) <= MAX_SPOILED_PART * f64::from(seen.troubled_answers);
        let is_chosen = seen.chosen.iter().any(|chosen| chosen == id);
        let (fails, is_spoiled) = if is_chosen {
            (seen.failures.get(id).is_some_and(|&failures| failures < 2), false)
        } else if run == 1 && may_fail && may_spoil {
            seen.chosen.push(id.to_owned());
            (true, trouble == Trouble::ErrorsAndSurplus)
        } else {
            (false, false)
        };
        if fails {
            seen.failed += 1;
            *seen.failures.entry(id.to_owned()).or_default() += 1;
        }
        if is_spoiled {
            seen.spoiled += 1;
        }
        (run, fails, is_spoiled)
    }
}

/// The processes of the deployment. They are killed when this is dropped, and the list of their ids is removed.
struct Fleet {
    children: Vec<Child>,
    process_ids: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.process_ids);
    }
}

struct Machine {
    name: String,
    class: &'static str,
    ip: String,
    zone: usize,
}

fn machines(network: u8) -> Vec<Machine> {
    let classes = [("core", 0, 3), ("backend", 1, 3), ("edge", 2, 3)];
    let of_class = |(class, third, count): (&'static str, u8, usize)| {
        (0..count).map(move |number| Machine {
            name: format!("{class}-{}", number + 1),
            class,
            ip: format!("127.{network}.{third}.{}", number + 1),
            zone: number % 3,
        })
    };
    classes.into_iter().flat_map(of_class).collect()
}

fn stores_of(network: u8, world: &Arc<World>) -> Vec<Arc<Store>> {
    let store = |number: usize, service, makes_samples| {
        Arc::new(Store {
            number,
            id: format!("i-{service}-{}", number + 1),
            service,
            address: format!(
                "127.{network}.3.{}:{STORE_PORT}",
                number + 1 + if makes_samples { 0 } else { 100 }
            ),
            makes_samples,
            world: Arc::clone(world),
        })
    };
    let samples = (0..SAMPLE_STORES).map(|number| store(number, "sampler", true));
    samples.chain((0..2).map(|number| store(number, "scorer", false))).collect()
}

/// Finds a loopback network on which all the ports are free.
fn free_network() -> Option<u8> {
    let first = (std::process::id() % 150) as u8;
    (0..150_u8).map(|step| 60 + (first + step) % 150).find(|&network| {
        let ports = |machine: &Machine| match machine.class {
            "core" => vec![CONTROL_PORT, INTERNAL_PORT],
            "edge" => vec![FRONT_PORT, READINESS_PORT, INTERNAL_PORT],
            _ => vec![INTERNAL_PORT],
        };
        machines(network).iter().all(|machine| {
            ports(machine).iter().all(|port| TcpListener::bind((machine.ip.as_str(), *port)).is_ok())
        })
    })
}

/// Writes the settings file of a machine, as the pages describe it for a small deployment.
fn write_settings(machine: &Machine, network: u8, folder: &Path) -> io::Result<PathBuf> {
    let ip = &machine.ip;
    let (role, serves, listen, disk_mb) = match machine.class {
        "core" => ("control", "control_plane", format!(r#""controlPlane":"{ip}:{CONTROL_PORT}""#), 128),
        "edge" => (
            "edge",
            "edge",
            format!(r#""frontend":"{ip}:{FRONT_PORT}","readiness":"{ip}:{READINESS_PORT}""#),
            0,
        ),
        _ => ("backend", "backend", String::new(), 590),
    };
    let data_dir = folder.join(format!("disk-{}", machine.name));
    let data_dir = if machine.class == "edge" {
        "null".to_owned()
    } else {
        fs::create_dir_all(&data_dir)?;
        format!("\"{}\"", data_dir.display())
    };
    let seeds: Vec<String> = machines(network)
        .iter()
        .filter(|other| other.class == "core")
        .map(|core| format!("\"{}:{CONTROL_PORT}\"", core.ip))
        .collect();
    let settings = format!(
        concat!(
            r#"{{"nodeName":"{name}","role":"{role}","machineClass":"{class}","serves":["{serves}"],"ip":"{ip}","#,
            r#""zone":"zone-{zone}","region":"r","zones":{{"zone-0":"r","zone-1":"r","zone-2":"r"}},"listen":{{{listen}}},"#,
            r#""internalPorts":[7380,7395],"seeds":[{seeds}],"bootstrap":true,"countsForQuorum":{counts},"#,
            r#""limits":{{"cpuShare":0.25,"cores":1,"memoryMb":300,"fileDescriptors":4100,"linkMbps":1000.0,"diskMb":{disk}}},"#,
            r#""dataDir":{data},"discovery":"registration","entry":"virtual_ip","heartbeatMs":500,"contracts":["base"],"#,
            r#""faultTolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seedLagS":3,"reuseAfterS":2,"#,
            r#""contactMs":3000,"ackMs":4000,"catchUpS":5.4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"#,
            r#""configApplyMs":2000,"rollbackSlackMs":250,"stretchMs":5000,"recoveryS":12,"pass_ms":120,"again_s":0,"#,
            r#""finishS":10,"statusS":120,"cancelMs":3000,"settleMs":1000,"quotaOvershoot":0.1,"fencing":true,"#,
            r#""leaseMs":3000,"thawMs":300}}}}"#
        ),
        name = machine.name,
        role = role,
        class = machine.class,
        serves = serves,
        ip = ip,
        zone = machine.zone,
        listen = listen,
        seeds = seeds.join(","),
        counts = machine.class != "edge",
        disk = disk_mb,
        data = data_dir,
    );
    let path = folder.join(format!("{}.json", machine.name));
    fs::write(&path, settings)?;
    Ok(path)
}

fn start_fleet(network: u8, programs: &Path, folder: &Path) -> io::Result<Fleet> {
    let list = folder.join("process-ids");
    let mut process_ids = File::create(&list)?;
    let mut fleet = Fleet { children: Vec::new(), process_ids: list };
    for machine in machines(network) {
        let program = match machine.class {
            "core" => "gingerledge-control",
            "edge" => "gingerledge-edge",
            _ => "gingerledge-backend",
        };
        let settings = write_settings(&machine, network, folder)?;
        let child = Command::new(programs.join(program))
            .env("GINGERLEDGE_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(folder.join(format!("{}.log", machine.name)))?)
            .spawn()?;
        writeln!(process_ids, "{}", child.id())?;
        fleet.children.push(child);
    }
    Ok(fleet)
}

fn configuration() -> String {
    format!(
        concat!(
            r#"{{"version":1,"routes":[{{"name":"scores","host":"{host}","pathPrefix":"/scores/","routeKind":"idempotent","#,
            r#""timeoutMs":5000,"targetLatencyMs":500,"priority":2,"service":"scorer","maxAttempts":4}},"#,
            r#"{{"name":"samples","host":"{host}","pathPrefix":"/samples/","routeKind":"deployment","targetLatencyMs":500,"#,
            r#""targetCompletionMs":10000,"retentionS":{retention},"timeoutMs":10000,"priority":1,"service":"sampler","#,
            r#""maxAttempts":{attempts},"sticky":true,"resumable":true}}],"#,
            r#""services":[{{"name":"scorer","healthPath":"/healthz","connectionLimit":100,"protocol":"h1","tls":false}},"#,
            r#"{{"name":"sampler","healthPath":"/healthz","connectionLimit":150,"protocol":"h1","tls":false,"#,
            r#""engine":{{"slots":12,"kvCacheTokens":90000,"kvBytes":131072,"linkMbps":4400000.0,"stride":62,"#,
            r#""models":[{{"name":"{model}"}}]}}}}],"#,
            r#""limits":{{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        ),
        host = HOST,
        retention = RETENTION_S,
        attempts = MAX_ATTEMPTS,
        model = MODEL,
    )
}

fn batch_job(step: usize) -> String {
    let item = |group: usize, number: usize| {
        let id = format!("{step:02}{group:02}{number:02}");
        format!(
            concat!(
                r#"{{"id":"{id}","path":"/samples/{id}","headers":{{"Model":"{model}","Token-Count":"540,400","#,
                r#""Prompt-Prefix":"g{step}x{group}:300"}},"body":"q83vEjRWeJA=","tokens":940,"group":"g{step}x{group}","#,
                r#""scoringEndpoint":{{"id":"r{id}","host":"{host}","path":"/scores/{id}","body":"3q2+7w=="}}}}"#
            ),
            id = id,
            model = MODEL,
            step = step,
            group = group,
            host = HOST,
        )
    };
    let items: Vec<String> = (0..GROUPS_PER_JOB)
        .flat_map(|group| (0..ITEMS_PER_GROUP).map(move |number| item(group, number)))
        .collect();
    format!(
        r#"{{"step":{step},"model":"{MODEL}","minVersion":1,"desired":{GROUPS_PER_JOB},"items":[{}]}}"#,
        items.join(",")
    )
}

/// Repeats a call until it succeeds or the time is over.
fn repeat<T>(time: Duration, mut attempt: impl FnMut(usize) -> Option<T>) -> Option<T> {
    let started = Instant::now();
    for count in 0.. {
        if let Some(value) = attempt(count) {
            return Some(value);
        }
        if started.elapsed() > time {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

/// Submits a batch job until it is accepted.
fn submit(world: &World, fronts: &[String], step: usize) -> Option<()> {
    let body = batch_job(step);
    let headers = format!("Attempt-Id: job{step}\r\nContent-Type: application/json\r\n");
    repeat(Duration::from_secs(20), |count| {
        let front = &fronts[(step + count) % fronts.len()];
        let status = call(front, "POST", &format!("/samples/job{step}"), &headers, &body)
            .map_or(0, |answer| answer.status());
        world.note(&format!("batch job {step} is sent to {front}: {status}"));
        (status == 202).then_some(())
    })
}

/// Reads all results of a batch job that are listed within the time: the id and the state of each.
fn read_results(fronts: &[String], step: usize, time: Duration) -> Vec<(String, String)> {
    let mut results: Vec<(String, String)> = Vec::new();
    repeat(time, |count| {
        let path = format!("/lots/job{step}?startAfter={}", results.len());
        let answer = call(&fronts[(step + count) % fronts.len()], "GET", &path, "", "").ok()?;
        if answer.status() == 200 {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            for result in body.split(r#"{"id":""#).skip(1) {
                let id = result.split('"').next().unwrap_or_default();
                let state = result
                    .split(r#""state":""#)
                    .nth(1)
                    .and_then(|rest| rest.split('"').next())
                    .unwrap_or_default();
                results.push((id.to_owned(), state.to_owned()));
            }
        }
        (results.len() >= GROUPS_PER_JOB * ITEMS_PER_GROUP).then_some(())
    });
    results
}

/// Plays the case. Returns the number of results that break the rule.
fn play(world: &Arc<World>, network: u8, programs: &Path, folder: &Path) -> Result<usize, String> {
    let _fleet = start_fleet(network, programs, folder).map_err(|error| format!("start: {error}"))?;
    for store in stores_of(network, world) {
        Store::start(store).map_err(|error| format!("store: {error}"))?;
    }
    let of_edges = |port| -> Vec<String> {
        machines(network)
            .iter()
            .filter(|machine| machine.class == "edge")
            .map(|edge| format!("{}:{port}", edge.ip))
            .collect()
    };
    let fronts = of_edges(FRONT_PORT);
    let headers = "Base-Version: 0\r\nContent-Type: application/json\r\n";
    repeat(Duration::from_secs(20), |count| {
        let address = &world.control[count % world.control.len()];
        let answer = call(address, "POST", "/configuration/replace", headers, &configuration()).ok()?;
        (answer.status() == 200).then_some(())
    })
    .ok_or("the configuration was not accepted")?;
    for readiness in of_edges(READINESS_PORT) {
        repeat(Duration::from_secs(20), |_| {
            let answer = call(&readiness, "GET", "/readiness", "", "").ok()?;
            (answer.status() == 200).then_some(())
        })
        .ok_or("an edge did not become ready")?;
    }
    world.note("all edges are ready");
    submit(world, &fronts, 0).ok_or("the first batch job was not accepted")?;
    if read_results(&fronts, 0, Duration::from_secs(20)).len() < GROUPS_PER_JOB * ITEMS_PER_GROUP {
        return Err("the batch job before the disruption was not finished".to_owned());
    }
    let mut sent = vec![(0, Instant::now())];
    lock(&world.seen).trouble_since = Some(Instant::now());
    world.note("the time of the disruption begins");
    for step in 1..BATCH_JOBS {
        sent.push((step, Instant::now()));
        submit(world, &fronts, step).ok_or("a batch job was not accepted")?;
        thread::sleep(BETWEEN_JOBS);
    }
    let mut broken = 0;
    for (step, sent_at) in sent {
        let results = read_results(&fronts, step, Duration::from_secs(20));
        let age = sent_at.elapsed();
        world.note(&format!("batch job {step}: {} results are listed", results.len()));
        if results.len() < GROUPS_PER_JOB * ITEMS_PER_GROUP {
            return Err("a batch job was not finished".to_owned());
        }
        for (id, state) in results.iter().filter(|(_, state)| state != "completed") {
            let seen = lock(&world.seen);
            let failures = seen.failures.get(id).copied().unwrap_or(0);
            let runs = seen.runs.get(id).copied().unwrap_or(0);
            let is_allowed = failures >= MAX_ATTEMPTS || age >= Duration::from_secs(RETENTION_S);
            broken += usize::from(!is_allowed);
            world.note(&format!(
                "item {id} of batch job {step} is {state}: {runs} runs, {failures} of them answered 500, maxAttempts {MAX_ATTEMPTS}{}",
                if is_allowed { "" } else { " (MIXED is broken)" }
            ));
        }
    }
    let seen = lock(&world.seen);
    let summary = format!(
        concat!(
            "{} requests for samples in the time of the disruption; {} at the troubled store, of which {} were answered 500; ",
            "{} surplus answers beside its {} answers; {} items failed twice; {} results break the rule"
        ),
        seen.requests,
        seen.troubled_requests,
        seen.failed,
        seen.spoiled,
        seen.troubled_answers,
        seen.failures.values().filter(|&&failures| failures == 2).count(),
        broken
    );
    world.note(&summary);
    println!("{summary}");
    if world.trouble != Trouble::None && seen.failed == 0 {
        return Err("the disruption did not strike".to_owned());
    }
    Ok(broken)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [programs, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: surplus-failure PROGRAMS FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = match trouble.as_str() {
        "0" => Trouble::None,
        "errors" => Trouble::Errors,
        _ => Trouble::ErrorsAndSurplus,
    };
    let (Some(network), Ok(record)) = (free_network(), File::create(record)) else {
        eprintln!("no free addresses, or the record can't be written");
        return ExitCode::from(2);
    };
    let control = machines(network)
        .iter()
        .filter(|machine| machine.class == "core")
        .map(|core| format!("{}:{CONTROL_PORT}", core.ip))
        .collect();
    let world = Arc::new(World {
        started: Instant::now(),
        record: Mutex::new(record),
        seen: Mutex::default(),
        trouble,
        control,
    });
    match play(&world, network, Path::new(programs), Path::new(folder)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(reason) => {
            world.note(&format!("the case could not run: {reason}"));
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
