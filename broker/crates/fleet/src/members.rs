//! The membership state machine of one broker. The protocol implementation of `foca` decides on the state of each member; this
//! module supplies its clock and timers, limits the rate of sending, tracks this broker's health, and renews its identity. The
//! crate documentation lists the guarantees.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{
    Codec, Config, Foca, NoCustomBroadcast, Notification, PeriodicParams, Runtime, Timer as ProtocolTimer,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;

use crate::wire::{BrokerIdentity, CodecError, DatagramCodec, MAX_DATAGRAM_BYTES, START_LIMIT};
use crate::{BrokerNumber, Millis};

/// Number of members that are requested to probe a member indirectly after a direct probe failed.
const INDIRECT_PROBES: usize = 3;
/// Number of times that an update is sent on, per power of ten of the fleet's size.
const TRANSMISSIONS_PER_DECADE: f64 = 8.0;
/// Time that a suspect has for refuting the suspicion, in probe periods per power of ten of the fleet's size. Fleets of fewer
/// than ten brokers count as ten.
const SUSPICION_PERIODS_PER_DECADE: f64 = 5.0;
/// Number of gossip rounds per probe period while there are updates to send on.
const GOSSIPS_PER_PERIOD: f64 = 4.0;
/// Number of members that receive each gossip round.
const GOSSIP_FANOUT: usize = 2;
/// Maximum number of suspects that are contacted directly per probe period.
const MAX_SUSPECTS_CONTACTED: usize = 3;
/// Time for which a member that is down is remembered, as a multiple of the suspicion time-out. Updates about it are not sent
/// on after that time.
const DOWN_RETENTION_FACTOR: f64 = 10.0;
/// Maximum health score. Timers run for `1 + score` times their normal duration.
const MAX_HEALTH_SCORE: u32 = 7;
/// Window for repeated renewals of this broker's identity, in probe periods: a renewal within the window after the last one
/// advances the start time by twice as much.
const RENEWAL_WINDOW_PERIODS: f64 = 10.0;

/// Settings of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of configured brokers, running or not. Broker numbers are less than this.
    pub members: BrokerNumber,
    /// Number of this broker.
    pub own: BrokerNumber,
    /// Probe period, in milliseconds: one other member is probed in each.
    pub probe_ms: Millis,
    /// Time-out for the answer to a direct probe, in milliseconds, after which other members are requested to probe as well.
    /// Must be less than half of `probe_ms`.
    pub answer_ms: Millis,
    /// Maximum number of datagrams sent per second on average; also the maximum burst.
    pub sent_per_s: f64,
}

impl Settings {
    fn log10_members(&self) -> f64 {
        f64::from(self.members.max(2)).log10().max(1.0)
    }

    /// Time that a suspect has for refuting the suspicion while this broker is healthy, in milliseconds.
    pub fn suspicion_timeout_ms(&self) -> Millis {
        SUSPICION_PERIODS_PER_DECADE * self.log10_members() * self.probe_ms
    }

    fn config(&self) -> Config {
        let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let duration = |ms: Millis| Duration::from_secs_f64(ms.max(1.0) / 1000.0);
        let transmissions = (TRANSMISSIONS_PER_DECADE * self.log10_members()).ceil().min(255.0) as u8;
        let gossip = PeriodicParams {
            frequency: duration(self.probe_ms / GOSSIPS_PER_PERIOD),
            num_members: non_zero(GOSSIP_FANOUT),
        };
        Config {
            probe_period: duration(self.probe_ms),
            probe_rtt: duration(self.answer_ms),
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(self.suspicion_timeout_ms()),
            remove_down_after: Some(duration(DOWN_RETENTION_FACTOR * self.suspicion_timeout_ms())),
            max_packet_size: non_zero(MAX_DATAGRAM_BYTES),
            // A member that is alive but was declared down has to be notified of that, or it would never rejoin.
            notify_down_members: true,
            // `Membership` itself announces this broker to members that are not known to be alive, one at a time, whether they
            // were known before or not.
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(gossip),
        }
    }
}

