//! The real programs as processes on loopback, each "machine" with an address of its own in 127.0.0.0/8. Processes are started,
//! killed, wiped and started again; those that still run are ended when the fleet is dropped.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use snafu::{ResultExt, Snafu};

/// What went wrong with a fleet.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A file or a process.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
}

/// The class of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeClass {
    /// Takes requests from clients.
    Edge,
    /// Control plane.
    Core,
    /// Batch jobs.
    Backend,
}

/// One machine.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: NodeClass,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// The folder of the programs that its next process is started from.
    programs: PathBuf,
    started: u32,
    child: Option<Child>,
}

/// Ports, alike on all machines of a fleet.
#[derive(Clone, Copy, Debug)]
struct Ports {
    frontend: u16,
    readiness: u16,
    control: u16,
    internal: u16,
}

/// Machines and their processes.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    ports: Ports,
    fault_tolerance: usize,
    nodes: Vec<Node>,
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    /// A fleet of so many machines of each class, in zones by turns, with no process yet. `programs` is the folder of the
    /// binaries, `folder` an empty folder for disks, settings and logs, `network` the second byte of its addresses.
    ///
    /// # Errors
    ///
    /// No ports are free at the first machine's address.
    pub fn new(
        programs: &Path,
        folder: &Path,
        network: u8,
        (core, backends, edges): (usize, usize, usize),
    ) -> Result<Self, FleetError> {
        let mut nodes = Vec::new();
        let classes =
            [(NodeClass::Core, core, 0), (NodeClass::Backend, backends, 1), (NodeClass::Edge, edges, 2)];
        for (class, count, third) in classes {
            for index in 0..count {
                let ip = IpAddr::V4(Ipv4Addr::new(127, network, third, index as u8 + 1));
                let name = format!("{}-{}", class_name(class), index + 1);
                nodes.push(Node {
                    name,
                    class,
                    ip,
                    zone: format!("zone-{}", index % 3),
                    programs: programs.to_owned(),
                    started: 0,
                    child: None,
                });
            }
        }
        let ports = free_ports(nodes[0].ip)?;
        let seeds = nodes.iter().filter(|node| node.class == NodeClass::Core).take(3);
        let seeds = seeds.map(|node| SocketAddr::new(node.ip, ports.control)).collect();
        Ok(Self { folder: folder.to_owned(), ports, fault_tolerance: 1, nodes, seeds })
    }

    /// All machines.
    #[must_use]
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Where the control nodes serve.
    #[must_use]
    pub fn control(&self) -> Vec<SocketAddr> {
        self.addresses(NodeClass::Core, self.ports.control)
    }

    /// Where the edges serve clients.
    #[must_use]
    pub fn edges(&self) -> Vec<SocketAddr> {
        self.addresses(NodeClass::Edge, self.ports.frontend)
    }

    /// Where the edges say whether they are ready.
    #[must_use]
    pub fn readiness(&self) -> Vec<SocketAddr> {
        self.addresses(NodeClass::Edge, self.ports.readiness)
    }

    fn addresses(&self, class: NodeClass, port: u16) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter().filter(|node| node.class == class);
        nodes.map(|node| SocketAddr::new(node.ip, port)).collect()
    }

    /// Starts all machines that don't run.
    ///
    /// # Errors
    ///
    /// A process can't be started.
    pub fn start_all(&mut self) -> Result<(), FleetError> {
        let names: Vec<_> = self.nodes.iter().map(|node| node.name.clone()).collect();
        names.iter().try_for_each(|name| self.start(name))
    }

    /// Starts a machine that doesn't run; its first start has `bootstrap`.
    ///
    /// # Errors
    ///
    /// The process can't be started, or its settings or log can't be written.
    pub fn start(&mut self, name: &str) -> Result<(), FleetError> {
        let Some(index) = self.nodes.iter().position(|node| node.name == name) else { return Ok(()) };
        if self.nodes[index].child.is_some() {
            return Ok(());
        }
        let settings = self.settings(&self.nodes[index]);
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string())
            .context(SystemSnafu { what: format!("{}", file.display()) })?;
        let log = self.folder.join(format!("{name}.{}.log", self.nodes[index].started));
        let log = File::create(&log).context(SystemSnafu { what: format!("{}", log.display()) })?;
        let node = &self.nodes[index];
        let program = node.programs.join(format!("gingerledge-{}", program_name(node.class)));
        let child = Command::new(&program)
            .env("GINGERLEDGE_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .context(SystemSnafu { what: format!("{}", program.display()) })?;
        let node = &mut self.nodes[index];
        node.child = Some(child);
        node.started += 1;
        Ok(())
    }

    /// Kills a machine's process and starts one of the programs in another folder on the same disk: an upgrade in place.
    ///
    /// # Errors
    ///
    /// If the new process can't be started.
    pub fn replace_program(&mut self, name: &str, programs: &Path) -> Result<(), FleetError> {
        self.kill(name);
        for node in self.nodes.iter_mut().filter(|node| node.name == name) {
            programs.clone_into(&mut node.programs);
        }
        self.start(name)
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, name: &str) {
        for node in self.nodes.iter_mut().filter(|node| node.name == name) {
            if let Some(mut child) = node.child.take() {
                // It may have ended by itself; either way it is gone afterwards.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// A machine's process stands still until it is thawed.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn freeze(&self, name: &str) -> Result<(), FleetError> {
        self.signal(name, Signal::STOP)
    }

    /// A machine's process goes on.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn thaw(&self, name: &str) -> Result<(), FleetError> {
        self.signal(name, Signal::CONT)
    }

    /// Asks a machine's process to end, as the platform does before a planned stop.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn terminate(&self, name: &str) -> Result<(), FleetError> {
        self.signal(name, Signal::TERM)
    }

    /// Tells a machine's process that its settings have changed.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn hang_up(&self, name: &str) -> Result<(), FleetError> {
        self.signal(name, Signal::HUP)
    }

    /// The status with which a machine's process has ended, if it has; the machine may then be started again.
    ///
    /// # Errors
    ///
    /// The system can't tell.
    pub fn take_ended(&mut self, name: &str) -> Result<Option<ExitStatus>, FleetError> {
        let Some(node) = self.nodes.iter_mut().find(|node| node.name == name) else { return Ok(None) };
        let Some(child) = &mut node.child else { return Ok(None) };
        let status = child.try_wait().context(SystemSnafu { what: name })?;
        if status.is_some() {
            node.child = None;
        }
        Ok(status)
    }

    fn signal(&self, name: &str, signal: Signal) -> Result<(), FleetError> {
        let process = self.process(name).and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        let Some(process) = process else { return Ok(()) };
        kill_process(process, signal).map_err(std::io::Error::from).context(SystemSnafu { what: name })
    }

    /// Kills a machine's process and empties its disk.
    ///
    /// # Errors
    ///
    /// The disk can't be removed.
    pub fn wipe(&mut self, name: &str) -> Result<(), FleetError> {
        self.kill(name);
        let disk = self.disk(name);
        if disk.exists() {
            std::fs::remove_dir_all(&disk).context(SystemSnafu { what: format!("{}", disk.display()) })?;
        }
        Ok(())
    }

    /// The process id of a machine's process.
    pub fn process(&self, name: &str) -> Option<u32> {
        self.nodes.iter().find(|node| node.name == name)?.child.as_ref().map(Child::id)
    }

    /// What a machine's process has logged in all its lives.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        let started = self.nodes.iter().find(|node| node.name == name).map_or(0, |node| node.started);
        let lives = (0..started).map(|life| self.folder.join(format!("{name}.{life}.log")));
        lives.filter_map(|path| std::fs::read_to_string(path).ok()).collect()
    }

    fn disk(&self, name: &str) -> PathBuf {
        self.folder.join(format!("disk-{name}"))
    }

    fn settings(&self, node: &Node) -> serde_json::Value {
        let at = |port| SocketAddr::new(node.ip, port).to_string();
        let (listen, serves) = match node.class {
            NodeClass::Edge => {
                let listen =
                    json!({"frontend": at(self.ports.frontend), "readiness": at(self.ports.readiness)});
                (listen, "edge")
            }
            NodeClass::Core => (json!({"controlPlane": at(self.ports.control)}), "control_plane"),
            NodeClass::Backend => (json!({}), "backend"),
        };
        let disk = (node.class != NodeClass::Edge).then(|| self.disk(&node.name));
        json!({
            "nodeName": node.name, "role": class_name(node.class), "machineClass": class_name(node.class),
            "serves": [serves], "ip": node.ip, "zone": node.zone, "region": "here",
            "zones": {"zone-0": "here", "zone-1": "here", "zone-2": "here"}, "listen": listen,
            "internalPorts": [self.ports.internal, self.ports.internal], "seeds": self.seeds,
            "bootstrap": node.started == 0, "countsForQuorum": node.class != NodeClass::Edge,
            "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": 260, "fileDescriptors": 4096, "linkMbps": 1000.0,
                "diskMb": 128},
            "dataDir": disk, "discovery": "registration", "entry": "virtual_ip", "heartbeatMs": 500,
            "contracts": ["base"], "faultTolerance": {"machines": self.fault_tolerance, "zones": 0, "regions": 0},
            "bounds": {"leaseMs": 3000, "cancelMs": 3000, "graceS": 8, "drainMs": 2000, "configApplyMs": 2000,
                "fencing": true, "statusS": 120}
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let names: Vec<_> = self.nodes.iter().map(|node| node.name.clone()).collect();
        names.iter().for_each(|name| self.kill(name));
    }
}

fn class_name(class: NodeClass) -> &'static str {
    match class {
        NodeClass::Edge => "edge",
        NodeClass::Core => "core",
        NodeClass::Backend => "backend",
    }
}

fn program_name(class: NodeClass) -> &'static str {
    match class {
        NodeClass::Edge => "edge",
        NodeClass::Core => "control",
        NodeClass::Backend => "backend",
    }
}

/// Four ports that are free at one address, and so, each machine having an address of its own, at all.
fn free_ports(ip: IpAddr) -> Result<Ports, FleetError> {
    let bind = || TcpListener::bind(SocketAddr::new(ip, 0)).context(SystemSnafu { what: "free ports" });
    let listeners = [bind()?, bind()?, bind()?, bind()?];
    let mut ports = [0; 4];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr().context(SystemSnafu { what: "free ports" })?.port();
    }
    let [frontend, readiness, control, internal] = ports;
    Ok(Ports { frontend, readiness, control, internal })
}
