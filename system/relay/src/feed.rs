//! What one child still has to hear, and when.
//!
//! A feed hands out frames of bounded size: changes from the log first, then what is left of the buckets that differed when the
//! child subscribed. The tick goes along only with a frame after which nothing is left, so that a child with a tick has all that
//! this node had when it saw it.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use gingerledge_protocol::ConfigurationDocument;
use gingerledge_wire::{Entry, FreshnessTick, Key, RelayMessage, Value};

use crate::digest::{bucket_of, BUCKETS};
use crate::freshness::Freshness;
use crate::log::ChangeLog;
use crate::replica::Replica;
use crate::settings::RelaySettings;
use crate::weight::weight;

/// What a feed reads from.
#[derive(Clone, Copy)]
pub(crate) struct Source<'a> {
    pub settings: &'a RelaySettings,
    pub replica: &'a Replica,
    pub log: &'a ChangeLog,
    pub freshness: &'a Freshness,
}

/// Where one child stands.
#[derive(Debug)]
pub(crate) struct Feed {
    subscription: u64,
    sequence: u64,
    sent_at: Option<Duration>,
    position: u64,
    snapshot: Option<Snapshot>,
    /// The number of the change of the configuration that the child has, once it has taken all that was sent.
    configuration: u64,
    tick: FreshnessTick,
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
}

/// Buckets of the copy that are still to be sent, up to the end in the order of keys.
#[derive(Debug)]
struct Snapshot {
    buckets: Vec<bool>,
    after: Option<Key>,
}

/// The child is too far behind to be served from the log.
#[derive(Debug)]
pub(crate) struct Overrun;

impl Feed {
    /// The feed of a child whose copy has this digest, and the configuration of this change.
    pub fn new(subscription: u64, digest: &[u64], configuration: u64, source: Source<'_>) -> Self {
        let snapshot = Snapshot::of_difference(source.replica.digest(), digest);
        Self {
            subscription,
            sequence: 0,
            sent_at: None,
            position: source.log.end(),
            snapshot,
            configuration,
            tick: FreshnessTick::default(),
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// The child's name for it.
    pub fn subscription(&self) -> u64 {
        self.subscription
    }

    /// Up to where the child has been sent the log.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The child has taken everything up to a sequence.
    pub fn acknowledge(&mut self, sequence: u64) {
        while let Some((_, bytes)) = self.in_flight.front().copied().filter(|(sent, _)| *sent <= sequence) {
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
    }

    /// When the next frame is due, as things are.
    pub fn due(&self, source: Source<'_>) -> Duration {
        let Some(sent_at) = self.sent_at else { return Duration::ZERO };
        if self.may_send_entries(source) && self.snapshot.is_some() {
            return sent_at;
        }
        if self.has_news(source) {
            return sent_at + source.settings.update_interval;
        }
        sent_at + source.settings.keepalive
    }

    /// The next frame.
    pub fn next_frame(&mut self, now: Duration, source: Source<'_>) -> Result<RelayMessage, Overrun> {
        let mut frame = Frame::new(source.settings.update_bytes, self.configuration);
        let changes = source.log.since(self.position).ok_or(Overrun)?;
        if self.may_send_entries(source) {
            self.take_changes(changes, source, &mut frame);
            self.take_snapshot(source, &mut frame);
        }
        self.configuration = frame.configuration;
        if self.is_complete(source) {
            self.tick = source.freshness.tick();
        }
        self.sequence += 1;
        self.sent_at = Some(now);
        if frame.bytes > 0 {
            self.in_flight.push_back((self.sequence, frame.bytes));
            self.in_flight_bytes += frame.bytes;
        }
        Ok(RelayMessage::Update {
            subscription: self.subscription,
            sequence: self.sequence,
            tombstone_ages_ms: tombstone_ages_ms(&frame.entries, now, source.replica),
            entries: frame.entries,
            tick: self.tick,
            tick_age_ms: age_ms(source.freshness.age(now)),
        })
    }

    fn may_send_entries(&self, source: Source<'_>) -> bool {
        self.in_flight_bytes < source.settings.window_bytes
    }

    fn has_news(&self, source: Source<'_>) -> bool {
        let entries = self.position < source.log.end() && self.may_send_entries(source);
        entries || (self.is_complete(source) && self.tick != source.freshness.tick())
    }

    fn is_complete(&self, source: Source<'_>) -> bool {
        self.snapshot.is_none() && self.position >= source.log.end()
    }

    fn take_changes<'a>(
        &mut self,
        changes: impl Iterator<Item = &'a Key>,
        source: Source<'_>,
        frame: &mut Frame,
    ) {
        let mut seen = BTreeSet::new();
        for key in changes {
            if frame.is_full() {
                break;
            }
            self.position += 1;
            let entry = source.replica.registry().entry(key);
            if let Some(entry) = entry.filter(|_| seen.insert(key)) {
                frame.add(entry);
            }
        }
    }

    fn take_snapshot(&mut self, source: Source<'_>, frame: &mut Frame) {
        let Some(snapshot) = &mut self.snapshot else { return };
        let left = source.replica.registry().entries_after(snapshot.after.as_ref());
        let mut last = None;
        for entry in left {
            if frame.is_full() {
                snapshot.after = last;
                return;
            }
            if snapshot.covers(&entry.key) {
                frame.add(entry);
            }
            last = Some(entry.key.clone());
        }
        self.snapshot = None;
    }
}

impl Snapshot {
    /// The buckets that differ, if any do; all if the other has them divided in another way.
    fn of_difference(ours: &[u64], theirs: &[u64]) -> Option<Self> {
        let buckets = if theirs.len() == ours.len() {
            ours.iter().zip(theirs).map(|(our, their)| our != their).collect()
        } else {
            vec![true; BUCKETS]
        };
        let differs = buckets.contains(&true);
        differs.then_some(Self { buckets, after: None })
    }

    fn covers(&self, key: &Key) -> bool {
        self.buckets.get(bucket_of(key)).copied().unwrap_or(true)
    }
}

/// Entries for one update, up to about a size.
struct Frame {
    entries: Vec<Entry>,
    bytes: usize,
    most: usize,
    /// The number of the change of the configuration that the child has with this update.
    configuration: u64,
}

impl Frame {
    fn new(most: usize, configuration: u64) -> Self {
        Self { entries: Vec::new(), bytes: 0, most, configuration }
    }

    fn is_full(&self) -> bool {
        self.bytes >= self.most
    }

    fn add(&mut self, entry: &Entry) {
        let entry = match &entry.value {
            Value::Configuration(_) if self.configuration >= entry.version => return,
            Value::Configuration(document) => self.configuration_entry(entry, document),
            _ => entry.clone(),
        };
        self.bytes += weight(&entry);
        self.entries.push(entry);
    }

    /// The configuration, as the updates that lead to it from the one that the child has, or whole where those are not known.
    fn configuration_entry(&mut self, entry: &Entry, document: &ConfigurationDocument) -> Entry {
        let known = std::mem::replace(&mut self.configuration, entry.version);
        match document.updates_since(known) {
            Some(series) => {
                Entry { value: Value::ConfigurationUpdates(series.cloned().collect()), ..entry.clone() }
            }
            None => entry.clone(),
        }
    }
}

fn tombstone_ages_ms(entries: &[Entry], now: Duration, replica: &Replica) -> Vec<u32> {
    let gone = entries.iter().filter(|entry| matches!(entry.value, Value::Tombstone));
    gone.map(|entry| age_ms(replica.gone_for(&entry.key, now))).collect()
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
