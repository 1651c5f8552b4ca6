//! One batch job as a replica stores it: its items, its results by position, and its driver.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, ItemRecord, JobRecord, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};

use super::EdgeProcess;

/// Estimated bytes of an item or a result in memory in addition to its strings and bodies.
const OVERHEAD_BYTES: u64 = 160;
/// Maximum bytes of the text stored for an item without a result. The next driver generates a longer text from the start.
const MAX_TEXT_BYTES: usize = 256 * 1024;

/// A batch job. The data that is only needed to generate an item's result (body, headers, scoring request) is removed once the item
/// has a result or the batch job is ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    record: JobRecord,
    /// Whether an item has a result, by item index.
    has_result: Vec<bool>,
    /// Results in the order of their positions.
    results: Vec<ResultRecord>,
    /// Texts of items without a result, by item index; each starts with its first event.
    partial_texts: BTreeMap<u32, PartialText>,
    driver: EdgeProcess,
    term: DriverTerm,
    is_ended: bool,
    /// Lower bound of the age: the highest one that a command has carried.
    age: Duration,
    bytes: u64,
}

impl Job {
    /// Creates a batch job with its first driver.
    #[must_use]
    pub fn new(record: JobRecord, driver: EdgeProcess) -> Self {
        let has_result = vec![false; record.items.len()];
        let bytes = record_bytes(&record);
        let (results, partial_texts) = (Vec::new(), BTreeMap::new());
        let age = Duration::ZERO;
        Self { record, has_result, results, partial_texts, driver, term: 1, is_ended: false, age, bytes }
    }

    /// The submitted batch job. Items with results no longer have a body, headers or a scoring request.
    #[must_use]
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Results in the order of their positions.
    #[must_use]
    pub fn results(&self) -> &[ResultRecord] {
        &self.results
    }

    /// Texts of items that have no result yet.
    #[must_use]
    pub fn partial_texts(&self) -> Vec<PartialText> {
        self.partial_texts.values().cloned().collect()
    }

    /// The edge process that currently drives the batch job.
    #[must_use]
    pub fn driver(&self) -> EdgeProcess {
        self.driver
    }

    /// Term of the current driver.
    #[must_use]
    pub fn term(&self) -> DriverTerm {
        self.term
    }

    /// Whether the batch job is ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Whether the batch job needs a driver: it is open, and at least one item has no result yet.
    #[must_use]
    pub fn needs_driver(&self) -> bool {
        !self.is_ended && self.results.len() < self.record.items.len()
    }

    /// Lower bound of the age of the batch job when the newest command about it was proposed.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.age
    }

    /// Estimated bytes of the batch job in memory.
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

    /// Whether an item has a result. Also true for an index without an item, since no result is accepted for it either.
    #[must_use]
    pub fn has_result(&self, item: u32) -> bool {
        self.has_result.get(item as usize).copied().unwrap_or(true)
    }

    /// Body of an item; `None` once the item has a result or the batch job is ended.
    #[must_use]
    pub fn body(&self, id: &str) -> Option<&[u8]> {
        let index = self.record.items.iter().position(|item| item.id == id)?;
        let is_open = !self.is_ended && !self.has_result.get(index).copied().unwrap_or(true);
        self.record.items.get(index).filter(|_| is_open).map(|item| item.body.as_slice())
    }

    /// Results from position `start_after` on, with the ids of their items: as many as fit into `max_bytes`, but at least one if
    /// there is any.
    #[must_use]
    pub fn results_from(&self, start_after: u64, max_bytes: u64) -> Vec<(String, ResultRecord)> {
        let start = usize::try_from(start_after).unwrap_or(usize::MAX);
        let mut bytes_left = max_bytes;
        let mut page = Vec::new();
        for result in self.results.iter().skip(start) {
            let bytes = result_bytes(result);
            if bytes > bytes_left && !page.is_empty() {
                break;
            }
            bytes_left = bytes_left.saturating_sub(bytes);
            let id =
                self.record.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
            page.push((id, result.clone()));
        }
        page
    }

    /// Stores a result at the next position, unless its item already has a result or does not exist.
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

    /// Stores a part of an item's text if it is the start of the text or continues the stored text.
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
        let Some(stored) = self.partial_texts.get_mut(&part.item) else { return };
        let is_continuation =
            stored.origin == part.origin && Some(stored.last_event_id) == part.previous_event_id;
        if is_continuation && stored.data.len() + part.data.len() <= MAX_TEXT_BYTES {
            self.bytes -= text_bytes(stored);
            stored.data.extend_from_slice(&part.data);
            stored.last_event_id = part.last_event_id;
            stored.versions = part.versions;
            stored.is_complete = part.is_complete;
            self.bytes += text_bytes(stored);
        }
    }

    fn remove_text(&mut self, item: u32) {
        if let Some(text) = self.partial_texts.remove(&item) {
            self.bytes = self.bytes.saturating_sub(text_bytes(&text));
        }
    }

    /// Ends the batch job; returns whether it was open.
    pub(super) fn end(&mut self) -> bool {
        let removed_execution_bytes: u64 = self.record.items.iter_mut().map(remove_execution_data).sum();
        let removed_text_bytes: u64 = std::mem::take(&mut self.partial_texts).values().map(text_bytes).sum();
        self.bytes = self.bytes.saturating_sub(removed_execution_bytes + removed_text_bytes);
        !std::mem::replace(&mut self.is_ended, true)
    }

    /// Raises the age to a lower bound that is now known.
    pub(super) fn raise_age(&mut self, age: Duration) {
        self.age = self.age.max(age);
    }

    /// Assigns another driver.
    pub(super) fn assign_driver(&mut self, driver: EdgeProcess, term: DriverTerm) {
        self.driver = driver;
        self.term = term;
    }
}

/// Estimated bytes of a new batch job in memory.
pub fn record_bytes(record: &JobRecord) -> u64 {
    let items: u64 = record.items.iter().map(item_bytes).sum();
    OVERHEAD_BYTES + sum(&[record.id.len(), record.host.len(), record.path.len(), record.model.len()]) + items
}

fn item_bytes(item: &ItemRecord) -> u64 {
    OVERHEAD_BYTES + sum(&[item.id.len(), item.path.len(), item.group.len()]) + execution_bytes(item)
}

/// Estimated bytes of the data that is only needed to generate the item's result.
fn execution_bytes(item: &ItemRecord) -> u64 {
    let headers: usize = item.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    let scoring = item
        .scoring
        .as_ref()
        .map_or(0, |scoring| scoring.id.len() + scoring.host.len() + scoring.path.len() + scoring.body.len());
    sum(&[item.body.len(), headers, scoring])
}

/// Removes the data that is only needed to generate the item's result; returns its estimated bytes.
fn remove_execution_data(item: &mut ItemRecord) -> u64 {
    let bytes = execution_bytes(item);
    item.body = Vec::new();
    item.headers = Vec::new();
    item.scoring = None;
    bytes
}

/// Estimated bytes of a result, both in memory and in a response.
#[must_use]
pub fn result_bytes(result: &ResultRecord) -> u64 {
    OVERHEAD_BYTES + sum(&[result.text.len(), result.score.len(), result.versions.len() * 8])
}

fn text_bytes(text: &PartialText) -> u64 {
    OVERHEAD_BYTES + sum(&[text.data.len(), text.versions.len() * 8])
}

fn sum(parts: &[usize]) -> u64 {
    parts.iter().sum::<usize>() as u64
}
