//! One batch job: its items, its results by position, its driver.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, ItemRecord, JobRecord, PartialText, ResultRecord};
use serde::{Deserialize, Serialize};

use super::EdgeProcess;

/// What an item or a result takes in memory besides its strings and bodies.
const OVERHEAD_BYTES: u64 = 160;
/// The most bytes of a text that are kept before it is whole; what is longer begins anew at the next driver.
const MOST_TEXT_BYTES: usize = 256 * 1024;

/// A batch job as a replica keeps it. What a listed item needed for its run is dropped, and with the end all of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    record: JobRecord,
    /// By item: whether it has a position.
    listed: Vec<bool>,
    /// By position.
    results: Vec<ResultRecord>,
    /// Texts so far of items that are not listed, by item; each from its first event on.
    texts: BTreeMap<u32, PartialText>,
    driver: EdgeProcess,
    term: DriverTerm,
    ended: bool,
    /// The age that it has certainly reached.
    age: Duration,
    bytes: u64,
}

impl Job {
    /// A new batch job with its first driver.
    pub fn new(record: JobRecord, driver: EdgeProcess) -> Self {
        let listed = vec![false; record.items.len()];
        let bytes = record_bytes(&record);
        let (results, texts) = (Vec::new(), BTreeMap::new());
        let age = Duration::ZERO;
        Self { record, listed, results, texts, driver, term: 1, ended: false, age, bytes }
    }

    /// The batch job; items that are listed have neither body nor headers nor reward call any more.
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Results by position.
    pub fn results(&self) -> &[ResultRecord] {
        &self.results
    }

    /// Texts so far of items that have no result.
    pub fn texts(&self) -> Vec<PartialText> {
        self.texts.values().cloned().collect()
    }

    /// The driver.
    pub fn driver(&self) -> EdgeProcess {
        self.driver
    }

    /// The driver's term.
    pub fn term(&self) -> DriverTerm {
        self.term
    }

    /// Whether it is ended.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether somebody has to drive it: it is open, and an item is not listed yet.
    pub fn needs_driver(&self) -> bool {
        !self.ended && self.results.len() < self.record.items.len()
    }

    /// The age that it had certainly reached when the newest command about it was proposed.
    pub fn age(&self) -> Duration {
        self.age
    }

    /// Bytes that it takes in memory.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Items that have a position.
    pub fn listed_items(&self) -> Vec<u32> {
        let listed = self.listed.iter().enumerate().filter(|(_, listed)| **listed);
        listed.filter_map(|(item, _)| u32::try_from(item).ok()).collect()
    }

    /// Whether an item has a position; also true of an item that isn't there.
    pub fn is_listed(&self, item: u32) -> bool {
        self.listed.get(item as usize).copied().unwrap_or(true)
    }

    /// The body of an item that isn't listed yet, while the batch job is open.
    pub fn body(&self, id: &str) -> Option<&[u8]> {
        let index = self.record.items.iter().position(|item| item.id == id)?;
        let open = !self.ended && !self.listed.get(index).copied().unwrap_or(true);
        self.record.items.get(index).filter(|_| open).map(|item| item.body.as_slice())
    }

    /// Results from a position on with their items' ids: as many as fit, but at least one if there is one.
    pub fn page(&self, start_after: u64, max_bytes: u64) -> Vec<(String, ResultRecord)> {
        let start = usize::try_from(start_after).unwrap_or(usize::MAX);
        let mut left = max_bytes;
        let mut page = Vec::new();
        for result in self.results.iter().skip(start) {
            let bytes = result_bytes(result);
            if bytes > left && !page.is_empty() {
                break;
            }
            left = left.saturating_sub(bytes);
            let id =
                self.record.items.get(result.item as usize).map(|item| item.id.clone()).unwrap_or_default();
            page.push((id, result.clone()));
        }
        page
    }

