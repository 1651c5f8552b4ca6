//! Upgrades: a new process of this broker starts while the old one serves. Here are the listener that both
//! inherit, and how each knows of the other.

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
/// A check holds a lock for a moment; a process that starts in that moment retries.
const LOCK_RETRIES: u32 = 20;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Takes over a listening socket that the process was started with, for `at`.
pub fn inherited(fd: i32, at: SocketAddr) -> Result<TcpListener, String> {
    let refused = |what: &str, e: &dyn std::fmt::Display| format!("descriptor {fd}: {what}: {e}");
    // A duplicate by way of the process's own pidfd: descriptor numbers as such can't be had in safe code.
    let process = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| refused("no way to it", &e))?;
    let socket = pidfd_getfd(&process, fd, PidfdGetfdFlags::empty()).map_err(|e| refused("not there", &e))?;
    let kind = sockopt::socket_type(&socket).map_err(|e| refused("not a socket", &e))?;
    let listens = sockopt::socket_acceptconn(&socket).map_err(|e| refused("not a socket", &e))?;
    if kind != SocketType::STREAM || !listens {
        return Err(format!("descriptor {fd}: not a listening TCP socket"));
    }
    let listener = TcpListener::from(socket);
    let bound = listener.local_addr().map_err(|e| refused("no address", &e))?;
    if bound != at {
        return Err(format!("descriptor {fd}: listens on {bound}, expected {at}"));
    }
    Ok(listener)
}

/// Length of a listener's accept backlog: more than arrive at once while no slot is free. Past it the kernel drops
/// connections silently, and clients retry after seconds.
const ACCEPT_BACKLOG: i32 = 1024;

/// A listener of this process's own.
pub fn listen_alone(at: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    // It listens already, if with a short queue.
    let _ = rustix::net::listen(&listener, ACCEPT_BACKLOG);
    Ok(listener)
}

/// A listener that another process of this user may have as well.
pub fn listen_beside(at: SocketAddr) -> io::Result<TcpListener> {
    use rustix::net::{bind, listen, socket_with, AddressFamily, SocketFlags};
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(&socket, &at)?;
    listen(&socket, ACCEPT_BACKLOG)?;
    Ok(TcpListener::from(socket))
}

/// What is known of another process of this broker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Other {
    /// There is none.
    #[default]
    None,
    /// It serves, or is about to.
    Serves,
    /// It is shutting down.
    Leaves,
}

/// This process's place among the two that a broker may have; the other one can see it.
#[derive(Debug)]
pub struct Presence {
    /// Locked by this process and by the other; none where there is no folder to hold them.
    files: Option<(File, File)>,
    other: Cell<Other>,
}

fn lock(file: &File, how: FlockOperation) -> bool {
    flock(file, how).is_ok()
}

impl Presence {
    /// Registers this process. If two others are registered it stays unregistered: it sees them, but they do not see it.
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
        presence.look();
        Rc::new(presence)
    }

    /// The other process, as last seen.
    pub fn other(&self) -> Other {
        self.other.get()
    }

    /// Looks for the other process now.
    pub fn look(&self) -> Other {
        let Some((_, other)) = &self.files else { return Other::None };
        let seen = if lock(other, FlockOperation::NonBlockingLockExclusive) {
            Other::None
        } else if lock(other, FlockOperation::NonBlockingLockShared) {
            Other::Leaves
        } else {
            Other::Serves
        };
        if seen != Other::Serves {
            lock(other, FlockOperation::Unlock);
        }
        if self.other.replace(seen) != seen {
            log::info!("another process of this broker: {seen:?}");
        }
        seen
    }

    /// Shows the other process that this one has been told to end.
    pub fn leave(&self) {
        if let Some((own, _)) = &self.files {
            lock(own, FlockOperation::NonBlockingLockShared);
        }
    }

    /// Into how many parts limits are divided: descriptors, memory and what may be open.
    pub fn processes(&self) -> usize {
        if self.other() == Other::None {
            1
        } else {
            2
        }
    }

    /// Keeps looking; tells `seen` of each change.
    pub async fn watch(self: Rc<Self>, seen: impl Fn(Other)) {
        while self.files.is_some() {
            let before = self.other();
            if self.look() != before {
                seen(self.other());
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}