/// A change in this broker's view of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This member is alive.
    Joined(BrokerNumber),
    /// This member left or was declared down.
    Left(BrokerNumber),
    /// This member restarted, or was declared down by mistake and renewed its identity.
    Renewed(BrokerNumber),
    /// No other member is known to be alive.
    Isolated,
    /// Other members declared this broker down; it rejoins with a renewed identity.
    Rejoined,
    /// This process was suspended for this many milliseconds.
    Paused(u64),
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The member answers, or no probe of it has failed yet.
    Alive,
    /// A probe of the member failed.
    Suspect,
    /// The member did not refute the suspicion in time, or announced that it leaves.
    Down,
    /// Nothing is known about the member.
    Unknown,
}

/// A member as this broker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Number of the member.
    pub number: BrokerNumber,
    /// State of the member.
    pub state: State,
    /// Start time of the member in Unix milliseconds by its own clock, or a later value if it renewed its identity since; 0 if
    /// the state is `Unknown`.
    pub start: u64,
    /// Number of suspicions that the member has refuted since `start`.
    pub incarnation: u16,
}

/// Counters of sent and received datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Total size of the datagrams sent, in bytes.
    pub sent_bytes: u64,
    /// Number of datagrams dropped because of the limit on the rate of sending.
    pub throttled: u64,
    /// Number of datagrams received and processed.
    pub received: u64,
    /// Number of datagrams received and rejected, because they could not be decoded or carried a wrong sender.
    pub rejected: u64,
}

/// Reason why a received datagram was rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`]; holds its size in bytes.
    #[error("{0} bytes, and at most {DATAGRAM_MOST} are read", DATAGRAM_MOST = MAX_DATAGRAM_BYTES)]
    TooLong(usize),
    /// The header can't be decoded.
    #[error("head: {0}")]
    Header(#[from] CodecError),
    /// The datagram came from one broker's address and carries the number of another broker as its sender.
    #[error("from broker {from}, and says that it is from {said}", said = .claimed)]
    SenderMismatch {
        /// Number of the broker that the datagram's source address belongs to.
        from: BrokerNumber,
        /// Sender's number in the datagram's header.
        claimed: BrokerNumber,
    },
    /// The rest of the datagram can't be decoded or contradicts the protocol; holds the error of `foca` as text.
    #[error("{0}")]
    Body(String),
}

/// Outputs of a call of the protocol implementation, to be carried out by [`Membership::apply_effects`].
#[derive(Default)]
struct Effects {
    sends: Vec<(BrokerIdentity, Vec<u8>)>,
    timers: Vec<(Duration, ProtocolTimer<BrokerIdentity>)>,
    changes: Vec<Change>,
    defunct: bool,
}

impl Runtime<BrokerIdentity> for &mut Effects {
    fn notify(&mut self, notification: Notification<'_, BrokerIdentity>) {
        match notification {
            Notification::MemberUp(identity) => self.changes.push(Change::Joined(identity.number)),
            Notification::MemberDown(identity) => self.changes.push(Change::Left(identity.number)),
            Notification::Rename(_, identity) => self.changes.push(Change::Renewed(identity.number)),
            Notification::Idle => self.changes.push(Change::Isolated),
            Notification::Defunct => self.defunct = true,
            Notification::Active | Notification::Rejoin(_) => {}
        }
    }

