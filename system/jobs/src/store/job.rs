//! One batch job as a replica stores it: its items, its results by position, its driver.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, ItemRecord, JobRecord, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};

use super::EdgeProcess;

/// Estimated bytes of an item or a result in memory besides its strings and bodies.
const OVERHEAD_BYTES: u64 = 160;
/// Bounds the text stored of an item without a result; the next driver generates a longer one from its start.
const MAX_TEXT_BYTES: usize = 256 * 1024;

/// A batch job. What is only needed to generate an item's result (body, headers, reward call) is removed once the item has a
/// result, or the batch job is ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    record: JobRecord,
    /// By item: whether it has a result.
    has_result: Vec<bool>,
    /// Results by position.
    results: Vec<ResultRecord>,
    /// Texts of items without a result, by item; each from its first event on.
    partial_texts: BTreeMap<u32, PartialText>,
    driver: EdgeProcess,
    term: DriverTerm,
    ended: bool,
    /// The age that the newest commands carried: a lower bound.
    age: Duration,
    bytes: u64,
}

impl Job {
    /// A new batch job with its first driver.
    #[must_use]
    pub fn new(record: JobRecord, driver: EdgeProcess) -> Self {
        let has_result = vec![false; record.items.len()];
        let bytes = record_bytes(&record);
        let (results, partial_texts) = (Vec::new(), BTreeMap::new());
        let age = Duration::ZERO;
        Self { record, has_result, results, partial_texts, driver, term: 1, ended: false, age, bytes }
    }

    /// The batch job; items with results have neither body nor headers nor reward call any more.
    #[must_use]
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Results by position.
    #[must_use]
    pub fn results(&self) -> &[ResultRecord] {
        &self.results
    }

    /// Texts of items that have no result.
    #[must_use]
    pub fn partial_texts(&self) -> Vec<PartialText> {
        self.partial_texts.values().cloned().collect()
    }

    /// The driver.
    #[must_use]
    pub fn driver(&self) -> EdgeProcess {
        self.driver
    }

    /// The driver's term.
    #[must_use]
    pub fn term(&self) -> DriverTerm {
        self.term
    }

    /// Whether it is ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether it needs a driver: it is open, and an item has no result yet.
    #[must_use]
    pub fn needs_driver(&self) -> bool {
        !self.ended && self.results.len() < self.record.items.len()
    }

