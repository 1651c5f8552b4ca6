//! Incremental checkpoints of generated texts: determines the parts that a batch job's partition has not stored yet.
//!
//! A driver of a later term resumes each text from its last checkpoint. While it is unknown whether the partition has stored a part, the
//! item counts as having no checkpoint: the next part then starts at the beginning of the text, so that no gap can arise.

use std::collections::BTreeMap;

use gingerledge_wire::PartialText;

use super::GeneratedText;

/// The current text of an item at the driver, to be compared with its checkpoint.
#[derive(Clone, Copy, Debug)]
pub struct TextView<'a> {
    /// The index of the item.
    pub item: u32,
    /// The identifier of the generation that started the text: a random number, drawn again whenever the item is generated from the start.
    pub origin: u64,
    /// The text so far.
    pub text: &'a GeneratedText,
    /// Whether the text is complete: its stream has ended properly.
    pub is_complete: bool,
}

/// The checkpoint of one text that the partition has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TextCheckpoint {
    origin: u64,
    last_event_id: u64,
    /// The size of the text in the checkpoint, in bytes.
    bytes: usize,
    is_complete: bool,
}

/// The checkpoints of one batch job's texts that the partition has acknowledged.
#[derive(Clone, Debug, Default)]
pub struct CheckpointedTexts {
    by_item: BTreeMap<u32, TextCheckpoint>,
}

impl CheckpointedTexts {
    /// The parts to checkpoint next, of at most `max_bytes` in total. A part that does not fit is left for a later call.
    pub fn next_parts<'a>(
        &self,
        texts: impl Iterator<Item = TextView<'a>>,
        max_bytes: usize,
    ) -> Vec<PartialText> {
        let mut remaining_bytes = max_bytes;
        let mut parts = Vec::new();
        for part in texts.filter_map(|view| self.next_part(view)) {
            if part.data.len() > remaining_bytes {
                continue;
            }
            remaining_bytes -= part.data.len();
            parts.push(part);
        }
        parts
    }

    /// Records that parts were sent. Until they are acknowledged, the next part of such a text starts at the beginning of the text.
    pub fn on_sent(&mut self, parts: &[PartialText]) {
        for part in parts {
            self.by_item.remove(&part.item);
        }
    }

    /// Records that the partition acknowledged parts; `sizes` must be the result of [`Self::sizes_with`] from before [`Self::on_sent`].
    pub fn on_acknowledged(&mut self, parts: &[PartialText], sizes: &[usize]) {
        for (part, &bytes) in parts.iter().zip(sizes) {
            let checkpoint = TextCheckpoint {
                origin: part.origin,
                last_event_id: part.last_event_id,
                bytes,
                is_complete: part.is_complete,
            };
            self.by_item.insert(part.item, checkpoint);
        }
    }

    /// The size of each part's text at the partition once it has stored the part, in bytes.
    #[must_use]
    pub fn sizes_with(&self, parts: &[PartialText]) -> Vec<usize> {
        let size_before = |part: &PartialText| match part.previous_event_id {
            Some(_) => self.by_item.get(&part.item).map_or(0, |checkpoint| checkpoint.bytes),
            None => 0,
        };
        parts.iter().map(|part| size_before(part) + part.data.len()).collect()
    }

    fn next_part(&self, view: TextView<'_>) -> Option<PartialText> {
        let last_event_id = view.text.last_event_id()?;
        let checkpoint = self.by_item.get(&view.item).filter(|checkpoint| checkpoint.origin == view.origin);
        let is_current = |checkpoint: &TextCheckpoint| {
            checkpoint.last_event_id >= last_event_id && checkpoint.is_complete == view.is_complete
        };
        if checkpoint.is_some_and(is_current) {
            return None;
        }
        let data = view.text.data_from(checkpoint.map_or(0, |checkpoint| checkpoint.bytes));
        Some(PartialText {
            item: view.item,
            origin: view.origin,
            previous_event_id: checkpoint.map(|checkpoint| checkpoint.last_event_id),
            last_event_id,
            data: data.to_vec(),
            versions: view.text.versions().to_vec(),
            is_complete: view.is_complete,
        })
    }
}
