//! Control nodes in this process, on loopback addresses of their own, and a client that writes down what is said.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use gingerledge_protocol::Settings;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

use gingerledge_system_testkit::Transcript;

/// The interval of stores' heartbeats.
pub const HEARTBEAT_MS: u64 = 1_200;

const CONTROL_PORT: u16 = 8144;
const INTERNAL_PORT: u16 = 7380;
/// A test waits for a condition at most this long.
pub const TIMEOUT: Duration = Duration::from_secs(60);
const NODES: u8 = 3;
/// The number of a node that is no founder.
pub const NEWCOMER: u8 = NODES;

/// Three control nodes.
pub struct Cluster {
    folder: PathBuf,
    octets: (u8, u8),
    nodes: Vec<Option<Running>>,
}

struct Running {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Cluster {
    /// Three founders with empty disks. `number` differs from test to test.
    pub fn start(number: u8) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("gingerledge-control-{process}-{number}"));
        let _ = std::fs::remove_dir_all(&folder);
        // Always three digits, so that lengths in transcripts do not vary.
        let octets = ((process % 150) as u8 + 100, number);
        let mut cluster = Self { folder, octets, nodes: Vec::new() };
        cluster.nodes.resize_with(usize::from(NEWCOMER) + 1, || None);
        for node in 0..NODES {
            cluster.start_node(node, true);
        }
        cluster
    }

    /// Ends a node; its disk is lost.
    pub async fn wipe(&mut self, node: u8) {
        self.kill(node).await;
        std::fs::remove_dir_all(self.disk(node)).expect("a disk");
    }

    fn disk(&self, node: u8) -> PathBuf {
        self.folder.join(format!("disk-{node}"))
    }

    /// Where a process of another kind takes internal messages.
    pub fn other_internal_address(&self, number: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.octets.0, self.octets.1, number).into(), INTERNAL_PORT)
    }

    /// Where the control nodes take internal messages.
    pub fn internal_addresses(&self) -> Vec<SocketAddr> {
        (0..NODES).map(|node| SocketAddr::new(self.ip(node), INTERNAL_PORT)).collect()
    }

    /// What a node says of itself, once it is as wanted.
    pub async fn status_until(&self, node: u8, wanted: impl Fn(&Value) -> bool) -> Value {
        let begun = Instant::now();
        let mut status = Value::Null;
        while begun.elapsed() < TIMEOUT {
            let answer = self.call(node, &Call::get("/status"), None).await;
            status = answer.and_then(|answer| serde_json::from_str(answer.body()).ok()).unwrap_or_default();
            if wanted(&status) {
                return status;
            }
            // A round trip through the chain takes the time of a few syncs, so that this is no busy loop.
            self.call(node, &Call::get("/configuration/read"), None).await;
        }
        panic!("node {node} never became as wanted: {status:#}");
    }

    /// Starts a node with whatever its disk holds.
    pub fn start_node(&mut self, node: u8, bootstrap: bool) {
        let settings = self.settings(node, bootstrap);
        let (stop, stopped) = oneshot::channel::<()>();
        let task = tokio::task::spawn_local(async move {
            let stopped = async {
                let _ = stopped.await;
            };
            gingerledge_control::run(settings, stopped).await.expect("a control node runs");
        });
        self.nodes[usize::from(node)] = Some(Running { stop, task });
    }

    /// Ends a node in the middle of whatever it does. Its disk stays.
    pub async fn kill(&mut self, node: u8) {
        if let Some(running) = self.nodes[usize::from(node)].take() {
            running.task.abort();
            let _ = running.task.await;
        }
    }

    /// Tells a node to stop, and waits until it has.
    pub async fn stop(&mut self, node: u8) {
        if let Some(running) = self.nodes[usize::from(node)].take() {
            let _ = running.stop.send(());
            timeout(TIMEOUT, running.task).await.expect("stops in time").expect("stops well");
        }
    }

    /// Where a node is called.
    pub fn address(&self, node: u8) -> SocketAddr {
        SocketAddr::new(self.ip(node), CONTROL_PORT)
    }

    fn ip(&self, node: u8) -> IpAddr {
        Ipv4Addr::new(127, self.octets.0, self.octets.1, node + 1).into()
    }

    fn settings(&self, node: u8, bootstrap: bool) -> Settings {
        let seeds: Vec<String> = (0..NODES).map(|seed| self.address(seed).to_string()).collect();
        let settings = json!({
            "nodeName": format!("core-{node}"), "role": "control", "machineClass": "core", "zone": format!("zone-{node}"),
            "ip": self.ip(node), "listen": {"controlPlane": self.address(node)},
            "internalPorts": [INTERNAL_PORT, INTERNAL_PORT + 10], "seeds": seeds, "bootstrap": bootstrap,
            "limits": {"cpuShare": 1.0, "memoryMb": 256, "fileDescriptors": 1024, "diskMb": 64},
            "dataDir": self.disk(node), "heartbeatMs": HEARTBEAT_MS,
            "faultTolerance": {"machines": 1}, "bounds": {"leaseMs": 3000}
        });
        Settings::parse(settings.to_string().as_bytes()).expect("settings")
    }

    /// Makes one call, and writes it down if a transcript is given.
    pub async fn call(&self, node: u8, call: &Call<'_>, transcript: Option<&Transcript>) -> Option<Answer> {
        let address = self.address(node);
        let answer = timeout(TIMEOUT, exchange(address, call)).await.ok().flatten();
        if let Some(transcript) = transcript {
            transcript.note(&format!("client to node {node}"), &call.text());
            let said = answer.as_ref().map_or("(nothing)", |answer| answer.text.as_str());
            transcript
                .note(&format!("node {node} to client"), &said.replace(&address.to_string(), "(this node)"));
        }
        answer
    }

    /// Repeats a call until its status is the one wanted. The nodes themselves take their time to answer while they can't.
    pub async fn until(&self, node: u8, call: &Call<'_>, status: u16) -> Answer {
        let begun = Instant::now();
        let mut last = None;
        while begun.elapsed() < TIMEOUT {
            last = self.call(node, call, None).await;
            if let Some(answer) = last.take_if(|answer| answer.status == status) {
                return answer;
            }
            tokio::task::yield_now().await;
        }
        panic!("{} {}: not {status} but {last:?}", call.method, call.path);
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One call.
#[derive(Clone, Copy)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
}

impl Call<'_> {
    pub fn get(path: &str) -> Call<'_> {
        Call { method: "GET", path, headers: "", body: "" }
    }

    pub fn post<'a>(path: &'a str, headers: &'a str, body: &'a str) -> Call<'a> {
        Call { method: "POST", path, headers, body }
    }

    fn text(&self) -> String {
        let Call { method, path, headers, body } = self;
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        )
    }
}

/// One answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub text: String,
}

impl Answer {
    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }
}

async fn exchange(address: SocketAddr, call: &Call<'_>) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(call.text().as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    while !is_complete(&bytes) {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            break;
        }
    }
    let text = String::from_utf8(bytes).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, text })
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse::<usize>().ok()).unwrap_or(0) <= body.len()
}

/// Runs a test whose nodes share one thread.
pub fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// An empty transcript of these tests.
pub fn transcript() -> Transcript {
    Transcript::new(env!("CARGO_MANIFEST_DIR"), "date", "(varies)")
}