    fn send_to(&mut self, to: BrokerIdentity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: ProtocolTimer<BrokerIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}

type Protocol = Foca<BrokerIdentity, DatagramCodec, SmallRng, NoCustomBroadcast>;

/// Key of a timer: due time on the `active_time` clock in microseconds, rank among timers that are due at the same time, and
/// sequence number.
type TimerKey = (u64, u8, u64);

/// One broker's view of which members of the fleet are alive.
pub struct Membership {
    settings: Settings,
    protocol: Protocol,
    rng: SmallRng,
    decoder: DatagramCodec,
    /// Pending timers, with the time on the `active_time` clock at which each was set.
    timers: BTreeMap<TimerKey, (ProtocolTimer<BrokerIdentity>, Millis)>,
    timer_sequence: u64,
    /// Time on the `active_time` clock at which a datagram was last received from each broker, by broker number.
    last_received: Vec<Millis>,
    /// Host time of the latest call.
    last_call: Millis,
    /// Time that has passed since creation, without suspensions of this process.
    active_time: Millis,
    /// Time on the `active_time` clock at which this broker next announces itself to a member not known to be alive.
    next_announce: Millis,
    /// 0 if this broker is healthy, up to `MAX_HEALTH_SCORE`.
    health_score: u32,
    /// Token bucket that limits the rate of sending: number of datagrams that may be sent now.
    tokens: f64,
    /// Host time at which `tokens` was last refilled.
    tokens_refilled: Millis,
    /// Time on the `active_time` clock of the last renewal of this broker's identity, and the number of milliseconds by which it
    /// advanced the start time.
    last_renewal: Option<(Millis, u64)>,
    has_left: bool,
    outgoing: VecDeque<(BrokerNumber, Vec<u8>)>,
    changes: Vec<Change>,
    counts: Counts,
}

impl Membership {
    /// Creates the membership of a broker that knows no other members yet and started at the Unix time `start`, in milliseconds.
    pub fn new(settings: Settings, start: u64, seed: u64, now: Millis) -> Self {
        let settings = Settings { members: settings.members.max(settings.own.saturating_add(1)), ..settings };
        let latest_own_start = Rc::new(Cell::new(0));
        let wire = || DatagramCodec {
            members: settings.members,
            own: settings.own,
            latest_own_start: latest_own_start.clone(),
        };
        let identity = BrokerIdentity { number: settings.own, start: start.min(START_LIMIT - 1) };
        Self {
            protocol: Foca::new(identity, settings.config(), SmallRng::seed_from_u64(seed), wire()),
            rng: SmallRng::seed_from_u64(!seed),
            decoder: wire(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            last_received: vec![f64::NEG_INFINITY; usize::from(settings.members)],
            last_call: now,
            active_time: 0.0,
            next_announce: 0.0,
            health_score: 0,
            tokens: settings.sent_per_s.max(1.0),
            tokens_refilled: now,
            last_renewal: None,
            has_left: false,
            outgoing: VecDeque::new(),
            changes: Vec::new(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Processes a datagram received from the address of broker `from`.
    pub fn receive(&mut self, from: BrokerNumber, bytes: &[u8], now: Millis) -> Result<(), DatagramError> {
        self.advance_clocks(now);
        let result = self.process(from, bytes);
        match result {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.rejected += 1,
        }
        result
    }

    fn process(&mut self, from: BrokerNumber, bytes: &[u8]) -> Result<(), DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong(bytes.len()));
        }
        let claimed = self.decoder.decode_header(bytes)?.src.number;
        if claimed != from {
            return Err(DatagramError::SenderMismatch { from, claimed });
        }
        if self.has_left {
            return Ok(());
        }
        let handled = self.call_protocol(|protocol, effects| protocol.handle_data(bytes, effects));
        if let Some(received_at) = self.last_received.get_mut(usize::from(from)).filter(|_| handled.is_ok()) {
            *received_at = self.active_time;
        }
        handled.map_err(|fault| DatagramError::Body(fault.to_string()))
    }

    /// Handles the timers that are due. Also announces this broker to a member not known to be alive, and contacts suspects, once
    /// per probe period.
    pub fn handle_timers(&mut self, now: Millis) {
        self.advance_clocks(now);
        while let Some(first) =
            self.timers.first_entry().filter(|first| first.key().0 <= to_micros(self.active_time))
        {
            let (timer, set_at) = first.remove();
            // Guards against declaring down a member that answers: its refutation may carry an incarnation that others know
            // already, so that nobody forwards the suspicion to it. The member remains a suspect here until it is probed again.
            if matches!(timer, ProtocolTimer::ChangeSuspectToDown { member_id, .. } if self.received_since(member_id, set_at))
            {
                continue;
            }
            let is_probe = matches!(timer, ProtocolTimer::ProbeRandomMember(_));
            let mut effects = Effects::default();
            // An error means that the timer was obsolete, or ran twice or too late; `foca` has restored its own state by then.
            let _ = self.protocol.handle_timer(timer, &mut effects);
            if is_probe {
                // The previous probe failed, directly and indirectly: this broker itself may be unable to receive datagrams.
                let failed = |(_, timer): &(_, ProtocolTimer<BrokerIdentity>)| {
                    matches!(timer, ProtocolTimer::ChangeSuspectToDown { .. })
                };
                self.health_score = match effects.timers.iter().any(failed) {
                    false => self.health_score.saturating_sub(1),
                    true => (self.health_score + 1).min(MAX_HEALTH_SCORE),
                };
            }
            self.apply_effects(effects);
        }
        if self.active_time >= self.next_announce {
            self.next_announce = self.active_time + self.settings.probe_ms;
            if !self.has_left {
                self.announce_to_unknown();
                self.contact_suspects();
            }
        }
    }

    /// Host time at which [`Membership::handle_timers`] has to be called next if no datagram arrives.
    pub fn next_due(&self) -> Millis {
        // At least twice per probe period, so that a suspension of this process is detected.
        let latest = self.settings.probe_ms / 2.0;
        let timer = self.timers.first_key_value().map(|(due, _)| due.0 as f64 / 1000.0);
        let next = timer.into_iter().chain([self.next_announce]).fold(self.active_time + latest, f64::min);
        self.last_call + (next - self.active_time).max(0.0)
    }

    /// Announces that this broker leaves, so that the others need not detect its absence by probes.
    pub fn leave(&mut self, now: Millis) {
        self.advance_clocks(now);
        self.has_left = true;
        let _ = self.call_protocol(|protocol, effects| protocol.leave_cluster(effects));
    }

    /// Removes and returns the datagrams to send, each with the number of its receiver.
    pub fn take_outgoing(&mut self) -> impl Iterator<Item = (BrokerNumber, Vec<u8>)> + '_ {
        self.outgoing.drain(..)
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Numbers of the members that are alive, including this broker, in ascending order.
    pub fn alive(&self) -> Vec<BrokerNumber> {
        let others = self.protocol.iter_members().map(|member| member.id().number);
        let mut alive: Vec<BrokerNumber> =
            others.filter(|number| *number != self.settings.own).chain([self.settings.own]).collect();
        alive.sort_unstable();
        alive
    }

    /// All configured members, in ascending order of their numbers.
    pub fn all_members(&self) -> Vec<Member> {
        let unknown = |number| Member { number, state: State::Unknown, start: 0, incarnation: 0 };
        let mut all: Vec<Member> = (0..self.settings.members).map(unknown).collect();
        for member in self.protocol.iter_membership_state() {
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Down,
            };
            let number = member.id().number;
            if let Some(entry) = all.get_mut(usize::from(number)) {
                *entry =
                    Member { number, state, start: member.id().start, incarnation: member.incarnation() };
            }
        }
        if let Some(own) = all.get_mut(usize::from(self.settings.own)) {
            own.state = State::Alive;
            own.start = self.protocol.identity().start;
        }
        all
    }

