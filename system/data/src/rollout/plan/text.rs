//! The text of one item so far: whole events only, with the versions of the weights that made them.

use gingerledge_wire::PartialText;

use crate::rollout::events::Event;

/// The most bytes of one text.
pub const MAX_TEXT_BYTES: usize = 4 << 20;
/// Ids of events count from 0 or from 1.
const LARGEST_FIRST_ID: u64 = 1;

/// What an event did to a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Added {
    /// It is in the text now.
    Appended,
    /// It was there already.
    Known,
    /// Events before it are missing, or there is no room.
    Gap,
}

/// The text of one item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text {
    data: Vec<u8>,
    last_id: Option<u64>,
    versions: Vec<u64>,
}

impl Text {
    /// Adds an event that weights of a version made, none where versions aren't told. Ids rise by one.
    pub fn add(&mut self, event: Event<'_>, version: Option<u64>) -> Added {
        match self.last_id {
            Some(last) if event.id <= last => return Added::Known,
            Some(last) if event.id > last.saturating_add(1) => return Added::Gap,
            None if event.id > LARGEST_FIRST_ID => return Added::Gap,
            _ => {}
        }
        if self.data.len() + event.data.len() >= MAX_TEXT_BYTES {
            return Added::Gap;
        }
        if self.last_id.is_some() {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(event.data);
        self.last_id = Some(event.id);
        if let Some(version) = version.filter(|version| !self.versions.contains(version)) {
            self.versions.push(version);
        }
        Added::Appended
    }

    /// The id of the last event; a run that goes on is asked with it. None where there is no event yet.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The versions of the weights that made an event, in order.
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Whether there is no event yet.
    pub fn is_empty(&self) -> bool {
        self.last_id.is_none()
    }

    /// The bytes that it takes.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// A text as it was saved by another driver; nothing follows from its data being there but that it was taken from a text.
    pub fn restored(saved: PartialText) -> Self {
        Self { data: saved.data, last_id: Some(saved.last_event_id), versions: saved.versions }
    }

    /// The data from a place on.
    pub fn data_from(&self, start: usize) -> &[u8] {
        self.data.get(start..).unwrap_or_default()
    }

    /// The data of all events, parted by line feeds, and the versions.
    pub fn into_parts(self) -> (Vec<u8>, Vec<u64>) {
        (self.data, self.versions)
    }

    /// Whether it may be part of a result: no version under the oldest one allowed, and under `single` not more than one.
    pub fn fits(&self, min_version: u64, single: bool) -> bool {
        self.versions.iter().all(|&version| version >= min_version) && !(single && self.versions.len() > 1)
    }
}