    /// Gives a result the next position, unless its item has one or does not exist.
    pub(super) fn list(&mut self, result: ResultRecord) {
        let index = result.item as usize;
        let (Some(listed), Some(item)) = (self.listed.get_mut(index), self.record.items.get_mut(index))
        else {
            return;
        };
        if std::mem::replace(listed, true) {
            return;
        }
        self.bytes = self.bytes.saturating_sub(release(item)) + result_bytes(&result);
        self.drop_text(result.item);
        self.results.push(result);
    }

    /// Keeps a part of a text, if it begins the text or goes on where the kept one ends.
    pub(super) fn save(&mut self, part: PartialText) {
        if self.is_listed(part.item) || part.data.len() > MOST_TEXT_BYTES {
            return;
        }
        if part.previous_event_id.is_none() {
            self.drop_text(part.item);
            self.bytes += text_bytes(&part);
            self.texts.insert(part.item, part);
            return;
        }
        let Some(known) = self.texts.get_mut(&part.item) else { return };
        let goes_on = known.origin == part.origin && Some(known.last_event_id) == part.previous_event_id;
        if goes_on && known.data.len() + part.data.len() <= MOST_TEXT_BYTES {
            self.bytes -= text_bytes(known);
            known.data.extend_from_slice(&part.data);
            known.last_event_id = part.last_event_id;
            known.versions = part.versions;
            known.is_complete = part.is_complete;
            self.bytes += text_bytes(known);
        }
    }

    fn drop_text(&mut self, item: u32) {
        if let Some(text) = self.texts.remove(&item) {
            self.bytes = self.bytes.saturating_sub(text_bytes(&text));
        }
    }

    /// Ends it; says whether it was open.
    pub(super) fn end(&mut self) -> bool {
        let released: u64 = self.record.items.iter_mut().map(release).sum();
        let texts: u64 = std::mem::take(&mut self.texts).values().map(text_bytes).sum();
        self.bytes = self.bytes.saturating_sub(released + texts);
        !std::mem::replace(&mut self.ended, true)
    }

    pub(super) fn reach_age(&mut self, age: Duration) {
        self.age = self.age.max(age);
    }

    /// Gives it another driver.
    pub(super) fn drive(&mut self, driver: EdgeProcess, term: DriverTerm) {
        self.driver = driver;
        self.term = term;
    }
}

/// Bytes that a new batch job takes in memory.
pub fn record_bytes(record: &JobRecord) -> u64 {
    let items: u64 = record.items.iter().map(item_bytes).sum();
    OVERHEAD_BYTES
        + length(&[record.id.len(), record.host.len(), record.path.len(), record.model.len()])
        + items
}

fn item_bytes(item: &ItemRecord) -> u64 {
    OVERHEAD_BYTES + length(&[item.id.len(), item.path.len(), item.group.len()]) + run_bytes(item)
}

/// Bytes that only a run of the item needs.
fn run_bytes(item: &ItemRecord) -> u64 {
    let headers: usize = item.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    let scoring = item
        .scoring
        .as_ref()
        .map_or(0, |scoring| scoring.id.len() + scoring.host.len() + scoring.path.len() + scoring.body.len());
    length(&[item.body.len(), headers, scoring])
}

/// Drops what only a run needs; returns its bytes.
fn release(item: &mut ItemRecord) -> u64 {
    let bytes = run_bytes(item);
    item.body = Vec::new();
    item.headers = Vec::new();
    item.scoring = None;
    bytes
}

/// Bytes that a result takes, in memory and about as many in a page.
pub fn result_bytes(result: &ResultRecord) -> u64 {
    OVERHEAD_BYTES + length(&[result.text.len(), result.score.len(), result.versions.len() * 8])
}

fn text_bytes(text: &PartialText) -> u64 {
    OVERHEAD_BYTES + length(&[text.data.len(), text.versions.len() * 8])
}

fn length(parts: &[usize]) -> u64 {
    parts.iter().sum::<usize>() as u64
}
