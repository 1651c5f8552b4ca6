//! The generated text of one item so far: the data of complete events, with the versions of the weights that generated them.

use gingerledge_wire::PartialText;

use crate::rollout::event_stream::Event;

/// The maximum size of one text, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 << 20;
/// The largest id of the first event of a text: ids of events start with 0 or 1.
const MAX_FIRST_EVENT_ID: u64 = 1;

/// The effect of an event on a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAddition {
    /// The event was appended to the text.
    Appended,
    /// The event is already part of the text, which is unchanged.
    Duplicate,
    /// Events before this one are missing, or the text would exceed [`MAX_TEXT_BYTES`]. The text is unchanged.
    NotAppendable,
}

/// The text of one item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GeneratedText {
    data: Vec<u8>,
    last_event_id: Option<u64>,
    versions: Vec<u64>,
}

impl GeneratedText {
    /// Appends an event that was generated under `version` of the weights; `None` if the store did not name a version. The id of an event
    /// must be that of the event before plus one.
    pub fn append(&mut self, event: Event<'_>, version: Option<u64>) -> EventAddition {
        match self.last_event_id {
            Some(last_id) if event.id <= last_id => return EventAddition::Duplicate,
            Some(last_id) if event.id > last_id.saturating_add(1) => return EventAddition::NotAppendable,
            None if event.id > MAX_FIRST_EVENT_ID => return EventAddition::NotAppendable,
            _ => {}
        }
        if self.data.len() + event.data.len() >= MAX_TEXT_BYTES {
            return EventAddition::NotAppendable;
        }
        if self.last_event_id.is_some() {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(event.data);
        self.last_event_id = Some(event.id);
        if let Some(version) = version.filter(|version| !self.versions.contains(version)) {
            self.versions.push(version);
        }
        EventAddition::Appended
    }

    /// The id of the last event, after which a generation is resumed; `None` if there is no event yet.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// The versions of the weights that generated the events, each once, in the order of their first events.
    #[must_use]
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Whether the text has no event yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_event_id.is_none()
    }

    /// The size of the text in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Restores a text from a checkpoint. The data of a checkpoint is the data of the events, so it needs no parsing.
    #[must_use]
    pub fn from_checkpoint(checkpoint: PartialText) -> Self {
        Self {
            data: checkpoint.data,
            last_event_id: Some(checkpoint.last_event_id),
            versions: checkpoint.versions,
        }
    }

    /// The data from an offset on, in bytes; empty if the offset is beyond the end.
    #[must_use]
    pub fn data_from(&self, start: usize) -> &[u8] {
        self.data.get(start..).unwrap_or_default()
    }

    /// The data of all events, separated by line feeds, and the versions.
    #[must_use]
    pub fn into_parts(self) -> (Vec<u8>, Vec<u64>) {
        (self.data, self.versions)
    }

    /// Whether the text may be part of a result: no version is below `min_version`, and with `single_version` there is at most one.
    #[must_use]
    pub fn has_allowed_versions(&self, min_version: u64, single_version: bool) -> bool {
        self.versions.iter().all(|&version| version >= min_version)
            && !(single_version && self.versions.len() > 1)
    }
}