    /// Returns the counters of sent and received datagrams.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Health score of this broker, from 0 (healthy) to 7: probe and suspicion timers run for `1 + score` times their normal
    /// duration.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// Total number of entries in the timer, datagram, change and update queues.
    pub fn entry_count(&self) -> usize {
        self.timers.len() + self.outgoing.len() + self.changes.len() + self.protocol.updates_backlog()
    }

    /// Advances the clocks. The part of a step beyond one probe period counts as a suspension of this process, since the host
    /// calls at least twice per period: no datagram could be received meanwhile, so that no member must be suspected for it.
    fn advance_clocks(&mut self, now: Millis) {
        let step = (now - self.last_call).max(0.0);
        self.last_call = self.last_call.max(now);
        self.active_time += step.min(self.settings.probe_ms);
        if step > self.settings.probe_ms {
            self.changes.push(Change::Paused((step - self.settings.probe_ms) as u64));
        }
    }

    /// Announces this broker to a random member that is not known to be alive. This is how a broker discovers the others, how
    /// restarted brokers are found, and how partitions of the fleet rediscover each other.
    fn announce_to_unknown(&mut self) {
        let alive = self.alive();
        let unknown_count = usize::from(self.settings.members).saturating_sub(alive.len());
        if unknown_count == 0 {
            return;
        }
        let chosen = self.rng.random_range(0..unknown_count);
        let is_unknown = |number: &BrokerNumber| alive.binary_search(number).is_err();
        let Some(number) = (0..self.settings.members).filter(is_unknown).nth(chosen) else { return };
        let _ = self.call_protocol(|protocol, effects| {
            protocol.announce(BrokerIdentity { number, start: 0 }, effects)
        });
    }

