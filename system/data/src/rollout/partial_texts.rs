//! A bounded cache of partial texts of items that this edge no longer drives. If an item is assigned to this edge again, under a later term
//! of its batch job or in a later batch job, its text is resumed. The plan that restores the text checks whether its versions are allowed.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use super::plan::GeneratedText;

/// The maximum total size of the texts in the cache, in bytes.
const MAX_BYTES: usize = 8 << 20;
/// The maximum number of texts in the cache.
const MAX_TEXTS: usize = 4_096;

/// The key of a text: the name of the model and the item's id.
type ItemKey = (String, String);

/// The cache, shared with generations in flight: a generation that is cancelled inserts its text.
pub(super) type SharedPartialTexts = Rc<RefCell<PartialTextCache>>;

/// A cache of partial texts by item. The oldest entries are evicted first.
#[derive(Debug, Default)]
pub(super) struct PartialTextCache {
    texts: HashMap<ItemKey, GeneratedText>,
    insertion_order: VecDeque<ItemKey>,
    /// The total size of `texts`, in bytes.
    bytes: usize,
}

impl PartialTextCache {
    /// Inserts a text, unless the cache has a longer one of the same item.
    pub(super) fn insert(&mut self, model: &str, item: &str, text: GeneratedText) {
        let key = (model.to_owned(), item.to_owned());
        let cached_bytes = self.texts.get(&key).map_or(0, GeneratedText::len);
        if text.is_empty() || text.len() < cached_bytes {
            return;
        }
        self.bytes = self.bytes + text.len() - cached_bytes;
        if self.texts.insert(key.clone(), text).is_none() {
            self.insertion_order.push_back(key);
        }
        while self.bytes > MAX_BYTES || self.insertion_order.len() > MAX_TEXTS {
            let Some(oldest) = self.insertion_order.pop_front() else { break };
            self.bytes -= self.texts.remove(&oldest).map_or(0, |text| text.len());
        }
    }

    /// Removes and returns the text of an item.
    pub(super) fn remove(&mut self, model: &str, item: &str) -> Option<GeneratedText> {
        if self.texts.is_empty() {
            return None;
        }
        let key = (model.to_owned(), item.to_owned());
        let text = self.texts.remove(&key)?;
        self.bytes -= text.len();
        self.insertion_order.retain(|cached_key| *cached_key != key);
        Some(text)
    }
}
