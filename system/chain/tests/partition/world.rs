//! A simulated partition: replicas on machines with disks, and a decider of their views that is never wrong but late.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet};
use std::time::Duration;

use gingerledge_chain::{
    MemberId, Replica, ReplicaAction, ReplicaEvent, ReplicaMessage, ReplicaSettings, View, ViewEvent,
};

use crate::disk::{Disk, Write};
use crate::ledger::{mix, Ledger};

pub enum Happens {
    Arrives {
        place: usize,
        from: MemberId,
        message: ReplicaMessage,
    },
    Synced {
        place: usize,
        life: u64,
    },
    Timer {
        place: usize,
        life: u64,
    },
    Starts {
        place: usize,
    },
    /// The decider's news reaches a place.
    Told {
        place: usize,
        view: View,
    },
    /// A report reaches the decider.
    Reported {
        member: MemberId,
        epoch: u64,
    },
    Client,
    Decider,
    Trouble,
}

pub struct Place {
    pub identity: MemberId,
    pub replica: Option<Replica>,
    pub started_at: Duration,
    pub life: u64,
    pub disk: Disk,
    pub applied: u64,
    pub hash: u64,
    pub timer: Option<Duration>,
    pub frozen_until: Duration,
    /// In trouble, or not long enough out of it, until then.
    pub lost_until: Duration,
}

pub struct Partition {
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub settings: ReplicaSettings,
    pub places: Vec<Place>,
    pub lost_disks: Vec<Disk>,
    pub ledger: Ledger,
    pub cut: HashSet<(usize, usize)>,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub what: BTreeMap<u64, Happens>,
    pub number: u64,
    /// The decider's state: the view, and who counts in it.
    pub view: View,
    pub in_sync: BTreeSet<MemberId>,
    pub troubled: bool,
    pub commands: u64,
    pub reads: u64,
    pub identities: u64,
}

