//! Texts so far of items that this edge no longer drives. They are carried on if the items come back: under the next term of the
//! same batch job, or in a later one. Whether their versions fit is asked where they are taken up.

use std::collections::{HashMap, VecDeque};

use super::plan::Text;

/// The most bytes of texts that are kept.
const MAX_BYTES: usize = 8 << 20;
/// The most texts that are kept.
const MAX_TEXTS: usize = 4_096;

/// Whose text it is: the model and the item's id.
type ItemKey = (String, String);

/// Texts that are kept; the oldest go first.
#[derive(Debug, Default)]
pub struct KeptTexts {
    texts: HashMap<ItemKey, Text>,
    order: VecDeque<ItemKey>,
    bytes: usize,
}

impl KeptTexts {
    /// Keeps a text, unless a longer one is kept of the same item.
    pub fn put(&mut self, model: &str, item: &str, text: Text) {
        let key = (model.to_owned(), item.to_owned());
        let known = self.texts.get(&key).map_or(0, Text::len);
        if text.is_empty() || text.len() < known {
            return;
        }
        self.bytes = self.bytes + text.len() - known;
        if self.texts.insert(key.clone(), text).is_none() {
            self.order.push_back(key);
        }
        while self.bytes > MAX_BYTES || self.order.len() > MAX_TEXTS {
            let Some(oldest) = self.order.pop_front() else { break };
            self.bytes -= self.texts.remove(&oldest).map_or(0, |text| text.len());
        }
    }

    /// Takes the text of an item out.
    pub fn take(&mut self, model: &str, item: &str) -> Option<Text> {
        if self.texts.is_empty() {
            return None;
        }
        let key = (model.to_owned(), item.to_owned());
        let text = self.texts.remove(&key)?;
        self.bytes -= text.len();
        self.order.retain(|known| *known != key);
        Some(text)
    }
}