    fn received_since(&self, identity: BrokerIdentity, since: Millis) -> bool {
        self.last_received.get(usize::from(identity.number)).is_some_and(|received_at| *received_at > since)
    }

    /// Contacts the members that this broker is about to declare down, so that the decision does not depend on others' updates
    /// alone.
    fn contact_suspects(&mut self) {
        let pending = self.timers.values().filter_map(|(timer, set_at)| match timer {
            ProtocolTimer::ChangeSuspectToDown { member_id, .. }
                if !self.received_since(*member_id, *set_at) =>
            {
                Some(*member_id)
            }
            _ => None,
        });
        let contacted: Vec<BrokerIdentity> = pending.take(MAX_SUSPECTS_CONTACTED).collect();
        for identity in contacted {
            let _ = self.call_protocol(|protocol, effects| protocol.announce(identity, effects));
        }
    }

    /// Calls the protocol implementation and applies the effects of the call.
    fn call_protocol<T>(&mut self, call: impl FnOnce(&mut Protocol, &mut Effects) -> T) -> T {
        let mut effects = Effects::default();
        let result = call(&mut self.protocol, &mut effects);
        self.apply_effects(effects);
        result
    }

    /// Applies effects: sets timers, extended by this broker's health score, and queues datagrams within the limit on the rate of
    /// sending.
    fn apply_effects(&mut self, effects: Effects) {
        let health_factor = f64::from(1 + self.health_score);
        for (after, timer) in effects.timers {
            // Of timers due at the same time, those of probes run before the timers that depend on their results.
            let rank = match timer {
                ProtocolTimer::SendIndirectProbe { .. } => 0,
                ProtocolTimer::ProbeRandomMember(_) => 1,
                _ => 2,
            };
            let scale = match timer {
                ProtocolTimer::SendIndirectProbe { .. }
                | ProtocolTimer::ProbeRandomMember(_)
                | ProtocolTimer::ChangeSuspectToDown { .. } => health_factor,
                _ => 1.0,
            };
            self.timer_sequence += 1;
            let due = to_micros(self.active_time + after.as_secs_f64() * 1000.0 * scale);
            self.timers.insert((due, rank, self.timer_sequence), (timer, self.active_time));
        }
        self.changes.extend(effects.changes.into_iter().filter(|change| {
            // An earlier identity of this broker is not another member.
            !matches!(change, Change::Joined(n) | Change::Left(n) | Change::Renewed(n) if *n == self.settings.own)
        }));
        let gained = (self.last_call - self.tokens_refilled).max(0.0) / 1000.0 * self.settings.sent_per_s;
        (self.tokens, self.tokens_refilled) =
            ((self.tokens + gained).min(self.settings.sent_per_s.max(1.0)), self.last_call);
        for (to, bytes) in effects.sends {
            if self.tokens < 1.0 {
                self.counts.throttled += 1;
                continue;
            }
            self.tokens -= 1.0;
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            self.outgoing.push_back((to.number, bytes));
        }
        if effects.defunct && !self.has_left {
            self.renew_identity();
        }
    }

    /// Renews this broker's identity with a later start time, because other members declared the present one down or know a later
    /// one. The others' start time is unknown, so that each renewal soon after another doubles the step: 22 renewals make up for a
    /// clock that was set back by an hour.
    fn renew_identity(&mut self) {
        let own = *self.protocol.identity();
        let window = RENEWAL_WINDOW_PERIODS * self.settings.probe_ms;
        let step_ms = match self.last_renewal {
            Some((at, last_step_ms)) if self.active_time - at < window => last_step_ms.saturating_mul(2),
            _ => 1,
        };
        self.last_renewal = Some((self.active_time, step_ms));
        let start =
            own.start.saturating_add(step_ms).max(self.decoder.latest_own_start.get().saturating_add(1));
        // No later start time can be encoded: this broker stays out until its process restarts.
        if start >= START_LIMIT {
            return;
        }
        self.changes.push(Change::Rejoined);
        let _ = self.call_protocol(|protocol, effects| {
            protocol.change_identity(BrokerIdentity { start, ..own }, effects)
        });
    }
}

fn to_micros(ms: Millis) -> u64 {
    (ms * 1000.0) as u64
}
