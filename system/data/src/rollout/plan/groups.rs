//! The groups of a batch job, in the trainer's order. The items of a group share their prompt, and so its prefix cache.

use std::collections::HashMap;
use std::rc::Rc;

use gingerledge_wire::JobRecord;

/// The most stores that are remembered as holding a group's prompt in their prefix cache.
const MAX_PREFIX_STORES: usize = 16;

/// Items that share their prompt.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Indices of its items.
    pub(super) items: Vec<u32>,
    /// Stores that were sent one of its items, and so have its prompt in their prefix cache.
    prefix_stores: Vec<Rc<str>>,
    /// Whether it started as a surplus group: beyond those that the trainer waits for.
    pub(super) is_surplus: bool,
}

impl Group {
    /// Whether a store has the group's prompt in its prefix cache, as far as is known.
    pub(super) fn has_prefix_cached_at(&self, store: &str) -> bool {
        self.prefix_stores.iter().any(|known| &**known == store)
    }

    /// One of its items was sent to a store.
    pub(super) fn on_prompt_sent(&mut self, store: &Rc<str>) {
        if self.prefix_stores.len() < MAX_PREFIX_STORES && !self.has_prefix_cached_at(store) {
            self.prefix_stores.push(Rc::clone(store));
        }
    }
}

/// The groups of a batch job.
#[derive(Debug)]
pub struct Groups {
    /// In the trainer's order.
    pub(super) all: Vec<Group>,
    /// How many complete groups the trainer waits for.
    pub(super) desired: usize,
}

impl Groups {
    /// The groups of a batch job; an item without a group forms its own.
    #[must_use]
    pub fn new(job: &JobRecord) -> Self {
        let mut all: Vec<Group> = Vec::new();
        let mut known: HashMap<&str, usize> = HashMap::new();
        for (index, item) in job.items.iter().enumerate() {
            let next = all.len();
            let position = match item.group.as_str() {
                "" => next,
                name => *known.entry(name).or_insert(next),
            };
            if position == next {
                all.push(Group::default());
            }
            if let Some(group) = all.get_mut(position) {
                group.items.push(index as u32);
            }
        }
        let desired = match usize::try_from(job.desired_groups) {
            Ok(desired) if desired > 0 => desired.min(all.len()),
            _ => all.len(),
        };
        Self { all, desired }
    }

    /// How many items the groups have that the trainer waits for, if it waits for the first ones.
    #[must_use]
    pub fn desired_items(&self) -> usize {
        self.all.iter().take(self.desired).map(|group| group.items.len()).sum()
    }
}
