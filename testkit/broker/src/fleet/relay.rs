//! The links of a fleet. Every connection and datagram between a broker and what it meets goes through a relay of the rig's
//! own, which can hold it up, lose, repeat and reorder it, cut one way or both, let it drip, refuse and reset.
//!
//! A cut connection is as behind a failed switch: both ends stay open, nothing comes, and what was sent comes after the cut. One
//! that is opened during a cut comes up, since the relay is there, and stays silent; a machine that is gone would not
//! even do that. What a rig without rights can't do is said here so that no test takes it for the other.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use event_listener::Event;
use fastrand::Rng;
use futures_lite::{future::or, AsyncReadExt, AsyncWriteExt};

use super::ledger::{Deed, Ledger, Who};

type Executor = Rc<LocalExecutor<'static>>;

/// What is wrong with one way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing comes through.
    pub cut: bool,
    /// What comes takes so much longer, and so much again by chance, which reorders datagrams.
    pub delay: Duration,
    /// See `delay`.
    pub jitter: Duration,
    /// The share of datagrams lost.
    pub lost: f64,
    /// The share of datagrams that come twice.
    pub twice: f64,
    /// A connection gets no more than so many bytes in ten milliseconds.
    pub drip: Option<usize>,
}

/// One way of a link.
#[derive(Default)]
pub struct Way {
    fault: Cell<Fault>,
    changed: Event,
}

impl Way {
    /// Its fault.
    pub fn fault(&self) -> Fault {
        self.fault.get()
    }

    /// Gives it a fault, or ends it.
    pub fn set(&self, fault: Fault) {
        self.fault.set(fault);
        self.changed.notify(usize::MAX);
    }

    /// Waits while it is cut.
    async fn open(&self) {
        while self.fault.get().cut {
            let changed = self.changed.listen();
            if self.fault.get().cut {
                changed.await;
            }
        }
    }
}

/// How a relay treats new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Door {
    /// They are led on.
    #[default]
    Open,
    /// They are reset at once.
    Shut,
}

/// A relay of connections from one broker to one place.
pub struct Relay {
    /// Where the broker connects.
    pub address: SocketAddr,
    /// From the broker.
    pub there: Rc<Way>,
    /// To the broker.
    pub back: Rc<Way>,
    door: Cell<Door>,
    by: Who,
    store: Option<usize>,
    target: SocketAddr,
    ledger: Rc<Ledger>,
    executor: Executor,
    /// Told when connections are to be reset.
    resets: Event,
}

impl Relay {
    /// Leads a broker's connections to a place; to which store, if it is one, goes into the ledger.
    pub fn start(
        executor: &Executor,
        ledger: &Rc<Ledger>,
        by: Who,
        store: Option<usize>,
        target: SocketAddr,
    ) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let relay = Rc::new(Self {
            address: listener.get_ref().local_addr()?,
            there: Rc::default(),
            back: Rc::default(),
            door: Cell::default(),
            by,
            store,
            target,
            ledger: ledger.clone(),
            executor: executor.clone(),
            resets: Event::new(),
        });
        let this = Rc::downgrade(&relay);
        let accept = async move {
            while let Ok((socket, _)) = listener.accept().await {
                let Some(relay) = this.upgrade() else { return };
                relay.take(socket);
            }
        };
        executor.spawn(accept).detach();
        Ok(relay)
    }

    /// How new connections are treated from now on.
    pub fn set_door(&self, door: Door) {
        self.door.set(door);
    }

    /// Resets every connection that is open.
    pub fn reset(&self) {
        self.resets.notify(usize::MAX);
    }

    fn take(self: Rc<Self>, socket: Async<TcpStream>) {
        if self.door.get() == Door::Shut {
            return abort(&socket);
        }
        if let Some(store) = self.store {
            self.ledger.note(self.by, Deed::Dialled(store));
        }
        let executor = self.executor.clone();
        let lead = async move {
            let Ok(far) = Async::<TcpStream>::connect(self.target).await else {
                return abort(&socket);
            };
            let reset = self.resets.listen();
            let _ = socket.get_ref().set_nodelay(true);
            let _ = far.get_ref().set_nodelay(true);
            // One side's end ends the other: a process that dies resets its connections.
            let there = copy(&socket, &far, &self.there);
            let back = copy(&far, &socket, &self.back);
            let ended = or(there, back);
            let clean = or(ended, async {
                reset.await;
                false
            });
            if !clean.await {
                abort(&socket);
                abort(&far);
            }
        };
        executor.spawn(lead).detach();
    }
}

