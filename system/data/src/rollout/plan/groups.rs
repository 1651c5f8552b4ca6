//! The groups of a batch job, in the trainer's order. The items of a group share their prompt, so a store that caches the prompt's prefix
//! for one of them can use it for the others.

use std::collections::HashMap;
use std::rc::Rc;

use gingerledge_wire::JobRecord;

/// The maximum number of stores, for each group, that are recorded as having the group's prompt in their prefix cache.
const MAX_PREFIX_STORES: usize = 16;

/// Items that share their prompt.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// The indices of the group's items.
    pub(super) items: Vec<u32>,
    /// The ids of stores to which an item of the group was sent, so that they have the prompt in their prefix cache.
    prefix_stores: Vec<Rc<str>>,
    /// Whether the group started as a surplus group, that is one beyond the number that the trainer waits for.
    pub(super) is_surplus: bool,
}

impl Group {
    /// Whether a store is recorded as having the group's prompt in its prefix cache.
    pub(super) fn has_prefix_cached_at(&self, store: &str) -> bool {
        self.prefix_stores.iter().any(|prefix_store| &**prefix_store == store)
    }

    /// Records that an item of the group was sent to a store.
    pub(super) fn on_prompt_sent(&mut self, store: &Rc<str>) {
        if self.prefix_stores.len() < MAX_PREFIX_STORES && !self.has_prefix_cached_at(store) {
            self.prefix_stores.push(Rc::clone(store));
        }
    }
}

/// The groups of a batch job.
#[derive(Debug)]
pub struct Groups {
    /// All groups, in the trainer's order.
    pub(super) all: Vec<Group>,
    /// The number of complete groups that the trainer waits for.
    pub(super) desired_count: usize,
}

impl Groups {
    /// The groups of a batch job; an item without a group forms a group of its own.
    #[must_use]
    pub fn new(job: &JobRecord) -> Self {
        let mut all: Vec<Group> = Vec::new();
        let mut position_by_name: HashMap<&str, usize> = HashMap::new();
        for (index, item) in job.items.iter().enumerate() {
            let next_position = all.len();
            let position = match item.group.as_str() {
                "" => next_position,
                name => *position_by_name.entry(name).or_insert(next_position),
            };
            if position == next_position {
                all.push(Group::default());
            }
            if let Some(group) = all.get_mut(position) {
                group.items.push(index as u32);
            }
        }
        let desired_count = match usize::try_from(job.desired_groups) {
            Ok(desired_count) if desired_count > 0 => desired_count.min(all.len()),
            _ => all.len(),
        };
        Self { all, desired_count }
    }

    /// The number of items in the groups that the trainer waits for, assuming that these are the first groups.
    #[must_use]
    pub fn desired_items(&self) -> usize {
        self.all.iter().take(self.desired_count).map(|group| group.items.len()).sum()
    }
}
