//! The driver of `gingerledge-fleet`, the membership of brokers. It owns the socket for datagrams between brokers; the state
//! machine of that crate decides which members are alive. Operators read the members at `/fleet/members`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_core::future::LocalBoxFuture;
use futures_lite::future::or;
use gingerledge_fleet::{BrokerNumber, Change, Membership, State, MAX_DATAGRAM_BYTES};
use serde_json::{json, Value};

use crate::clock::Clock;
use crate::config::{fleet::Fleet as FleetConfig, Error};
use crate::counters::Counters;
use crate::faults;
use crate::http::Head;
use crate::subsystem::{Host, Reply, Subsystem};

/// Delay after an error of the socket, such as an unreachable port of a peer.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Driver of the membership protocol.
pub struct Fleet {
    socket: Async<UdpSocket>,
    peers: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, BrokerNumber>,
    members: RefCell<Membership>,
    clock: Clock,
    counters: Rc<Counters>,
}

impl Fleet {
    /// Opens the socket and starts the membership protocol.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(config: FleetConfig, host: &Host, seed: u64) -> Result<Rc<Self>, Error> {
        let socket = Async::<UdpSocket>::bind(config.listen)
            .map_err(|e| Error::new("peer_listen", format!("can't listen on {}: {e}", config.listen)))?;
        let own = usize::from(config.settings.own);
        let others = (0..).zip(&config.peers).filter(|(number, _)| usize::from(*number) != own);
        let now = host.clock.now();
        let this = Rc::new(Self {
            socket,
            numbers: others.map(|(number, peer)| (*peer, number)).collect(),
            members: RefCell::new(Membership::new(config.settings, now.max(0.0) as u64, seed, now)),
            peers: config.peers,
            clock: host.clock,
            counters: host.counters.clone(),
        });
        log::info!(members = this.peers.len(), own; "fleet membership listens on {}", config.listen);
        host.executor.spawn(this.clone().run()).detach();
        Ok(this)
    }

    async fn run(self: Rc<Self>) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.members.borrow().next_due();
            let received = async { Some(self.socket.recv_from(&mut datagram).await) };
            let turn_due = async {
                Timer::after(self.clock.until(due)).await;
                None
            };
            match or(received, turn_due).await {
                None => {}
                Some(Ok((n, from))) => self.on_datagram(from, &datagram[..n]),
                Some(Err(fault)) => {
                    log::debug!(fault:%; "receiving a fleet datagram failed");
                    Timer::after(RETRY_DELAY).await;
                }
            }
            self.members.borrow_mut().handle_timers(self.clock.now());
            self.flush().await;
            // Yields, since everything above may be ready at once and would starve the other tasks.
            futures_lite::future::yield_now().await;
        }
    }

    fn on_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        // Datagrams from unknown addresses are ignored.
        let Some(number) = self.numbers.get(&from).filter(|_| !faults::point("fleet.hear")) else { return };
        if let Err(fault) = self.members.borrow_mut().receive(*number, bytes, self.clock.now()) {
            log::debug!(member = number, fault:%; "fleet datagram ignored");
        }
    }

    /// Sends pending datagrams and logs membership changes.
    async fn flush(&self) {
        let (outgoing, changes, living) = {
            let mut members = self.members.borrow_mut();
            let outgoing: Vec<_> = members.take_outgoing().collect();
            let changes = members.take_changes();
            let living = if changes.is_empty() { 0 } else { members.alive().len() };
            let counts = members.counts();
            self.counters.peers_told.set(counts.sent);
            self.counters.peers_heard.set(counts.received + counts.rejected);
            self.counters.peers_unread.set(counts.rejected);
            (outgoing, changes, living)
        };
        for change in changes {
            match change {
                Change::Joined(member) => log::info!(member, living; "fleet member joined"),
                Change::Left(member) => log::info!(member, living; "fleet member left or failed"),
                Change::Renewed(member) => log::info!(member, living; "fleet member restarted"),
                Change::Isolated => log::warn!("no other fleet member is reachable"),
                Change::Rejoined => log::info!("other fleet members declared this broker failed; rejoining"),
                Change::Paused(ms) => log::warn!(ms; "process was paused"),
            }
        }
        for (to, bytes) in outgoing {
            let Some(peer) = self.peers.get(usize::from(to)) else { continue };
            if faults::point("fleet.send") {
                continue;
            }
            if let Err(fault) = self.socket.send_to(&bytes, *peer).await {
                log::debug!(member = to, fault:%; "sending a fleet datagram failed");
            }
        }
    }

    /// Returns the members and counters as JSON for operators.
    fn members_json(&self) -> Value {
        let members = self.members.borrow();
        let member = |member: &gingerledge_fleet::Member| {
            let state = match member.state {
                State::Alive => "alive",
                State::Suspect => "suspect",
                State::Down => "gone",
                State::Unknown => "unknown",
            };
            json!({ "member": member.number, "state": state, "started_ms": member.start,
                "refuted": member.incarnation, "address": self.peers.get(usize::from(member.number)) })
        };
        let counts = members.counts();
        json!({ "living": members.alive(), "members": members.all_members().iter().map(member).collect::<Vec<_>>(),
            "health": members.health_score(), "sent": counts.sent, "bytes": counts.sent_bytes,
            "held_back": counts.throttled, "heard": counts.received, "unread": counts.rejected })
    }
}

impl Subsystem for Fleet {
    fn path(&self) -> &'static str {
        "fleet"
    }

    fn handle_request<'a>(&'a self, head: &'a Head, body: &'a [u8]) -> LocalBoxFuture<'a, Reply> {
        let reply = match (head.method.as_str(), head.path()) {
            ("GET", "/fleet/members") if body.is_empty() => Reply::json(&self.members_json()),
            ("GET", "/fleet/members") => Reply::text(400, "/fleet/members takes no body"),
            (_, "/fleet/members") => Reply::text(405, "/fleet/members takes GET"),
            (_, path) => Reply::text(404, &format!("no such path: {path}")),
        };
        Box::pin(async { reply })
    }

    /// Announces the departure, so that the other brokers need not detect it as a failure.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async {
            self.members.borrow_mut().leave(self.clock.now());
            self.flush().await;
        })
    }
}
