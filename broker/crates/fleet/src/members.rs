//! Who lives. The protocol's own machine decides on each member; this one owns the time it lives in, its timers, the bound on
//! what is sent, this broker's health and its name. See the crate's opening for what is promised.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{Codec, Config, Foca, NoCustomBroadcast, Notification, PeriodicParams, Runtime, Timer as Alarm};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;

use crate::wire::{Name, Unreadable, Wire, DATAGRAM_MOST, START_END};
use crate::{Millis, Number};

/// How many others are asked to probe on one's behalf.
const INDIRECT: usize = 3;
/// A word is passed on so many times for each tenfold of the fleet.
const PASSED_ON: f64 = 8.0;
/// A suspect has so many probe periods to refute, for each tenfold of the fleet, and no less than once.
const SUSPECT_PERIODS: f64 = 5.0;
/// While there are words to pass on, so many gossips in a probe period, to so many members each.
const GOSSIPS: f64 = 4.0;
const GOSSIP_TO: usize = 2;
/// So many suspects are asked themselves in a probe period.
const ASKED_AT_ONCE: usize = 3;
/// What is gone is remembered for so many times a suspect's time: words on it are then no longer passed on.
const GONE_TIMES: f64 = 10.0;
/// The worst health: everything takes one more than so many times as long.
const HEALTH_WORST: u32 = 7;
/// A name renewed again within so many probe periods goes twice as far ahead.
const RENEWED_PERIODS: f64 = 10.0;

/// What membership goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How many brokers there may be; their numbers are below this.
    pub members: Number,
    /// This broker's number.
    pub own: Number,
    /// One other is probed in each such period.
    pub probe_ms: Millis,
    /// An answer that takes longer is asked for through others. Less than half of `probe_ms`.
    pub answer_ms: Millis,
    /// How many datagrams a second are sent at the most; so many at once.
    pub sent_per_s: f64,
}

impl Settings {
    fn tenfolds(&self) -> f64 {
        f64::from(self.members.max(2)).log10().max(1.0)
    }

    /// How long a suspect may take to refute, where this broker is well.
    pub fn suspect_ms(&self) -> Millis {
        SUSPECT_PERIODS * self.tenfolds() * self.probe_ms
    }

    fn config(&self) -> Config {
        let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let span = |ms: Millis| Duration::from_secs_f64(ms.max(1.0) / 1000.0);
        let passed_on = (PASSED_ON * self.tenfolds()).ceil().min(255.0) as u8;
        let gossip =
            PeriodicParams { frequency: span(self.probe_ms / GOSSIPS), num_members: some(GOSSIP_TO) };
        Config {
            probe_period: span(self.probe_ms),
            probe_rtt: span(self.answer_ms),
            num_indirect_probes: some(INDIRECT),
            max_transmissions: NonZeroU8::new(passed_on).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: span(self.suspect_ms()),
            remove_down_after: Some(span(GONE_TIMES * self.suspect_ms())),
            max_packet_size: some(DATAGRAM_MOST),
            // Who is taken for gone and is not has to hear of it, or it would stay away.
            notify_down_members: true,
            // Strangers are greeted by this package, one at a time, whether they were known before or not.
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(gossip),
        }
    }
}

/// A change of mind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This one lives.
    Joined(Number),
    /// This one is gone.
    Left(Number),
    /// This one has started anew, or was taken for gone and was not.
    Renewed(Number),
    /// Nobody else lives, as far as can be seen.
    Alone,
    /// The others took this broker for gone; it comes back.
    Returned,
    /// This process stood still for so many milliseconds.
    Paused(u64),
}

/// How a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It answers, or has not been missed yet.
    Alive,
    /// It has been missed.
    Suspect,
    /// It has not refuted that in time, or has said that it leaves.
    Gone,
    /// Nothing is known of it.
    Unknown,
}

/// A member as this broker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its number.
    pub number: Number,
    /// How it does.
    pub state: State,
    /// When it started, in Unix time by its own clock, or later.
    pub start: u64,
    /// How often it has refuted since.
    pub incarnation: u16,
}

/// What was sent and taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub bytes: u64,
    /// Datagrams not sent, since the bound was reached.
    pub held_back: u64,
    /// Datagrams taken in.
    pub heard: u64,
    /// Datagrams that changed nothing because they could not be read, or were not their sender's.
    pub unread: u64,
}

