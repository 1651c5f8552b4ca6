//! Brokers as processes of their own, so that they can be killed and paused: the program starts itself again as a broker.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use gingerledge::clock::Clock;
use gingerledge::config::Config;
use gingerledge::faults;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;

/// The argument with which a program is a broker.
pub const ARGUMENT: &str = "serve-as-broker";

/// Runs as a broker if so told; called first of all in `main`.
pub fn if_asked() -> Option<ExitCode> {
    if std::env::args().nth(1).as_deref() != Some(ARGUMENT) {
        return None;
    }
    faults::start();
    let clock = Clock::new();
    let var = |key: &str| std::env::var(key).ok();
    let read = |path: &str| std::fs::read_to_string(path);
    let ran = Config::read(var, read).and_then(|config| {
        gingerledge::logger::start(&config.name, config.log, clock);
        gingerledge::service::run(config, clock, || Config::reload_discovery(var, read))
    });
    Some(match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("broker: {error}");
            ExitCode::FAILURE
        }
    })
}

/// An address of loopback that nobody else uses, in this process or another: a port that is free there stays free until it is
/// taken on purpose. Ports free at a common address would be given to two who look for one at the same time.
pub fn own_address() -> Ipv4Addr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let (process, count) = (std::process::id(), TAKEN.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 64 + (process % 128) as u8, (process / 128 % 256) as u8, 1 + (count % 250) as u8)
}

/// An address and port that are free now and stay so.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((own_address(), 0))?.local_addr()
}

/// A broker's process.
pub struct Broker {
    /// Where clients connect.
    pub platform: SocketAddr,
    /// Where operators call.
    pub admin: SocketAddr,
    program: PathBuf,
    dir: PathBuf,
    log: PathBuf,
    level: String,
    child: Option<Child>,
    /// How often its faults have been set.
    version: u32,
}

impl Broker {
    /// Writes its files into a folder and starts it as a program that begins with [`if_asked`].
    pub fn start(
        program: PathBuf,
        dir: &Path,
        name: &str,
        at: (SocketAddr, SocketAddr),
        config: &Value,
        operator: &str,
        level: &str,
    ) -> std::io::Result<Self> {
        let home = dir.join(name);
        std::fs::create_dir_all(&home)?;
        std::fs::write(home.join("config.json"), config.to_string())?;
        if !operator.is_empty() {
            std::fs::write(home.join("operator.toml"), operator)?;
        }
        let log = dir.join(format!("{name}.log"));
        let (platform, admin) = at;
        let level = level.to_owned();
        let mut broker = Self { platform, admin, program, dir: home, log, level, child: None, version: 0 };
        broker.restart()?;
        Ok(broker)
    }

    /// Starts it again after it was killed.
    pub fn restart(&mut self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        let operator = self.dir.join("operator.toml");
        if operator.exists() {
            command.env("LB_OPERATOR", operator);
        }
        let child = command
            .arg(ARGUMENT)
            .env("LB_CONFIG", self.dir.join("config.json"))
            .env("LB_LOG", &self.level)
            .env(faults::VARIABLE, self.dir.join("faults"))
            .env("TMPDIR", &self.dir)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sets its faults, in the form of `gingerledge::faults`; a clock's at its next start.
    pub fn set_faults(&mut self, faults: &str) -> std::io::Result<()> {
        self.version += 1;
        // Beside it and then over it: whoever reads finds the old one or the new one, whole.
        let beside = self.dir.join("faults.new");
        std::fs::write(&beside, format!("version={}\n{faults}\n", self.version))?;
        std::fs::rename(beside, self.dir.join("faults"))
    }

    /// Whether the process has taken the faults set last.
    pub fn has_taken_faults(&self) -> bool {
        let taken = std::fs::read_to_string(self.dir.join("faults.taken"));
        taken.is_ok_and(|version| version == self.version.to_string())
    }

    /// Lets it forget all that it wrote; it has to be down.
    pub fn forget_disk(&self) -> std::io::Result<()> {
        let kept = ["config.json", "operator.toml", "faults"];
        for entry in std::fs::read_dir(&self.dir)? {
            let entry = entry?;
            if !kept.iter().any(|kept| entry.file_name() == *kept) && entry.file_type()?.is_file() {
                std::fs::remove_file(entry.path())?;
            }
        }
        Ok(())
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it has ended of itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        self.kill();
    }
}
