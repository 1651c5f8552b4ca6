//! Which store has read which beginning of a prompt last, so that requests that share it may go there.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The most beginnings that are remembered.
const MAX_BEGINNINGS: usize = 16_384;
/// The most parts of one prompt that are looked at.
const MAX_PARTS: usize = 32;
/// A store that has read a whole prompt may be fuller than others by this many thousandths of its slots.
const WHOLE_BONUS: u64 = 500;

/// The beginnings of one prompt, from the shortest to the whole: a hash of all parts up to there, and their tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    beginnings: Vec<(u64, u64)>,
}

impl Prompt {
    /// Reads `ID:TOKENS,ID:TOKENS`, of a model at a service.
    pub fn parse(service: &str, model: &str, parts: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (service, model).hash(&mut hasher);
        let mut total = 0_u64;
        let beginnings = parts.split(',').take(MAX_PARTS).map_while(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            id.hash(&mut hasher);
            total = total.saturating_add(tokens.parse().ok()?);
            Some((hasher.finish(), total))
        });
        Self { beginnings: beginnings.collect() }
    }

    fn tokens(&self) -> u64 {
        self.beginnings.last().map_or(0, |&(_, tokens)| tokens)
    }
}

/// The stores that read beginnings of prompts last. The oldest are forgotten.
#[derive(Debug, Default)]
pub struct Affinity {
    stores: HashMap<u64, String>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// A store has read a prompt.
    pub fn note(&mut self, prompt: &Prompt, store: &str) {
        for &(beginning, _) in &prompt.beginnings {
            if self.stores.insert(beginning, store.to_owned()).is_none() {
                self.order.push_back(beginning);
            }
        }
        while self.order.len() > MAX_BEGINNINGS {
            if let Some(oldest) = self.order.pop_front() {
                self.stores.remove(&oldest);
            }
        }
    }

    /// The store that has read the most of a prompt, and by how many thousandths of its slots it may be fuller than others.
    pub fn prefer(&self, prompt: &Prompt) -> Option<(&str, usize)> {
        let (store, tokens) = prompt
            .beginnings
            .iter()
            .rev()
            .find_map(|(beginning, tokens)| self.stores.get(beginning).map(|store| (store, *tokens)))?;
        let bonus = WHOLE_BONUS * tokens / prompt.tokens().max(1);
        Some((store, usize::try_from(bonus).unwrap_or(0)))
    }
}
