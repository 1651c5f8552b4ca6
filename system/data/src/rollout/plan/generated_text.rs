//! The generated text of one item so far: complete events only, with the versions of the weights that made them.

use gingerledge_wire::PartialText;

use crate::rollout::event_stream::Event;

/// The most bytes of one text.
pub const MAX_TEXT_BYTES: usize = 4 << 20;
/// Ids of events count from 0 or from 1.
const LARGEST_FIRST_ID: u64 = 1;

/// The effect of an event on a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAddition {
    /// It was appended.
    Appended,
    /// The text has it already.
    Duplicate,
    /// Events before it are missing, or the text would exceed [`MAX_TEXT_BYTES`].
    Gap,
}

/// The text of one item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GeneratedText {
    data: Vec<u8>,
    last_id: Option<u64>,
    versions: Vec<u64>,
}

impl GeneratedText {
    /// Appends an event made under a version of the weights, `None` where the store names none. Ids rise by one.
    pub fn append(&mut self, event: Event<'_>, version: Option<u64>) -> EventAddition {
        match self.last_id {
            Some(last) if event.id <= last => return EventAddition::Duplicate,
            Some(last) if event.id > last.saturating_add(1) => return EventAddition::Gap,
            None if event.id > LARGEST_FIRST_ID => return EventAddition::Gap,
            _ => {}
        }
        if self.data.len() + event.data.len() >= MAX_TEXT_BYTES {
            return EventAddition::Gap;
        }
        if self.last_id.is_some() {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(event.data);
        self.last_id = Some(event.id);
        if let Some(version) = version.filter(|version| !self.versions.contains(version)) {
            self.versions.push(version);
        }
        EventAddition::Appended
    }

    /// The id of the last event, with which a resumed generation is requested; `None` before the first event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The versions of the weights that made an event, in order.
    #[must_use]
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Whether it has no event yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_id.is_none()
    }

    /// Its size in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Restores a text from a checkpoint, whose data is not parsed again.
    #[must_use]
    pub fn from_checkpoint(checkpoint: PartialText) -> Self {
        Self { data: checkpoint.data, last_id: Some(checkpoint.last_event_id), versions: checkpoint.versions }
    }

    /// The data from an offset in bytes on.
    #[must_use]
    pub fn data_from(&self, start: usize) -> &[u8] {
        self.data.get(start..).unwrap_or_default()
    }

    /// The data of all events, separated by line feeds, and the versions.
    #[must_use]
    pub fn into_parts(self) -> (Vec<u8>, Vec<u64>) {
        (self.data, self.versions)
    }

    /// Whether it may be part of a result: no version below `min_version`, and with `single_version` no more than one.
    #[must_use]
    pub fn has_allowed_versions(&self, min_version: u64, single_version: bool) -> bool {
        self.versions.iter().all(|&version| version >= min_version)
            && !(single_version && self.versions.len() > 1)
    }
}