    /// A lower bound of the age that it had when the newest command about it was proposed.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.age
    }

    /// Estimated bytes of it in memory.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Indices of the items that have a result.
    #[must_use]
    pub fn items_with_results(&self) -> Vec<u32> {
        let with_results = self.has_result.iter().enumerate().filter(|(_, has_result)| **has_result);
        with_results.filter_map(|(item, _)| u32::try_from(item).ok()).collect()
    }

    /// Whether an item has a result; also true of an index without item, for which none is accepted either.
    #[must_use]
    pub fn has_result(&self, item: u32) -> bool {
        self.has_result.get(item as usize).copied().unwrap_or(true)
    }

    /// The body of an item that has no result yet, while the batch job is open.
    #[must_use]
    pub fn body(&self, id: &str) -> Option<&[u8]> {
        let index = self.record.items.iter().position(|item| item.id == id)?;
        let is_open = !self.ended && !self.has_result.get(index).copied().unwrap_or(true);
        self.record.items.get(index).filter(|_| is_open).map(|item| item.body.as_slice())
    }

    /// Results from a position on, with their items' ids: as many as fit into the bytes, but at least one if there is one.
    #[must_use]
    pub fn results_from(&self, start_after: u64, max_bytes: u64) -> Vec<(String, ResultRecord)> {
        let start = usize::try_from(start_after).unwrap_or(usize::MAX);
        let mut bytes_left = max_bytes;
        let mut found = Vec::new();
        for result in self.results.iter().skip(start) {
            let bytes = result_bytes(result);
            if bytes > bytes_left && !found.is_empty() {
                break;
            }
            bytes_left = bytes_left.saturating_sub(bytes);
            let id =
                self.record.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
            found.push((id, result.clone()));
        }
        found
    }

    /// Gives a result the next position, unless its item has one already or does not exist.
    pub(super) fn append_result(&mut self, result: ResultRecord) {
        let index = result.item as usize;
        let (Some(has_result), Some(item)) =
            (self.has_result.get_mut(index), self.record.items.get_mut(index))
        else {
            return;
        };
        if std::mem::replace(has_result, true) {
            return;
        }
        self.bytes = self.bytes.saturating_sub(remove_execution_data(item)) + result_bytes(&result);
        self.remove_text(result.item);
        self.results.push(result);
    }

    /// Stores a part of an item's text, if it is the start of the text or continues the stored one.
    pub(super) fn append_text(&mut self, part: PartialText) {
        if self.has_result(part.item) || part.data.len() > MAX_TEXT_BYTES {
            return;
        }
        if part.previous_event_id.is_none() {
            self.remove_text(part.item);
            self.bytes += text_bytes(&part);
            self.partial_texts.insert(part.item, part);
            return;
        }
        let Some(known) = self.partial_texts.get_mut(&part.item) else { return };
        let is_continuation =
            known.origin == part.origin && Some(known.last_event_id) == part.previous_event_id;
        if is_continuation && known.data.len() + part.data.len() <= MAX_TEXT_BYTES {
            self.bytes -= text_bytes(known);
            known.data.extend_from_slice(&part.data);
            known.last_event_id = part.last_event_id;
            known.versions = part.versions;
            known.is_complete = part.is_complete;
            self.bytes += text_bytes(known);
        }
    }

    fn remove_text(&mut self, item: u32) {
        if let Some(text) = self.partial_texts.remove(&item) {
            self.bytes = self.bytes.saturating_sub(text_bytes(&text));
        }
    }

    /// Ends it; returns whether it was open.
    pub(super) fn end(&mut self) -> bool {
        let released: u64 = self.record.items.iter_mut().map(remove_execution_data).sum();
        let texts: u64 = std::mem::take(&mut self.partial_texts).values().map(text_bytes).sum();
        self.bytes = self.bytes.saturating_sub(released + texts);
        !std::mem::replace(&mut self.ended, true)
    }

    /// Records an age that it has certainly reached.
    pub(super) fn raise_age(&mut self, age: Duration) {
        self.age = self.age.max(age);
    }

    /// Gives it another driver.
    pub(super) fn assign_driver(&mut self, driver: EdgeProcess, term: DriverTerm) {
        self.driver = driver;
        self.term = term;
    }
}

/// Estimated bytes of a new batch job in memory.
pub fn record_bytes(record: &JobRecord) -> u64 {
    let items: u64 = record.items.iter().map(item_bytes).sum();
    OVERHEAD_BYTES
        + total(&[record.id.len(), record.host.len(), record.path.len(), record.model.len()])
        + items
}

fn item_bytes(item: &ItemRecord) -> u64 {
    OVERHEAD_BYTES + total(&[item.id.len(), item.path.len(), item.group.len()]) + execution_bytes(item)
}

/// Estimated bytes of what is only needed to generate the item's result.
fn execution_bytes(item: &ItemRecord) -> u64 {
    let headers: usize = item.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    let scoring = item
        .scoring
        .as_ref()
        .map_or(0, |scoring| scoring.id.len() + scoring.host.len() + scoring.path.len() + scoring.body.len());
    total(&[item.body.len(), headers, scoring])
}

/// Removes what is only needed to generate the item's result; returns its bytes.
fn remove_execution_data(item: &mut ItemRecord) -> u64 {
    let bytes = execution_bytes(item);
    item.body = Vec::new();
    item.headers = Vec::new();
    item.scoring = None;
    bytes
}

/// Estimated bytes of a result, in memory and in a response.
#[must_use]
pub fn result_bytes(result: &ResultRecord) -> u64 {
    OVERHEAD_BYTES + total(&[result.text.len(), result.score.len(), result.versions.len() * 8])
}

fn text_bytes(text: &PartialText) -> u64 {
    OVERHEAD_BYTES + total(&[text.data.len(), text.versions.len() * 8])
}

fn total(parts: &[usize]) -> u64 {
    parts.iter().sum::<usize>() as u64
}
