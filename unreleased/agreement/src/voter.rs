//! The voter: one call takes an event and gives actions, and all that the actions rest on is on the disk by then. It owns the
//! order (write, then say, then apply), the file's compaction, and the passage from newcomer to member. It knows no command.

mod flow;
mod peers;

use std::mem;

use raft::{Config, RawNode, ReadOnlyOption};

use crate::bounds::{Bounds, DiskError, Millis, OpenError, Unmet, Unreadable, VoterId};
use crate::disk::Disk;
use crate::frame::{self, Head, Record, Standing};
use crate::member::{Joined, Member};
use crate::newcomer::Newcomer;
use crate::store::Store;
use crate::wire::{self, Wire};

/// What is replicated. `apply` is a function of the state and the command: the same at every voter.
pub trait Machine {
    /// Does a command; the answer goes to who proposed it.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    /// All of it.
    fn snapshot(&self) -> Vec<u8>;
    /// Becomes what a snapshot says. On an error nothing has changed.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), Unreadable>;
}

/// What comes in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time that [`Voter::due`] named has come.
    Tick,
    /// A peer has said something; the driver knows that it was this peer.
    Message {
        /// Who.
        from: VoterId,
        /// What.
        bytes: Vec<u8>,
    },
    /// A command to be agreed on.
    Propose {
        /// The caller's name for it; its one answer bears it.
        ticket: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// From when on is what is applied here at least all that was done anywhere until now?
    Read {
        /// The caller's name for it.
        ticket: u64,
    },
}

/// What is to be done. `Send` may be lost, late, repeated and out of order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say this to a peer.
    Send {
        /// To whom.
        to: VoterId,
        /// What.
        bytes: Vec<u8>,
    },
    /// A command is agreed on and applied here.
    Done {
        /// Which.
        ticket: u64,
        /// Where it stands, for ever.
        index: u64,
        /// The machine's answer.
        answer: Vec<u8>,
    },
    /// What is applied here, up to this index, is as new as was asked.
    Fresh {
        /// Which read.
        ticket: u64,
        /// Up to where this voter has applied.
        index: u64,
    },
    /// No answer will come.
    Unmet {
        /// To which.
        ticket: u64,
        /// Why.
        why: Unmet,
    },
}

enum Part {
    Newcomer(Newcomer),
    Member(Box<Member>),
}

/// One voter.
pub struct Voter<D, M> {
    id: u64,
    voters: Vec<u64>,
    disk: D,
    machine: M,
    bounds: Bounds,
    rng: fastrand::Rng,
    inc: u64,
    part: Part,
    joined: Joined,
    applied: u64,
    next_tick: Millis,
    dead: bool,
}

/// In an entry's first byte: a command, or an incarnation that is admitted. An entry without bytes is a new leader's.
const COMMAND: u8 = 0;
const JOINED: u8 = 1;
/// Ticks made up for at once after a pause.
const CATCH_UP: usize = 2;

fn library(error: raft::Error) -> DiskError {
    DiskError::Library(error.to_string())
}

/// A snapshot's data: the table of incarnations, and the machine's.
fn unpack(data: &[u8]) -> Option<(Joined, Vec<u8>)> {
    postcard::from_bytes(data).ok()
}