/// Why a datagram changed nothing.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Fault {
    /// It is longer than any may be.
    #[error("{0} bytes, and at most {DATAGRAM_MOST} are read")]
    Long(usize),
    /// Its head can't be read.
    #[error("head: {0}")]
    Head(#[from] Unreadable),
    /// It comes from one broker and says that it is from another.
    #[error("from broker {from}, and says that it is from {said}")]
    Impostor {
        /// Whose address it came from.
        from: Number,
        /// Who it says it is from.
        said: Number,
    },
    /// What follows its head can't be read, or makes no sense.
    #[error("{0}")]
    Rest(String),
}

/// What the protocol's machine wants done.
#[derive(Default)]
struct Effects {
    sends: Vec<(Name, Vec<u8>)>,
    timers: Vec<(Duration, Alarm<Name>)>,
    changes: Vec<Change>,
    defunct: bool,
}

impl Runtime<Name> for &mut Effects {
    fn notify(&mut self, notification: Notification<'_, Name>) {
        match notification {
            Notification::MemberUp(name) => self.changes.push(Change::Joined(name.number)),
            Notification::MemberDown(name) => self.changes.push(Change::Left(name.number)),
            Notification::Rename(_, name) => self.changes.push(Change::Renewed(name.number)),
            Notification::Idle => self.changes.push(Change::Alone),
            Notification::Defunct => self.defunct = true,
            Notification::Active | Notification::Rejoin(_) => {}
        }
    }

    fn send_to(&mut self, to: Name, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Alarm<Name>, after: Duration) {
        self.timers.push((after, event));
    }
}

type Machine = Foca<Name, Wire, SmallRng, NoCustomBroadcast>;

/// When a timer is due on this broker's own time, in microseconds; its place among those of one moment; and its number.
type Due = (u64, u8, u64);

/// One broker's view of who lives.
pub struct Members {
    set: Settings,
    machine: Machine,
    rng: SmallRng,
    reader: Wire,
    /// The timers, and when each was set.
    timers: BTreeMap<Due, (Alarm<Name>, Millis)>,
    numbered: u64,
    /// By number, when a broker was last heard.
    heard: Vec<Millis>,
    /// The host's time when this was last called, and how much of it this process was awake.
    last: Millis,
    awake: Millis,
    /// When a stranger is greeted next, on that time.
    greet_at: Millis,
    health: u32,
    /// Datagrams that may be sent, and when that was last counted, by the host's time.
    tokens: f64,
    counted: Millis,
    /// When this broker's name was last renewed, and by how much.
    renewed: Option<(Millis, u64)>,
    left: bool,
    outgoing: VecDeque<(Number, Vec<u8>)>,
    changes: Vec<Change>,
    counts: Counts,
}

impl Members {
    /// A broker that knows nobody yet and has started at this Unix time, in milliseconds.
    pub fn new(set: Settings, start: u64, seed: u64, now: Millis) -> Self {
        let set = Settings { members: set.members.max(set.own.saturating_add(1)), ..set };
        let told = Rc::new(Cell::new(0));
        let wire = || Wire { members: set.members, own: set.own, told: told.clone() };
        let name = Name { number: set.own, start: start.min(START_END - 1) };
        Self {
            machine: Foca::new(name, set.config(), SmallRng::seed_from_u64(seed), wire()),
            rng: SmallRng::seed_from_u64(!seed),
            reader: wire(),
            timers: BTreeMap::new(),
            numbered: 0,
            heard: vec![f64::NEG_INFINITY; usize::from(set.members)],
            last: now,
            awake: 0.0,
            greet_at: 0.0,
            health: 0,
            tokens: set.sent_per_s.max(1.0),
            counted: now,
            renewed: None,
            left: false,
            outgoing: VecDeque::new(),
            changes: Vec::new(),
            counts: Counts::default(),
            set,
        }
    }

    /// Takes in what came from a broker's address.
    pub fn hear(&mut self, from: Number, bytes: &[u8], now: Millis) -> Result<(), Fault> {
        self.pass(now);
        let heard = self.take(from, bytes);
        match heard {
            Ok(()) => self.counts.heard += 1,
            Err(_) => self.counts.unread += 1,
        }
        heard
    }

