//! The progress of one child: what it still has to be sent, and when.
//!
//! Updates are of bounded size: changes from the log come first, then what remains of the buckets that differed when the child
//! subscribed. A new tick goes only with an update after which nothing remains, so that a child with a tick has all that this node
//! had when it got that tick.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use gingerledge_protocol::ConfigurationDocument;
use gingerledge_wire::{Entry, FreshnessTick, Key, RelayMessage, Value};

use crate::change_log::ChangeLog;
use crate::digest::{bucket_of, BUCKETS};
use crate::entry_size::entry_size;
use crate::freshness::Freshness;
use crate::replica::Replica;
use crate::settings::RelaySettings;

/// What updates are made from.
#[derive(Clone, Copy)]
pub(crate) struct UpdateSource<'a> {
    pub settings: &'a RelaySettings,
    pub replica: &'a Replica,
    pub change_log: &'a ChangeLog,
    pub freshness: &'a Freshness,
}

/// The progress of one child.
#[derive(Debug)]
pub(crate) struct ChildProgress {
    subscription: u64,
    sequence: u64,
    sent_at: Option<Duration>,
    log_position: u64,
    differing_buckets: Option<DifferingBuckets>,
    /// The number of the change of the configuration that the child has, once it has received all that was sent.
    configuration: u64,
    tick: FreshnessTick,
    /// Sequence and bytes of the updates without acknowledgement.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
}

/// The buckets of the copy that differ, of which the entries after a key are still to be sent.
#[derive(Debug)]
struct DifferingBuckets {
    buckets: Vec<bool>,
    after: Option<Key>,
}

/// The child is too far behind to be served from the log.
#[derive(Debug)]
pub(crate) struct Overrun;