impl<D: Disk, M: Machine> Voter<D, M> {
    /// Opens a voter on its disk. `seed` must be new entropy at every opening: a voter that lost its disk is told from what it
    /// was by a number drawn from it.
    pub fn open(
        id: VoterId,
        voters: &[VoterId],
        mut disk: D,
        mut machine: M,
        bounds: Bounds,
        seed: u64,
        now: Millis,
    ) -> Result<Self, OpenError> {
        bounds.check()?;
        let mut named: Vec<u64> = voters.iter().map(|voter| voter.0).collect();
        named.sort_unstable();
        named.dedup();
        let known = named.len() == voters.len() && !named.contains(&0) && named.contains(&id.0);
        if !known || ![3, 5, 7].contains(&named.len()) {
            return Err(OpenError::Voters { id: id.0, voters: named });
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        let bytes = disk.load()?;
        let (records, sound) = frame::decode(&bytes)?;
        if records.is_empty() {
            let inc = rng.u64(1..);
            let standing = Standing::Fresh { awaiting: false };
            let head = Head {
                id: id.0,
                voters: named.clone(),
                incarnation: inc,
                standing,
                from: (0, 0),
                snapshot: None,
            };
            rewrite(&mut disk, &[Record::Head(head)])?;
            return Ok(Self::new(id.0, named, disk, machine, bounds, rng, inc, now));
        }
        if sound < bytes.len() {
            disk.replace(&bytes[..sound])?;
        }
        let (head, store) = Store::replay(records)?;
        if (head.id, &head.voters) != (id.0, &named) {
            return Err(OpenError::Other { id: head.id, voters: head.voters, here: id.0, named });
        }
        let mut joined = Joined::new();
        if let Some(snap) = store.snap() {
            let (table, bytes) =
                unpack(&snap.data).ok_or_else(|| Unreadable("no table of voters in it".into()))?;
            machine.restore(&bytes)?;
            joined = table;
        }
        let mut voter = Self::new(id.0, named, disk, machine, bounds, rng, head.incarnation, now);
        voter.joined = joined;
        match head.standing {
            Standing::Fresh { awaiting } => {
                voter.part = Part::Newcomer(Newcomer::new(head.incarnation, awaiting))
            }
            Standing::Voting { generation, heard } => {
                voter
                    .join(store, generation, heard)
                    .map_err(|error| OpenError::Library(error.to_string()))?;
            }
        }
        Ok(voter)
    }

    #[allow(clippy::too_many_arguments)]
    fn new(
        id: u64,
        voters: Vec<u64>,
        disk: D,
        machine: M,
        bounds: Bounds,
        rng: fastrand::Rng,
        inc: u64,
        now: Millis,
    ) -> Self {
        let next_tick = now + bounds.tick_ms;
        let part = Part::Newcomer(Newcomer::new(inc, false));
        let joined = Joined::new();
        Self { id, voters, disk, machine, bounds, rng, inc, part, joined, applied: 0, next_tick, dead: false }
    }

    /// From here on it votes: what its log says is on the disk.
    fn join(&mut self, store: Store, generation: u64, heard: Vec<(u64, u64)>) -> Result<(), DiskError> {
        let config = Config {
            id: self.id,
            election_tick: self.bounds.election_ticks,
            heartbeat_tick: self.bounds.heartbeat_ticks,
            applied: store.snapshot_index(),
            max_size_per_msg: self.bounds.append_most as u64,
            max_inflight_msgs: self.bounds.inflight_most,
            max_uncommitted_size: self.bounds.uncommitted_most as u64,
            max_committed_size_per_ready: self.bounds.append_most as u64,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        self.applied = store.snapshot_index();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, store, &logger).map_err(library)?;
        self.part = Part::Member(Box::new(Member::new(node, generation, heard, self.rng.u64(..))));
        Ok(())
    }

    /// Takes an event. After an error the voter is dead: only a new `open` on the same disk goes on.
    pub fn handle(&mut self, now: Millis, event: Event) -> Result<Vec<Action>, DiskError> {
        if mem::replace(&mut self.dead, true) {
            return Err(DiskError::Dead);
        }
        let mut out = Vec::new();
        self.tick(now, &mut out);
        match event {
            Event::Tick => {}
            Event::Message { from, bytes } => self.hear(from, &bytes, &mut out)?,
            Event::Propose { ticket, command } => self.propose(ticket, &command, &mut out),
            Event::Read { ticket } => self.read(now, ticket, &mut out),
        }
        self.flow(&mut out)?;
        if let Part::Member(member) = &mut self.part {
            member.settle_lead(&mut out);
            if let Some(number) = member.reads.begin(member.ticks, 2 * self.bounds.heartbeat_ticks as u64) {
                member.node.read_index(number.to_le_bytes().to_vec());
            }
            self.flow(&mut out)?;
        }
        if let Part::Member(member) = &mut self.part {
            member.reads.settle(self.applied, now, &mut out);
        }
        self.compact()?;
        self.dead = false;
        Ok(out)
    }

    /// When the next [`Event::Tick`] is due.
    pub fn due(&self) -> Millis {
        self.next_tick
    }

    /// Who leads, if that is known here.
    pub fn leader(&self) -> Option<VoterId> {
        self.member().and_then(Member::leader)
    }

    /// The term; 0 for one that doesn't vote yet.
    pub fn term(&self) -> u64 {
        self.member().map_or(0, |member| member.node.raft.term)
    }

    /// Up to where commands are applied here.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// What is replicated, as it is here.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Whether it votes. One that doesn't has an empty disk, and waits for every voter on the very first start, else for a
    /// leader to bring it up to date.
    pub fn votes(&self) -> bool {
        self.member().is_some()
    }

    /// The bytes of the log's entries, of which `log_most` speaks.
    pub fn log_bytes(&self) -> usize {
        self.member().map_or(0, |member| member.node.store().bytes())
    }

    /// Its disk.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    fn member(&self) -> Option<&Member> {
        match &self.part {
            Part::Member(member) => Some(member),
            Part::Newcomer(_) => None,
        }
    }

