//! Support for upgrades, in which a new process of this broker starts while the old one serves: the listening socket that
//! both inherit, and the detection of each process by the other.

use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use rustix::fs::{flock, FlockOperation};
use rustix::net::{sockopt, SocketType};
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};

/// Interval at which each process checks for the other.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of retries for the lock of a presence file, which the other process holds briefly during each check.
const LOCK_RETRIES: u32 = 20;
/// Delay between two retries for the lock of a presence file.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Takes over the listening socket that the process inherited as descriptor `fd`, which must be bound to `at`.
///
/// # Errors
///
/// If the descriptor is not a listening TCP socket bound to `at`.
pub fn inherited_listener(fd: i32, at: SocketAddr) -> Result<TcpListener, String> {
    let describe = |what: &str, e: &dyn std::fmt::Display| format!("descriptor {fd}: {what}: {e}");
    // Safe code can't create a socket from a descriptor number, so the descriptor is duplicated through the process's own
    // pidfd.
    let process = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| describe("no way to it", &e))?;
    let socket =
        pidfd_getfd(&process, fd, PidfdGetfdFlags::empty()).map_err(|e| describe("not there", &e))?;
    let kind = sockopt::socket_type(&socket).map_err(|e| describe("not a socket", &e))?;
    let listens = sockopt::socket_acceptconn(&socket).map_err(|e| describe("not a socket", &e))?;
    if kind != SocketType::STREAM || !listens {
        return Err(format!("descriptor {fd}: not a listening TCP socket"));
    }
    let listener = TcpListener::from(socket);
    let bound = listener.local_addr().map_err(|e| describe("no address", &e))?;
    if bound != at {
        return Err(format!("descriptor {fd}: listens on {bound}, expected {at}"));
    }
    Ok(listener)
}

/// Length of a listener's accept backlog, larger than the number of connections that arrive at once while no slot is free.
/// If the backlog is full, the kernel silently drops connections, and clients retry only after seconds.
const ACCEPT_BACKLOG: i32 = 1024;

/// Opens a listener for this process only.
pub fn listen_exclusive(at: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    // `TcpListener::bind` listens already, with a shorter backlog, which stays if this fails.
    let _ = rustix::net::listen(&listener, ACCEPT_BACKLOG);
    Ok(listener)
}

/// Opens a listener at an address at which another process of the same user may listen too.
pub fn listen_shared(at: SocketAddr) -> io::Result<TcpListener> {
    use rustix::net::{bind, listen, socket_with, AddressFamily, SocketFlags};
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(&socket, &at)?;
    listen(&socket, ACCEPT_BACKLOG)?;
    Ok(TcpListener::from(socket))
}

/// State of the other process that a broker may have during an upgrade.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OtherProcess {
    /// There is no other process.
    #[default]
    None,
    /// The other process serves or is about to serve.
    Serves,
    /// The other process is shutting down.
    Leaves,
}

/// The registration of this process as one of the two that a broker may have, through locks on two presence files. Each
/// process holds an exclusive lock on its own file, and a shared lock once it is shutting down.
#[derive(Debug)]
pub struct Presence {
    /// The presence files of this process and of the other; `None` if no directory is set for them.
    files: Option<(File, File)>,
    /// The other process as of the last check.
    other: Cell<OtherProcess>,
}

/// Changes the lock on a file; returns whether that succeeded.
fn lock(file: &File, operation: FlockOperation) -> bool {
    flock(file, operation).is_ok()
}

impl Presence {
    /// Registers this process. If two others are registered already, it stays unregistered: it detects one of them, but they
    /// do not detect it.
    pub fn register(dir: Option<&Path>, listen: SocketAddr) -> Rc<Self> {
        let open = |n: u32| {
            let path = dir?.join(format!("gingerledge-{listen}.{n}"));
            let opened = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
            opened
                .map_err(
                    |e| log::warn!(file:% = path.display(), error:% = e; "registering this process failed"),
                )
                .ok()
        };
        let files = open(0).zip(open(1)).map(|(first, second)| {
            for _ in 0..LOCK_RETRIES {
                if lock(&first, FlockOperation::NonBlockingLockExclusive) {
                    return (first, second);
                }
                if lock(&second, FlockOperation::NonBlockingLockExclusive) {
                    return (second, first);
                }
                std::thread::sleep(LOCK_RETRY_DELAY);
            }
            log::warn!("two other processes of this broker are registered");
            (second, first)
        });
        let presence = Self { files, other: Cell::default() };
        presence.refresh();
        Rc::new(presence)
    }

    /// State of the other process as of the last check.
    pub fn other(&self) -> OtherProcess {
        self.other.get()
    }

    /// Checks for the other process now, and returns its state.
    pub fn refresh(&self) -> OtherProcess {
        let Some((_, other)) = &self.files else { return OtherProcess::None };
        let state = if lock(other, FlockOperation::NonBlockingLockExclusive) {
            OtherProcess::None
        } else if lock(other, FlockOperation::NonBlockingLockShared) {
            OtherProcess::Leaves
        } else {
            OtherProcess::Serves
        };
        if state != OtherProcess::Serves {
            lock(other, FlockOperation::Unlock);
        }
        if self.other.replace(state) != state {
            log::info!("another process of this broker: {state:?}");
        }
        state
    }

    /// Announces the shutdown of this process to the other one.
    pub fn announce_shutdown(&self) {
        if let Some((own, _)) = &self.files {
            lock(own, FlockOperation::NonBlockingLockShared);
        }
    }

    /// Number of processes among which limits are divided: descriptors, memory, and open queries and requests.
    pub fn process_count(&self) -> usize {
        if self.other() == OtherProcess::None {
            1
        } else {
            2
        }
    }

    /// Checks for the other process periodically, and calls `on_change` with its state after each change.
    pub async fn watch(self: Rc<Self>, on_change: impl Fn(OtherProcess)) {
        while self.files.is_some() {
            let before = self.other();
            if self.refresh() != before {
                on_change(self.other());
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}