impl ChildProgress {
    /// The progress of a child whose copy has this digest, and whose configuration is that of this change.
    pub(crate) fn new(
        subscription: u64,
        digest: &[u64],
        configuration: u64,
        source: UpdateSource<'_>,
    ) -> Self {
        let differing_buckets = DifferingBuckets::of_difference(source.replica.digest(), digest);
        Self {
            subscription,
            sequence: 0,
            sent_at: None,
            log_position: source.change_log.end(),
            differing_buckets,
            configuration,
            tick: FreshnessTick::default(),
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// The subscription's identifier, chosen by the child.
    pub(crate) fn subscription(&self) -> u64 {
        self.subscription
    }

    /// The position in the change log up to which the child has been sent everything.
    pub(crate) fn log_position(&self) -> u64 {
        self.log_position
    }

    /// The child has received everything up to a sequence.
    pub(crate) fn acknowledge(&mut self, sequence: u64) {
        while let Some((_, bytes)) = self.in_flight.front().copied().filter(|(sent, _)| *sent <= sequence) {
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
    }

    /// When the next update is due, if nothing else changes.
    pub(crate) fn next_update_at(&self, source: UpdateSource<'_>) -> Duration {
        let Some(sent_at) = self.sent_at else { return Duration::ZERO };
        if self.is_window_open(source) && self.differing_buckets.is_some() {
            return sent_at;
        }
        if self.has_updates(source) {
            return sent_at + source.settings.update_interval;
        }
        sent_at + source.settings.keepalive_interval
    }

    /// The next update.
    ///
    /// # Errors
    ///
    /// [`Overrun`] if the change log no longer reaches back to the position of the child.
    pub(crate) fn next_update(
        &mut self,
        now: Duration,
        source: UpdateSource<'_>,
    ) -> Result<RelayMessage, Overrun> {
        let mut update = UpdateBuilder::new(source.settings.max_update_bytes, self.configuration);
        let changes = source.change_log.since(self.log_position).ok_or(Overrun)?;
        if self.is_window_open(source) {
            self.add_changes(changes, source, &mut update);
            self.add_differing_entries(source, &mut update);
        }
        self.configuration = update.configuration;
        if self.is_complete(source) {
            self.tick = source.freshness.tick();
        }
        self.sequence += 1;
        self.sent_at = Some(now);
        if update.bytes > 0 {
            self.in_flight.push_back((self.sequence, update.bytes));
            self.in_flight_bytes += update.bytes;
        }
        Ok(RelayMessage::Update {
            subscription: self.subscription,
            sequence: self.sequence,
            tombstone_ages_ms: tombstone_ages_ms(&update.entries, now, source.replica),
            entries: update.entries,
            tick: self.tick,
            tick_age_ms: age_ms(source.freshness.age(now)),
        })
    }

    fn is_window_open(&self, source: UpdateSource<'_>) -> bool {
        self.in_flight_bytes < source.settings.max_inflight_bytes
    }

    fn has_updates(&self, source: UpdateSource<'_>) -> bool {
        let entries = self.log_position < source.change_log.end() && self.is_window_open(source);
        entries || (self.is_complete(source) && self.tick != source.freshness.tick())
    }

    fn is_complete(&self, source: UpdateSource<'_>) -> bool {
        self.differing_buckets.is_none() && self.log_position >= source.change_log.end()
    }

    fn add_changes<'a>(
        &mut self,
        changes: impl Iterator<Item = &'a Key>,
        source: UpdateSource<'_>,
        update: &mut UpdateBuilder,
    ) {
        let mut seen = BTreeSet::new();
        for key in changes {
            if update.is_full() {
                break;
            }
            self.log_position += 1;
            let entry = source.replica.registry().entry(key);
            if let Some(entry) = entry.filter(|_| seen.insert(key)) {
                update.add(entry);
            }
        }
    }

    fn add_differing_entries(&mut self, source: UpdateSource<'_>, update: &mut UpdateBuilder) {
        let Some(differing_buckets) = &mut self.differing_buckets else { return };
        let remaining = source.replica.registry().entries_after(differing_buckets.after.as_ref());
        let mut last = None;
        for entry in remaining {
            if update.is_full() {
                differing_buckets.after = last;
                return;
            }
            if differing_buckets.covers(&entry.key) {
                update.add(entry);
            }
            last = Some(entry.key.clone());
        }
        self.differing_buckets = None;
    }
}

impl DifferingBuckets {
    /// The buckets that differ, if any do; all if the other has them divided in another way.
    fn of_difference(ours: &[u64], theirs: &[u64]) -> Option<Self> {
        let buckets = if theirs.len() == ours.len() {
            ours.iter().zip(theirs).map(|(our, their)| our != their).collect()
        } else {
            vec![true; BUCKETS]
        };
        let has_difference = buckets.contains(&true);
        has_difference.then_some(Self { buckets, after: None })
    }

    fn covers(&self, key: &Key) -> bool {
        self.buckets.get(bucket_of(key)).copied().unwrap_or(true)
    }
}

/// Collects the entries of one update, up to about a size.
struct UpdateBuilder {
    entries: Vec<Entry>,
    bytes: usize,
    max_bytes: usize,
    /// The number of the change of the configuration that the child has with this update.
    configuration: u64,
}

impl UpdateBuilder {
    fn new(max_bytes: usize, configuration: u64) -> Self {
        Self { entries: Vec::new(), bytes: 0, max_bytes, configuration }
    }

    fn is_full(&self) -> bool {
        self.bytes >= self.max_bytes
    }

    fn add(&mut self, entry: &Entry) {
        let entry = match &entry.value {
            Value::Configuration(_) if self.configuration >= entry.version => return,
            Value::Configuration(document) => self.configuration_entry(entry, document),
            _ => entry.clone(),
        };
        self.bytes += entry_size(&entry);
        self.entries.push(entry);
    }

    /// The configuration, as the updates that lead to it from the one that the child has, or in full where those are not known.
    fn configuration_entry(&mut self, entry: &Entry, document: &ConfigurationDocument) -> Entry {
        let known_sequence = std::mem::replace(&mut self.configuration, entry.version);
        match document.updates_since(known_sequence) {
            Some(series) => {
                Entry { value: Value::ConfigurationUpdates(series.cloned().collect()), ..entry.clone() }
            }
            None => entry.clone(),
        }
    }
}

fn tombstone_ages_ms(entries: &[Entry], now: Duration, replica: &Replica) -> Vec<u32> {
    let tombstones = entries.iter().filter(|entry| matches!(entry.value, Value::Tombstone));
    tombstones.map(|entry| age_ms(replica.tombstone_age(&entry.key, now))).collect()
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
