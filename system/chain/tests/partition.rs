//! Replicas whose views are decided elsewhere, as the partitions of batch jobs use them. The decider is never wrong, but its
//! news is late or lost: it follows the contract of [`Replica`], and keeps only members that counted in the present view.

#[path = "world/disk.rs"]
mod disk;
#[path = "world/ledger.rs"]
mod ledger;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet};
use std::time::Duration;

use disk::{Disk, Write};
use gingerledge_chain::{
    LogRecord, MemberId, Replica, ReplicaAction, ReplicaEvent, ReplicaMessage, ReplicaSettings, View,
};
use ledger::{mix, Ledger};

enum Happens {
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

struct Place {
    identity: MemberId,
    replica: Option<Replica>,
    started_at: Duration,
    life: u64,
    disk: Disk,
    applied: u64,
    hash: u64,
    timer: Option<Duration>,
    frozen_until: Duration,
    /// In trouble, or not long enough out of it, until then.
    lost_until: Duration,
}

struct Partition {
    seed: u64,
    rng: fastrand::Rng,
    now: Duration,
    settings: ReplicaSettings,
    places: Vec<Place>,
    lost_disks: Vec<Disk>,
    ledger: Ledger,
    cut: HashSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    what: BTreeMap<u64, Happens>,
    number: u64,
    /// The decider's state: the view, and who counts in it.
    view: View,
    full: BTreeSet<MemberId>,
    troubled: bool,
    commands: u64,
    reads: u64,
    identities: u64,
}

const CHAIN: usize = 2;
const CATCH_UP: Duration = Duration::from_secs(5);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Partition {
    fn new(seed: u64, places: usize) -> Self {
        let settings = ReplicaSettings {
            min_chain: CHAIN,
            batch_entries: 4,
            window_entries: 16,
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
            full: BTreeSet::new(),
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

    fn after(&mut self, delay: Duration, what: Happens) {
        self.number += 1;
        self.what.insert(self.number, what);
        self.queue.push(Reverse((self.now + delay, self.number)));
    }

    fn run(&mut self, span: Duration) {
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

    fn happens(&mut self, what: Happens) {
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
                self.event(place, ReplicaEvent::Tick);
            }
            Happens::Told { place, view } => self.event(place, ReplicaEvent::Install { view }),
            Happens::Reported { member, epoch } if epoch == self.view.epoch => {
                self.full.insert(member);
            }
            Happens::Starts { place } => self.start(place),
            Happens::Client => self.client(),
            Happens::Decider => self.decide(),
            Happens::Trouble => self.trouble(),
            _ => {}
        }
    }

    fn start(&mut self, place: usize) {
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
        self.event(place, ReplicaEvent::Learn);
    }

    fn event(&mut self, place: usize, event: ReplicaEvent) {
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
            let (seq, bytes) = (host.applied, encode(host));
            self.event(place, ReplicaEvent::SnapshotReady { seq, bytes });
        }
        if self.rng.u8(..) == 0 {
            self.checkpoint(place);
        }
        self.schedule_timer(place);
    }

    fn schedule_timer(&mut self, place: usize) {
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

    fn act(&mut self, place: usize, action: ReplicaAction) {
        let me = self.places[place].identity;
        match action {
            ReplicaAction::Send { to, message } => self.send(place, to, message),
            ReplicaAction::Persist { token, records } => {
                self.places[place].disk.unsynced.push(Write::Append { token, records });
                self.sync(place);
            }
            ReplicaAction::Apply { seq, command, reply } => {
                self.ledger.applied(me, seq, &command, reply);
                if reply {
                    let disks = self.places.iter().map(|host| &host.disk).chain(&self.lost_disks);
                    let synced = disks.filter(|disk| disk.has_synced(seq, &command));
                    self.ledger.synced_by(seq, synced.count());
                }
                let host = &mut self.places[place];
                assert_eq!(seq, host.applied + 1, "seed {}: {me:?} applied out of order", self.seed);
                host.applied = seq;
                host.hash = mix(host.hash, &command);
            }
            ReplicaAction::InstallSnapshot { seq, bytes } => {
                let hash: [u8; 8] = bytes[..8].try_into().expect("a state holds its hash");
                let host = &mut self.places[place];
                host.applied = seq;
                host.hash = u64::from_le_bytes(hash);
                self.ledger.state(me, seq, host.hash);
            }
            ReplicaAction::ReadReady { token, seq } => self.ledger.read_ready(token, seq),
            ReplicaAction::ReadFailed { token } => self.ledger.read_failed(token),
            ReplicaAction::BecameFull { epoch } => {
                let delay = millis(self.rng.u64(1..400));
                self.after(delay, Happens::Reported { member: me, epoch });
            }
            _ => {}
        }
    }

    fn checkpoint(&mut self, place: usize) {
        let host = &mut self.places[place];
        let Some(replica) = &host.replica else { return };
        if replica.applied() != host.applied {
            return;
        }
        if let Some(records) = replica.checkpoint(encode(host)) {
            host.disk.unsynced.push(Write::Replace { records });
            self.sync(place);
        }
    }

    fn sync(&mut self, place: usize) {
        if self.places[place].disk.start_sync() {
            let life = self.places[place].life;
            let delay = Duration::from_micros(self.rng.u64(2000..6000)) + self.places[place].disk.slow;
            self.after(delay, Happens::Synced { place, life });
        }
    }

    fn send(&mut self, place: usize, to: MemberId, message: ReplicaMessage) {
        let Some(target) = self.place_of(to) else { return };
        if self.cut.contains(&(place, target)) {
            return;
        }
        let from = self.places[place].identity;
        let late = if self.rng.u8(..) == 0 { self.rng.u64(0..200_000) } else { 0 };
        let delay = Duration::from_micros(self.rng.u64(500..4000) + late);
        self.after(delay, Happens::Arrives { place: target, from, message });
    }

    fn place_of(&self, member: MemberId) -> Option<usize> {
        self.places.iter().position(|host| host.identity == member)
    }

    fn client(&mut self) {
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

    /// Whether the decider believes that a place is there; it may well be wrong.
    fn seems_well(&mut self, member: MemberId) -> bool {
        let now = self.now;
        let Some(place) = self.place_of(member) else { return false };
        let host = &self.places[place];
        let well = host.replica.is_some() && host.frozen_until <= now;
        well && (!self.troubled || self.rng.u8(0..50) > 0)
    }

    /// Changes the chain where that is needed and possible, and tells the present view to everybody.
    fn decide(&mut self) {
        let members = self.view.chain.clone();
        let well: Vec<_> = members.iter().copied().filter(|member| self.seems_well(*member)).collect();
        let keep: Vec<_> = well.iter().copied().filter(|member| self.full.contains(member)).collect();
        let changes = well.len() < members.len() || members.len() < CHAIN;
        if changes && !keep.is_empty() {
            let mut chain = keep;
            let mut others: Vec<_> =
                (0..self.places.len()).map(|place| self.places[place].identity).collect();
            self.rng.shuffle(&mut others);
            for other in others {
                if chain.len() < CHAIN && !chain.contains(&other) && self.seems_well(other) {
                    chain.push(other);
                }
            }
            self.view = View { epoch: self.view.epoch + 1, chain };
            self.full.clear();
        }
        for place in 0..self.places.len() {
            if self.rng.u8(0..4) > 0 {
                let slow = if self.rng.u8(0..8) == 0 { self.rng.u64(0..2000) } else { 0 };
                let delay = millis(self.rng.u64(1..100) + slow);
                let view = self.view.clone();
                self.after(delay, Happens::Told { place, view });
            }
        }
        self.after(millis(300), Happens::Decider);
    }

    fn kill(&mut self, place: usize, back: Duration) {
        let host = &mut self.places[place];
        if host.replica.take().is_none() {
            return;
        }
        host.life += 1;
        host.applied = 0;
        host.hash = 0;
        host.frozen_until = Duration::ZERO;
        host.disk.lose(&mut self.rng);
        self.lost(place, back);
        self.after(back, Happens::Starts { place });
    }

    fn lost(&mut self, place: usize, span: Duration) {
        self.places[place].lost_until = self.places[place].lost_until.max(self.now + span + CATCH_UP);
    }

    fn trouble(&mut self) {
        if !self.troubled {
            return;
        }
        let place = self.rng.usize(..self.places.len());
        let span = millis(self.rng.u64(50..3000));
        match self.rng.u8(0..8) {
            0 | 1 => self.kill(place, span),
            2 => (0..self.places.len()).for_each(|place| self.kill(place, millis(300))),
            3 => {
                self.places[place].frozen_until = self.now + span;
                self.lost(place, span);
            }
            4 => {
                let other = self.rng.usize(..self.places.len());
                self.cut.insert((place, other));
                self.lost(place, Duration::from_secs(3600));
            }
            5 => self.heal(),
            _ => self.wipe(place),
        }
        let delay = millis(self.rng.u64(20..4000));
        self.after(delay, Happens::Trouble);
    }

    /// Prints all there is to know, for a run of one seed.
    fn dump(&self) {
        println!("{:?}: {:?} with {:?}", self.now, self.view, self.full);
        for host in &self.places {
            println!("{:?}: {:?}", host.identity, host.replica);
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        let until = self.now + CATCH_UP;
        for host in self.places.iter_mut().filter(|host| host.lost_until > self.now) {
            host.lost_until = until;
        }
    }

    /// A disk is lost, where all others are well and the chain is whole.
    fn wipe(&mut self, place: usize) {
        let whole = self.view.chain.len() == CHAIN && self.full.len() == CHAIN;
        if !whole || self.places.iter().any(|host| host.lost_until > self.now) || self.now < CATCH_UP {
            return;
        }
        self.kill(place, millis(500));
        self.identities += 1;
        self.places[place].identity = MemberId(self.identities);
        let disk = std::mem::take(&mut self.places[place].disk);
        self.lost_disks.push(disk);
    }
}

fn encode(host: &Place) -> Vec<u8> {
    let mut bytes = host.hash.to_le_bytes().to_vec();
    bytes.resize(8 + (host.applied % 150) as usize, 7);
    bytes
}

#[yare::parameterized(three_backends = { 3 }, five_backends = { 5 })]
fn a_partition_survives_late_news_of_its_views(places: usize) {
    let seeds = std::env::var("CHAIN_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(100);
    for seed in 0..seeds {
        let mut partition = Partition::new(seed, places);
        partition.run(Duration::from_secs(30));
        partition.troubled = false;
        partition.heal();
        partition.run(Duration::from_secs(10));
        let before = partition.ledger.acknowledgements;
        partition.run(Duration::from_secs(1));
        let after = partition.ledger.acknowledgements;
        if after == before {
            partition.dump();
        }
        assert!(after > before, "seed {seed}: nothing is committed in {:?}", partition.view);
        assert!(partition.ledger.reads_done > 0, "seed {seed}: no read was answered");
    }
}

#[test]
fn records_of_a_log_are_read_back_as_they_were() {
    let view = View { epoch: 1, chain: vec![MemberId(1)] };
    let records = vec![
        LogRecord::View { view, full: true },
        LogRecord::Entry { epoch: 1, seq: 1, committed: 0, command: vec![1] },
        LogRecord::Entry { epoch: 1, seq: 2, committed: 1, command: vec![2] },
        LogRecord::Truncate { after: 1 },
        LogRecord::Entry { epoch: 1, seq: 2, committed: 1, command: vec![3] },
    ];
    let settings = ReplicaSettings { min_chain: 1, ..ReplicaSettings::default() };
    let mut replica = Replica::recover(MemberId(1), &records, settings, 1);
    let mut out = Vec::new();
    replica.handle(Duration::ZERO, ReplicaEvent::Started, &mut out);
    let applied: Vec<_> = out
        .into_iter()
        .filter_map(|action| match action {
            ReplicaAction::Apply { seq, command, .. } => Some((seq, command)),
            _ => None,
        })
        .collect();
    assert_eq!(applied, [(1, vec![1]), (2, vec![3])]);
}