    fn send(&self, to: u64, wire: &Wire) -> Action {
        Action::Send { to: VoterId(to), bytes: wire::encode(wire) }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        for made_up in 0.. {
            if now < self.next_tick {
                return;
            }
            if made_up == CATCH_UP {
                self.next_tick = now + self.bounds.tick_ms;
                return;
            }
            self.next_tick += self.bounds.tick_ms;
            match &mut self.part {
                Part::Newcomer(newcomer) => {
                    let ask = Wire::Ask { inc: newcomer.inc };
                    let others = self.voters.iter().filter(|voter| **voter != self.id);
                    out.extend(others.map(|voter| self.send(*voter, &ask)));
                }
                Part::Member(member) => {
                    member.ticks += 1;
                    // The library draws this from the thread's own generator; ours makes a seed replay.
                    if member.node.raft.election_elapsed == 0 {
                        let ticks = self.bounds.election_ticks;
                        member.node.raft.set_randomized_election_timeout(self.rng.usize(ticks..2 * ticks));
                    }
                    member.node.tick();
                    member.tick_snapshots(2 * self.bounds.election_ticks);
                }
            }
        }
    }

    fn propose(&mut self, ticket: u64, command: &[u8], out: &mut Vec<Action>) {
        let why = match &mut self.part {
            Part::Newcomer(_) => Unmet::NotLeader { leader: None },
            Part::Member(member) if !member.is_leader() => Unmet::NotLeader { leader: member.leader() },
            Part::Member(_) if command.len() > self.bounds.command_most => Unmet::TooLong,
            Part::Member(member) => {
                let full = member.pending.len() >= self.bounds.proposals_most
                    || member.node.store().bytes() + command.len() > self.bounds.log_most;
                let data = [&[COMMAND], command].concat();
                if !full && member.node.propose(Vec::new(), data).is_ok() {
                    let log = &member.node.raft.raft_log;
                    member.pending.insert(log.last_index(), (member.node.raft.term, ticket));
                    return;
                }
                Unmet::Full
            }
        };
        out.push(Action::Unmet { ticket, why });
    }

    fn read(&mut self, now: Millis, ticket: u64, out: &mut Vec<Action>) {
        let why = match &mut self.part {
            Part::Member(member) if member.leader().is_some() => {
                if member.reads.len() < self.bounds.reads_most {
                    return member.reads.ask(ticket, now + self.bounds.read_ms);
                }
                Unmet::Full
            }
            _ => Unmet::NotLeader { leader: None },
        };
        out.push(Action::Unmet { ticket, why });
    }
}

/// A whole new file.
fn rewrite<D: Disk>(disk: &mut D, records: &[Record]) -> std::io::Result<()> {
    let mut bytes = frame::MAGIC.to_vec();
    for record in records {
        let record = frame::encode(record);
        bytes.extend(record.ok_or_else(|| std::io::Error::other("a record of four gigabytes"))?);
    }
    disk.replace(&bytes)
}

#[cfg(test)]
impl<D: Disk, M: Machine> Voter<D, M> {
    pub(crate) fn pending_reads(&self) -> usize {
        self.member().map_or(0, |member| member.node.raft.pending_read_count())
    }

    pub(crate) fn message_most(&self) -> usize {
        self.bounds.message_most()
    }
}
