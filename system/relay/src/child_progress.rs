//! The progress of one child: which entries it still has to be sent, and when.
//!
//! Updates are of bounded size. Each holds changes from the log first, then remaining entries of the buckets that differed when the
//! child subscribed. A new tick is sent only with an update after which nothing remains to be sent, so a child with a tick has all
//! entries that this node had when it received that tick.

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

/// The state of this node from which updates are built.
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
    /// Version of the configuration that the child has once it has received all updates sent so far.
    configuration_version: u64,
    tick: FreshnessTick,
    /// Sequence number and size in bytes of each unacknowledged update with entries.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
}

/// The buckets in which the child's copy differs. Their entries after the key `after` are still to be sent.
#[derive(Debug)]
struct DifferingBuckets {
    /// Whether each bucket differs.
    buckets: Vec<bool>,
    after: Option<Key>,
}

/// Error: the change log no longer holds all changes that the child needs.
#[derive(Debug)]
pub(crate) struct ChangeLogOverrun;

impl ChildProgress {
    /// Creates the progress of a child whose copy has this digest and this configuration version.
    pub(crate) fn new(
        subscription: u64,
        digest: &[u64],
        configuration_version: u64,
        source: UpdateSource<'_>,
    ) -> Self {
        let differing_buckets = DifferingBuckets::of_difference(source.replica.digest(), digest);
        Self {
            subscription,
            sequence: 0,
            sent_at: None,
            log_position: source.change_log.end(),
            differing_buckets,
            configuration_version,
            tick: FreshnessTick::default(),
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// The identifier of the subscription, chosen by the child.
    pub(crate) fn subscription(&self) -> u64 {
        self.subscription
    }

    /// The position in the change log up to which the child has been sent all changes.
    pub(crate) fn log_position(&self) -> u64 {
        self.log_position
    }

    /// Records that the child has received all updates up to a sequence number.
    pub(crate) fn acknowledge(&mut self, sequence: u64) {
        while let Some((_, bytes)) =
            self.in_flight.front().copied().filter(|(sent_sequence, _)| *sent_sequence <= sequence)
        {
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
    }

    /// The time at which the next update is due, if nothing else changes.
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

    /// Builds the next update.
    ///
    /// # Errors
    ///
    /// [`ChangeLogOverrun`] if the change log no longer reaches back to the position of the child.
    pub(crate) fn next_update(
        &mut self,
        now: Duration,
        source: UpdateSource<'_>,
    ) -> Result<RelayMessage, ChangeLogOverrun> {
        let mut update = UpdateBuilder::new(source.settings.max_update_bytes, self.configuration_version);
        let changes = source.change_log.since(self.log_position).ok_or(ChangeLogOverrun)?;
        if self.is_window_open(source) {
            self.add_changes(changes, source, &mut update);
            self.add_differing_entries(source, &mut update);
        }
        self.configuration_version = update.configuration_version;
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
        let has_changes = self.log_position < source.change_log.end() && self.is_window_open(source);
        has_changes || (self.is_complete(source) && self.tick != source.freshness.tick())
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
        let mut last_key = None;
        for entry in remaining {
            if update.is_full() {
                differing_buckets.after = last_key;
                return;
            }
            if differing_buckets.covers(&entry.key) {
                update.add(entry);
            }
            last_key = Some(entry.key.clone());
        }
        self.differing_buckets = None;
    }
}

impl DifferingBuckets {
    /// The buckets that differ, or `None` if both digests are equal. All buckets count as different if the numbers of buckets are.
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

/// Collects the entries of one update, up to a size that the last entry may exceed.
struct UpdateBuilder {
    entries: Vec<Entry>,
    bytes: usize,
    max_bytes: usize,
    /// Version of the configuration that the child has once it has received this update.
    configuration_version: u64,
}

impl UpdateBuilder {
    fn new(max_bytes: usize, configuration_version: u64) -> Self {
        Self { entries: Vec::new(), bytes: 0, max_bytes, configuration_version }
    }

    fn is_full(&self) -> bool {
        self.bytes >= self.max_bytes
    }

    fn add(&mut self, entry: &Entry) {
        let entry = match &entry.value {
            Value::Configuration(_) if self.configuration_version >= entry.version => return,
            Value::Configuration(document) => self.configuration_entry(entry, document),
            _ => entry.clone(),
        };
        self.bytes += entry_size(&entry);
        self.entries.push(entry);
    }

    /// The configuration as the series of updates since the child's version, or in full if those updates are no longer kept.
    fn configuration_entry(&mut self, entry: &Entry, document: &ConfigurationDocument) -> Entry {
        let known_version = std::mem::replace(&mut self.configuration_version, entry.version);
        match document.updates_since(known_version) {
            Some(updates) => {
                Entry { value: Value::ConfigurationUpdates(updates.cloned().collect()), ..entry.clone() }
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