/// Has a connection end by a reset once it is dropped.
fn abort(socket: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(socket.get_ref(), Some(Duration::ZERO));
}

/// Copies one way until that ends; whether it ended cleanly.
async fn copy(mut from: &Async<TcpStream>, mut to: &Async<TcpStream>, way: &Way) -> bool {
    let mut piece = vec![0; 16 * 1024];
    loop {
        let most = way.fault().drip.map_or(piece.len(), |drip| drip.clamp(1, piece.len()));
        let n = match from.read(&mut piece[..most]).await {
            Ok(0) => {
                way.open().await;
                return true;
            }
            Ok(n) => n,
            Err(_) => return false,
        };
        let fault = way.fault();
        if !fault.delay.is_zero() {
            Timer::after(fault.delay).await;
        }
        if fault.drip.is_some() {
            Timer::after(Duration::from_millis(10)).await;
        }
        way.open().await;
        if to.write_all(&piece[..n]).await.is_err() {
            return false;
        }
    }
}

/// The link between two brokers: each sees the other at an address of the link's.
pub struct Pair {
    /// Where the first one sees the second, and the other way round.
    pub seen: [SocketAddr; 2],
    /// From the first to the second, and back.
    pub ways: [Rc<Way>; 2],
    _tasks: Vec<Task<()>>,
}

impl Pair {
    /// Links two brokers that listen at these addresses.
    pub fn start(
        executor: &Executor,
        ledger: &Rc<Ledger>,
        who: [Who; 2],
        at: [SocketAddr; 2],
        seed: u64,
    ) -> io::Result<Self> {
        let socket = || Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).map(Rc::new);
        let sockets = [socket()?, socket()?];
        let seen = [sockets[0].get_ref().local_addr()?, sockets[1].get_ref().local_addr()?];
        let ways: [Rc<Way>; 2] = [Rc::default(), Rc::default()];
        // What the first sends comes in at the address where it sees the second, and goes on from the other.
        let lead = |from: usize, to: usize| {
            let (near, far) = (sockets[from].clone(), sockets[to].clone());
            let way = ways[from].clone();
            let (ledger, runs) = (ledger.clone(), executor.clone());
            let mut rng = Rng::with_seed(seed ^ (from as u64 + 1));
            executor.spawn(async move {
                let mut datagram = [0; 2048];
                while let Ok((n, source)) = near.recv_from(&mut datagram).await {
                    if source != at[from] {
                        continue;
                    }
                    ledger.note(who[from], Deed::Said(who[to], n));
                    let fault = way.fault();
                    // Drawn whatever the fault, so that equal seeds give equal luck.
                    let (lost, twice) = (rng.f64() < fault.lost, rng.f64() < fault.twice);
                    if fault.cut || lost {
                        continue;
                    }
                    for _ in 0..1 + usize::from(twice) {
                        let late = fault.delay + fault.jitter.mul_f64(rng.f64());
                        let (bytes, far, to) = (datagram[..n].to_vec(), far.clone(), at[to]);
                        if late.is_zero() {
                            let _ = far.send_to(&bytes, to).await;
                            continue;
                        }
                        let send = async move {
                            Timer::after(late).await;
                            let _ = far.send_to(&bytes, to).await;
                        };
                        runs.spawn(send).detach();
                    }
                }
            })
        };
        let tasks = vec![lead(0, 1), lead(1, 0)];
        Ok(Self { seen, ways, _tasks: tasks })
    }
}
