//! The groups of a batch job, in the trainer's order.

use std::collections::HashMap;
use std::rc::Rc;

use gingerledge_wire::JobRecord;

/// The most stores that are remembered as having read a group's prompt.
const MAX_READERS: usize = 16;

/// Items that share their prompt.
#[derive(Debug, Default)]
pub struct Group {
    /// Indices of its items.
    pub(super) items: Vec<u32>,
    /// Stores that were sent one of its items.
    readers: Vec<Rc<str>>,
    /// It began beyond those that the trainer waits for.
    pub(super) spare: bool,
}

impl Group {
    /// Whether a store has read the group's prompt.
    pub(super) fn was_read_at(&self, store: &str) -> bool {
        self.readers.iter().any(|reader| &**reader == store)
    }

    /// A store is sent one of its items.
    pub(super) fn read_at(&mut self, store: &Rc<str>) {
        if self.readers.len() < MAX_READERS && !self.was_read_at(store) {
            self.readers.push(Rc::clone(store));
        }
    }
}

/// The groups of a batch job.
#[derive(Debug)]
pub struct Groups {
    /// In the trainer's order.
    pub(super) all: Vec<Group>,
    /// How many whole groups the trainer waits for.
    pub(super) desired: usize,
}

impl Groups {
    /// The groups of a batch job; an item without one stands alone.
    pub fn new(job: &JobRecord) -> Self {
        let mut all: Vec<Group> = Vec::new();
        let mut known: HashMap<&str, usize> = HashMap::new();
        for (index, item) in job.items.iter().enumerate() {
            let next = all.len();
            let place = match item.group.as_str() {
                "" => next,
                name => *known.entry(name).or_insert(next),
            };
            if place == next {
                all.push(Group::default());
            }
            if let Some(group) = all.get_mut(place) {
                group.items.push(index as u32);
            }
        }
        let desired = match usize::try_from(job.desired_groups) {
            Ok(desired) if desired > 0 => desired.min(all.len()),
            _ => all.len(),
        };
        Self { all, desired }
    }
}
