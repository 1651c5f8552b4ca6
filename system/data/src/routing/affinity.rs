//! Prefix-cache affinity: which store has last prefilled which prefix of a prompt, so that requests that share it may go there.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The most prefixes that are remembered.
const MAX_PREFIXES: usize = 16_384;
/// The most parts of one prompt that are read.
const MAX_PARTS: usize = 32;
/// A store with a complete prompt in its cache may be more utilized than others by this many thousandths of its slots.
const FULL_BONUS: u64 = 500;

/// The prefixes of one prompt, from the shortest to the complete one: a hash of all parts up to there, and their tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    prefixes: Vec<(u64, u64)>,
}

impl Prompt {
    /// Parses `ID:TOKENS,ID:TOKENS`, for a model at a service; ends at the first malformed part.
    #[must_use]
    pub fn parse(service: &str, model: &str, parts: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (service, model).hash(&mut hasher);
        let mut total = 0_u64;
        let prefixes = parts.split(',').take(MAX_PARTS).map_while(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            id.hash(&mut hasher);
            total = total.saturating_add(tokens.parse().ok()?);
            Some((hasher.finish(), total))
        });
        Self { prefixes: prefixes.collect() }
    }

    fn tokens(&self) -> u64 {
        self.prefixes.last().map_or(0, |&(_, tokens)| tokens)
    }
}

/// The stores that last prefilled each prefix; the oldest are evicted.
#[derive(Debug, Default)]
pub struct Affinity {
    stores: HashMap<u64, String>,
    insertion_order: VecDeque<u64>,
}

impl Affinity {
    /// A store has prefilled a prompt.
    pub fn record(&mut self, prompt: &Prompt, store: &str) {
        for &(prefix, _) in &prompt.prefixes {
            if self.stores.insert(prefix, store.to_owned()).is_none() {
                self.insertion_order.push_back(prefix);
            }
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.stores.remove(&oldest);
            }
        }
    }

    /// The store with the longest cached prefix of a prompt, and its [`Candidate::affinity_bonus`](super::Candidate).
    #[must_use]
    pub fn preferred_store(&self, prompt: &Prompt) -> Option<(&str, usize)> {
        let (store, tokens) = prompt
            .prefixes
            .iter()
            .rev()
            .find_map(|(prefix, tokens)| self.stores.get(prefix).map(|store| (store, *tokens)))?;
        let bonus = FULL_BONUS * tokens / prompt.tokens().max(1);
        Some((store, usize::try_from(bonus).unwrap_or(0)))
    }
}