    fn take(&mut self, from: Number, bytes: &[u8]) -> Result<(), Fault> {
        if bytes.len() > DATAGRAM_MOST {
            return Err(Fault::Long(bytes.len()));
        }
        let said = self.reader.decode_header(bytes)?.src.number;
        if said != from {
            return Err(Fault::Impostor { from, said });
        }
        if self.left {
            return Ok(());
        }
        let taken = self.play(|machine, effects| machine.handle_data(bytes, effects));
        if let Some(heard) = self.heard.get_mut(usize::from(from)).filter(|_| taken.is_ok()) {
            *heard = self.awake;
        }
        taken.map_err(|fault| Fault::Rest(fault.to_string()))
    }

    /// Does what is due.
    pub fn turn(&mut self, now: Millis) {
        self.pass(now);
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().0 <= micros(self.awake))
        {
            let (timer, set) = first.remove();
            // Guards against taking for gone who answers: its refutation may be of an incarnation that others know already,
            // so that nobody passes the suspicion on to it. It stays a suspect here until it is probed again.
            if matches!(timer, Alarm::ChangeSuspectToDown { member_id, .. } if self.heard_since(member_id, set))
            {
                continue;
            }
            let probed = matches!(timer, Alarm::ProbeRandomMember(_));
            let mut effects = Effects::default();
            // An error is of a timer that came twice or too late, and the machine has put itself right.
            let _ = self.machine.handle_timer(timer, &mut effects);
            if probed {
                // The last probe failed, by way of others too: perhaps it is this broker that hears nothing.
                let failed =
                    |(_, timer): &(_, Alarm<Name>)| matches!(timer, Alarm::ChangeSuspectToDown { .. });
                self.health = match effects.timers.iter().any(failed) {
                    false => self.health.saturating_sub(1),
                    true => (self.health + 1).min(HEALTH_WORST),
                };
            }
            self.settle(effects);
        }
        if self.awake >= self.greet_at {
            self.greet_at = self.awake + self.set.probe_ms;
            if !self.left {
                self.greet();
                self.ask_suspects();
            }
        }
    }

    /// When [`Members::turn`] is due, though nothing is heard.
    pub fn due(&self) -> Millis {
        // No later than that, so that a pause of this process shows.
        let latest = self.set.probe_ms / 2.0;
        let timer = self.timers.first_key_value().map(|(due, _)| due.0 as f64 / 1000.0);
        let next = timer.into_iter().chain([self.greet_at]).fold(self.awake + latest, f64::min);
        self.last + (next - self.awake).max(0.0)
    }

    /// Says good-bye: the others need not miss this broker first.
    pub fn leave(&mut self, now: Millis) {
        self.pass(now);
        self.left = true;
        let _ = self.play(|machine, effects| machine.leave_cluster(effects));
    }

    /// What is to be sent, and to whom.
    pub fn outgoing(&mut self) -> impl Iterator<Item = (Number, Vec<u8>)> + '_ {
        self.outgoing.drain(..)
    }

    /// What has changed since this was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Who lives, this broker among them, in the order of their numbers.
    pub fn living(&self) -> Vec<Number> {
        let others = self.machine.iter_members().map(|member| member.id().number);
        let mut living: Vec<Number> =
            others.filter(|number| *number != self.set.own).chain([self.set.own]).collect();
        living.sort_unstable();
        living
    }

    /// All members, in the order of their numbers.
    pub fn all(&self) -> Vec<Member> {
        let unknown = |number| Member { number, state: State::Unknown, start: 0, incarnation: 0 };
        let mut all: Vec<Member> = (0..self.set.members).map(unknown).collect();
        for member in self.machine.iter_membership_state() {
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Gone,
            };
            let number = member.id().number;
            if let Some(seen) = all.get_mut(usize::from(number)) {
                *seen = Member { number, state, start: member.id().start, incarnation: member.incarnation() };
            }
        }
        if let Some(own) = all.get_mut(usize::from(self.set.own)) {
            own.state = State::Alive;
            own.start = self.machine.identity().start;
        }
        all
    }

    /// What was sent and taken in.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How badly off this broker is, from 0 to 7: everything takes so many times longer, and once more.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// How many entries its tables hold.
    pub fn sizes(&self) -> usize {
        self.timers.len() + self.outgoing.len() + self.changes.len() + self.machine.updates_backlog()
    }

    /// Time passes. What goes beyond a probe period at once is a pause of this process, since the host comes at
    /// least twice in one: nobody could be heard meanwhile, and nobody is missed for it.
    fn pass(&mut self, now: Millis) {
        let step = (now - self.last).max(0.0);
        self.last = self.last.max(now);
        self.awake += step.min(self.set.probe_ms);
        if step > self.set.probe_ms {
            self.changes.push(Change::Paused((step - self.set.probe_ms) as u64));
        }
    }

    /// Says hello to one that is not known to live: so a broker finds the others, those that come back are found, and parts of
    /// the fleet that were cut off from each other meet again.
    fn greet(&mut self) {
        let living = self.living();
        let strangers = usize::from(self.set.members).saturating_sub(living.len());
        if strangers == 0 {
            return;
        }
        let chosen = self.rng.random_range(0..strangers);
        let unknown = |number: &Number| living.binary_search(number).is_err();
        let Some(number) = (0..self.set.members).filter(unknown).nth(chosen) else { return };
        let _ = self.play(|machine, effects| machine.announce(Name { number, start: 0 }, effects));
    }

    fn heard_since(&self, name: Name, since: Millis) -> bool {
        self.heard.get(usize::from(name.number)).is_some_and(|heard| *heard > since)
    }

    /// Asks those that this broker is about to take for gone whether they are, so that it does not hang on others' words alone.
    fn ask_suspects(&mut self) {
        let pending = self.timers.values().filter_map(|(timer, set)| match timer {
            Alarm::ChangeSuspectToDown { member_id, .. } if !self.heard_since(*member_id, *set) => {
                Some(*member_id)
            }
            _ => None,
        });
        let asked: Vec<Name> = pending.take(ASKED_AT_ONCE).collect();
        for name in asked {
            let _ = self.play(|machine, effects| machine.announce(name, effects));
        }
    }

    /// Calls the machine, and does what it wants.
    fn play<T>(&mut self, call: impl FnOnce(&mut Machine, &mut Effects) -> T) -> T {
        let mut effects = Effects::default();
        let done = call(&mut self.machine, &mut effects);
        self.settle(effects);
        done
    }

    /// Does what the machine wants: timers as long as this broker's health makes them, datagrams within the bound.
    fn settle(&mut self, effects: Effects) {
        let longer = f64::from(1 + self.health);
        for (after, timer) in effects.timers {
            // Probes among those of one moment go before what depends on them.
            let place = match timer {
                Alarm::SendIndirectProbe { .. } => 0,
                Alarm::ProbeRandomMember(_) => 1,
                _ => 2,
            };
            let scale = match timer {
                Alarm::SendIndirectProbe { .. }
                | Alarm::ProbeRandomMember(_)
                | Alarm::ChangeSuspectToDown { .. } => longer,
                _ => 1.0,
            };
            self.numbered += 1;
            let due = micros(self.awake + after.as_secs_f64() * 1000.0 * scale);
            self.timers.insert((due, place, self.numbered), (timer, self.awake));
        }
        self.changes.extend(effects.changes.into_iter().filter(|change| {
            // An earlier start of this broker's own name is nobody else.
            !matches!(change, Change::Joined(n) | Change::Left(n) | Change::Renewed(n) if *n == self.set.own)
        }));
        let gained = (self.last - self.counted).max(0.0) / 1000.0 * self.set.sent_per_s;
        (self.tokens, self.counted) = ((self.tokens + gained).min(self.set.sent_per_s.max(1.0)), self.last);
        for (to, bytes) in effects.sends {
            if self.tokens < 1.0 {
                self.counts.held_back += 1;
                continue;
            }
            self.tokens -= 1.0;
            self.counts.sent += 1;
            self.counts.bytes += bytes.len() as u64;
            self.outgoing.push_back((to.number, bytes));
        }
        if effects.defunct && !self.left {
            self.renew();
        }
    }

    /// The others take this start of the broker for gone, or know a later one: it takes a later name. By how much later theirs is
    /// is not told, so that each renewal soon after another goes twice as far: a clock an hour back is made up for in 22.
    fn renew(&mut self) {
        let own = *self.machine.identity();
        let again = RENEWED_PERIODS * self.set.probe_ms;
        let by = match self.renewed {
            Some((at, by)) if self.awake - at < again => by.saturating_mul(2),
            _ => 1,
        };
        self.renewed = Some((self.awake, by));
        let start = own.start.saturating_add(by).max(self.reader.told.get().saturating_add(1));
        // Out of names: it stays away until its process starts anew.
        if start >= START_END {
            return;
        }
        self.changes.push(Change::Returned);
        let _ = self.play(|machine, effects| machine.change_identity(Name { start, ..own }, effects));
    }
}

fn micros(ms: Millis) -> u64 {
    (ms * 1000.0) as u64
}