pub const CHAIN: usize = 2;
pub const CATCH_UP: Duration = Duration::from_secs(5);

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Partition {
    pub fn new(seed: u64, places: usize) -> Self {
        let settings = ReplicaSettings {
            min_chain_length: CHAIN,
            batch_entries: 4,
            max_inflight_entries: 16,
            retain_entries: 20,
            chunk_bytes: 16,
            ..ReplicaSettings::default()
        };
        let place = |index: usize| Place {
            identity: MemberId(index as u64 + 1),
            replica: None,
            started_at: Duration::ZERO,
            life: 0,
            disk: Disk::default(),
            applied: 0,
            hash: 0,
            timer: None,
            frozen_until: Duration::ZERO,
            lost_until: Duration::ZERO,
        };
        let view = View { epoch: 1, chain: (1..=CHAIN as u64).map(MemberId).collect() };
        let mut partition = Self {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            settings,
            places: (0..places).map(place).collect(),
            lost_disks: Vec::new(),
            ledger: Ledger::new(seed, CHAIN - 1, 0),
            cut: HashSet::new(),
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            number: 0,
            view,
            in_sync: BTreeSet::new(),
            troubled: true,
            commands: 0,
            reads: 0,
            identities: 100,
        };
        for place in 0..places {
            partition.after(millis(10 * place as u64), Happens::Starts { place });
        }
        partition.after(millis(500), Happens::Client);
        partition.after(millis(200), Happens::Decider);
        partition.after(millis(1500), Happens::Trouble);
        partition
    }

    pub fn after(&mut self, delay: Duration, what: Happens) {
        self.number += 1;
        self.what.insert(self.number, what);
        self.queue.push(Reverse((self.now + delay, self.number)));
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at;
            if let Some(what) = self.what.remove(&number) {
                self.happens(what);
            }
        }
        self.now = end;
    }

    pub fn happens(&mut self, what: Happens) {
        let place = match &what {
            Happens::Arrives { place, .. }
            | Happens::Synced { place, .. }
            | Happens::Timer { place, .. }
            | Happens::Told { place, .. } => Some(*place),
            _ => None,
        };
        if let Some(until) =
            place.map(|place| self.places[place].frozen_until).filter(|until| *until > self.now)
        {
            self.after(until - self.now, what);
            return;
        }
        match what {
            Happens::Arrives { place, from, message } => {
                self.event(place, ReplicaEvent::Message { from, message })
            }
            Happens::Synced { place, life } if self.places[place].life == life => {
                if let Some(token) = self.places[place].disk.synced() {
                    self.event(place, ReplicaEvent::Durable { token });
                }
                self.sync(place);
            }
            Happens::Timer { place, life } if self.places[place].life == life => {
                self.places[place].timer = None;
                self.event(place, ReplicaEvent::TimerExpired);
            }
            Happens::Told { place, view } => {
                self.event(place, ReplicaEvent::View(ViewEvent::Install { view }))
            }
            Happens::Reported { member, epoch } if epoch == self.view.epoch => {
                self.in_sync.insert(member);
            }
            Happens::Starts { place } => self.start(place),
            Happens::Client => self.client(),
            Happens::Decider => self.decide(),
            Happens::Trouble => self.trouble(),
            _ => {}
        }
    }

    pub fn start(&mut self, place: usize) {
        let seed = self.rng.u64(..);
        let now = self.now;
        let settings = self.settings.clone();
        let host = &mut self.places[place];
        if host.replica.is_some() {
            return;
        }
        host.replica = Some(Replica::recover(host.identity, &host.disk.records, settings, seed));
        host.started_at = now;
        host.life += 1;
        host.timer = None;
        host.disk.restart();
        self.event(place, ReplicaEvent::Started);
        self.event(place, ReplicaEvent::View(ViewEvent::FollowAsLearner));
    }

    pub fn event(&mut self, place: usize, event: ReplicaEvent) {
        let now = self.now;
        let host = &mut self.places[place];
        let Some(replica) = &mut host.replica else { return };
        let mut out = Vec::new();
        replica.handle(now - host.started_at, event, &mut out);
        let snapshot = out.contains(&ReplicaAction::TakeSnapshot);
        for action in out {
            self.act(place, action);
        }
        if snapshot {
            let host = &self.places[place];
            let (index, bytes) = (host.applied, encode(host));
            self.event(place, ReplicaEvent::SnapshotReady { index, bytes });
        }
        if self.rng.u8(..) == 0 {
            self.checkpoint(place);
        }
        self.schedule_timer(place);
    }

    pub fn schedule_timer(&mut self, place: usize) {
        let now = self.now;
        let host = &mut self.places[place];
        let Some(at) = host.replica.as_ref().and_then(Replica::next_timer) else { return };
        let at = (host.started_at + at).max(now) + Duration::from_micros(100);
        if host.timer.is_some_and(|timer| timer <= at) {
            return;
        }
        host.timer = Some(at);
        let life = host.life;
        self.after(at - now, Happens::Timer { place, life });
    }

    pub fn act(&mut self, place: usize, action: ReplicaAction) {
        let me = self.places[place].identity;
        match action {
            ReplicaAction::Send { to, message } => self.send(place, to, message),
            ReplicaAction::Persist { token, records } => {
                self.places[place].disk.unsynced.push(Write::Append { token, records });
                self.sync(place);
            }
            ReplicaAction::Apply { index, command, reply } => {
                self.ledger.applied(me, index, &command, reply);
                if reply {
                    let disks = self.places.iter().map(|host| &host.disk).chain(&self.lost_disks);
                    let synced = disks.filter(|disk| disk.has_synced(index, &command));
                    self.ledger.synced_by(index, synced.count());
                }
                let host = &mut self.places[place];
                assert_eq!(index, host.applied + 1, "seed {}: {me:?} applied out of order", self.seed);
                host.applied = index;
                host.hash = mix(host.hash, &command);
            }
            ReplicaAction::InstallSnapshot { index, bytes } => {
                let hash: [u8; 8] = bytes[..8].try_into().expect("a state holds its hash");
                let host = &mut self.places[place];
                host.applied = index;
                host.hash = u64::from_le_bytes(hash);
                self.ledger.state(me, index, host.hash);
            }
            ReplicaAction::ReadReady { token, index } => self.ledger.read_ready(token, index),
            ReplicaAction::ReadFailed { token } => self.ledger.read_failed(token),
            ReplicaAction::BecameInSync { epoch } => {
                let delay = millis(self.rng.u64(1..400));
                self.after(delay, Happens::Reported { member: me, epoch });
            }
            _ => {}
        }
    }

    pub fn checkpoint(&mut self, place: usize) {
        let host = &mut self.places[place];
        let Some(replica) = &host.replica else { return };
        if replica.applied_index() != host.applied {
            return;
        }
        if let Some(records) = replica.checkpoint(encode(host)) {
            host.disk.unsynced.push(Write::Replace { records });
            self.sync(place);
        }
    }

    pub fn sync(&mut self, place: usize) {
        if self.places[place].disk.start_sync() {
            let life = self.places[place].life;
            let delay = Duration::from_micros(self.rng.u64(2000..6000)) + self.places[place].disk.slow;
            self.after(delay, Happens::Synced { place, life });
        }
    }

    pub fn send(&mut self, place: usize, to: MemberId, message: ReplicaMessage) {
        let Some(target) = self.place_of(to) else { return };
        if self.cut.contains(&(place, target)) {
            return;
        }
        let from = self.places[place].identity;
        let late = if self.rng.u8(..) == 0 { self.rng.u64(0..200_000) } else { 0 };
        let delay = Duration::from_micros(self.rng.u64(500..4000) + late);
        self.after(delay, Happens::Arrives { place: target, from, message });
    }

    pub fn place_of(&self, member: MemberId) -> Option<usize> {
        self.places.iter().position(|host| host.identity == member)
    }

    pub fn client(&mut self) {
        let place = self.rng.usize(..self.places.len());
        if self.rng.bool() {
            self.commands += 1;
            let command = self.commands.to_le_bytes().to_vec();
            self.event(place, ReplicaEvent::Submit { command });
        } else if self.places[place].replica.is_some() {
            self.reads += 1;
            self.ledger.read_asked(self.reads);
            self.event(place, ReplicaEvent::Read { token: self.reads });
        }
        let delay = millis(self.rng.u64(2..20));
        self.after(delay, Happens::Client);
    }
}

pub fn encode(host: &Place) -> Vec<u8> {
    let mut bytes = host.hash.to_le_bytes().to_vec();
    bytes.resize(8 + (host.applied % 150) as usize, 7);
    bytes
}
