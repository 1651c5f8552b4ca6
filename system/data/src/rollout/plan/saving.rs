//! Which parts of the texts so far are not saved with the batch job yet. A driver that takes over goes on from what is saved.

use std::collections::BTreeMap;

use gingerledge_wire::PartialText;

use super::Text;

/// A text as it stands at the driver.
#[derive(Clone, Copy, Debug)]
pub struct TextView<'a> {
    /// The index of its item.
    pub item: u32,
    /// Which beginning of the item's text it is.
    pub origin: u64,
    /// The text.
    pub text: &'a Text,
    /// Whether it is whole.
    pub whole: bool,
}

/// How much of one text is saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Saved {
    origin: u64,
    last_id: u64,
    bytes: usize,
    whole: bool,
}

/// How much of each text of one batch job is saved.
#[derive(Clone, Debug, Default)]
pub struct SavedTexts {
    saved: BTreeMap<u32, Saved>,
}

impl SavedTexts {
    /// The parts that are to be saved next, of so many bytes at most.
    pub fn parts<'a>(
        &self,
        texts: impl Iterator<Item = TextView<'a>>,
        most_bytes: usize,
    ) -> Vec<PartialText> {
        let mut left = most_bytes;
        let mut parts = Vec::new();
        for part in texts.filter_map(|view| self.part(view)) {
            if part.data.len() > left {
                continue;
            }
            left -= part.data.len();
            parts.push(part);
        }
        parts
    }

    /// The parts were sent, and it is not known whether they are kept: such a text is saved from its beginning next time.
    pub fn sent(&mut self, parts: &[PartialText]) {
        for part in parts {
            self.saved.remove(&part.item);
        }
    }

    /// A part is kept, after all that was kept before it.
    pub fn kept(&mut self, parts: &[PartialText], sizes: &[usize]) {
        for (part, &bytes) in parts.iter().zip(sizes) {
            let saved =
                Saved { origin: part.origin, last_id: part.last_event_id, bytes, whole: part.is_complete };
            self.saved.insert(part.item, saved);
        }
    }

    /// How long each text is with its part.
    pub fn sizes(&self, parts: &[PartialText]) -> Vec<usize> {
        let before = |part: &PartialText| match part.previous_event_id {
            Some(_) => self.saved.get(&part.item).map_or(0, |saved| saved.bytes),
            None => 0,
        };
        parts.iter().map(|part| before(part) + part.data.len()).collect()
    }

    fn part(&self, view: TextView<'_>) -> Option<PartialText> {
        let last_id = view.text.last_id()?;
        let saved = self.saved.get(&view.item).filter(|saved| saved.origin == view.origin);
        if saved.is_some_and(|saved| saved.last_id >= last_id && saved.whole == view.whole) {
            return None;
        }
        let data = view.text.data_from(saved.map_or(0, |saved| saved.bytes));
        Some(PartialText {
            item: view.item,
            origin: view.origin,
            previous_event_id: saved.map(|saved| saved.last_id),
            last_event_id: last_id,
            data: data.to_vec(),
            versions: view.text.versions().to_vec(),
            is_complete: view.whole,
        })
    }
}
