//! Prefix-cache affinity: records which store last prefilled each prompt prefix, so that requests that share the prefix can be
//! routed to the same store.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of prefixes that the affinity table holds.
const MAX_PREFIXES: usize = 16_384;
/// Maximum number of parts of one prompt that are parsed; further parts are ignored.
const MAX_PARTS: usize = 32;
/// Affinity bonus of a store that has the complete prompt in its cache, in thousandths of its slots: it is still preferred if it
/// is more utilized than others by less than this.
const MAX_AFFINITY_BONUS: u64 = 500;

/// Prefixes of one prompt, from the shortest one to the complete prompt: for each prefix, a hash of its parts and its token count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefixes {
    prefixes: Vec<(u64, u64)>,
}

impl PromptPrefixes {
    /// Parses a prompt of the form `ID:TOKENS,ID:TOKENS` for a model of a service. Parsing stops at the first malformed part.
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

    fn total_tokens(&self) -> u64 {
        self.prefixes.last().map_or(0, |&(_, tokens)| tokens)
    }
}

/// Table of the store that last prefilled each prefix. Evicts the prefixes that were inserted first.
#[derive(Debug, Default)]
pub struct Affinity {
    store_by_prefix: HashMap<u64, String>,
    insertion_order: VecDeque<u64>,
}

impl Affinity {
    /// Records that a store has prefilled a prompt.
    pub fn record(&mut self, prompt: &PromptPrefixes, store: &str) {
        for &(prefix, _) in &prompt.prefixes {
            if self.store_by_prefix.insert(prefix, store.to_owned()).is_none() {
                self.insertion_order.push_back(prefix);
            }
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.store_by_prefix.remove(&oldest);
            }
        }
    }

    /// Returns the store that cached the longest prefix of a prompt, and its [`Candidate::affinity_bonus`](super::Candidate).
    #[must_use]
    pub fn preferred_store(&self, prompt: &PromptPrefixes) -> Option<(&str, usize)> {
        let (store, tokens) =
            prompt.prefixes.iter().rev().find_map(|(prefix, tokens)| {
                self.store_by_prefix.get(prefix).map(|store| (store, *tokens))
            })?;
        let bonus = MAX_AFFINITY_BONUS * tokens / prompt.total_tokens().max(1);
        Some((store, usize::try_from(bonus).unwrap_or(0)))
    }
}
