//! The plan of one batch job: which of its generations go where, and what becomes of each. It does no I/O and reads no clock.
//!
//! Groups begin in the trainer's order and are placed together, each generation at the store with the fewest of this edge's
//! requests out ([`stoatlane::filling`]). An item has one position and is listed once: [`JobPlan`] gives each result out once,
//! and `abandoned` only for a reason that permits it.

mod groups;
mod item;
mod loading;
mod moves;
mod pace;
mod placement;
mod priority;
mod room;
mod saving;
mod text;

use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{JobRecord, PartialText, ResultRecord};

pub use groups::Groups;
pub use item::{Ended, RewardEnded};
use item::{Item, State};
pub use loading::LoadingStores;
pub use moves::{slow_streams, window, StreamView};
pub use pace::Paces;
pub use placement::{Placement, StoreView};
pub use priority::{priority, StepProgress};
pub use room::Rooms;
pub use saving::{SavedTexts, TextView};
pub use text::{Added, Text, MAX_TEXT_BYTES};

/// What the route of a batch job says now, and what the edge can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// All events of one text must be made under one version.
    pub single_version: bool,
    /// So many 500s of stores end an item.
    pub max_attempts: u32,
    /// Items may be given up from then on, on the clock of the plan; none if never.
    pub retained_until: Option<Duration>,
    /// Groups that the trainer does not wait for begin only while this edge has no more requests out than this with them.
    pub spare_streams: u32,
}

/// What is to be done after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing now; the plan places the item again in its time.
    Wait,
    /// The text is whole: make the reward call.
    Reward,
    /// The item has ended.
    List(ResultRecord),
}

/// The plan of one batch job that this edge drives.
#[derive(Debug)]
pub struct JobPlan {
    job: Arc<JobRecord>,
    items: Vec<Item>,
    groups: Groups,
    random: fastrand::Rng,
    /// When an item was placed last, or the first look was taken; on the clock of the plan.
    last_placed: Option<Duration>,
}

impl JobPlan {
    /// A plan for a batch job of which some items have results already.
    pub fn new(job: Arc<JobRecord>, listed: &[u32], seed: u64) -> Self {
        let mut items: Vec<Item> = job.items.iter().map(|_| Item::default()).collect();
        for &index in listed {
            if let Some(item) = items.get_mut(index as usize) {
                item.state = State::Listed;
            }
        }
        let groups = Groups::new(&job);
        Self { job, items, groups, random: fastrand::Rng::with_seed(seed), last_placed: None }
    }

    /// The batch job.
    pub fn job(&self) -> &Arc<JobRecord> {
        &self.job
    }

    /// How many whole groups the trainer waits for.
    pub fn desired_groups(&self) -> usize {
        self.groups.desired
    }

    /// The group of each item, and how many groups there are.
    pub fn groups_of_items(&self) -> (Vec<usize>, usize) {
        let mut group_of = vec![0; self.items.len()];
        for (number, group) in self.groups.all.iter().enumerate() {
            for &index in &group.items {
                if let Some(place) = group_of.get_mut(index as usize) {
                    *place = number;
                }
            }
        }
        (group_of, self.groups.all.len())
    }

    /// Takes over text that was kept of an item, if the item has not begun and the versions fit.
    pub fn keep_text(&mut self, index: u32, text: Text, rules: Rules) {
        let min_version = self.job.min_version;
        if let Some(item) = self.items.get_mut(index as usize) {
            if item.is_fresh() && text.fits(min_version, rules.single_version) {
                item.text = text;
            }
        }
    }

    /// Takes over a text that another driver has saved, if the item has not begun and the versions fit; says whether it did.
    pub fn take_over(&mut self, now: Duration, saved: PartialText, rules: Rules) -> bool {
        let Some(item) = self.items.get_mut(saved.item as usize) else { return false };
        let (origin, whole) = (saved.origin, saved.is_complete);
        let text = Text::restored(saved);
        if !item.is_fresh() || !text.fits(self.job.min_version, rules.single_version) {
            return false;
        }
        item.take_over(now, text, origin, whole);
        true
    }

    /// The texts so far of items that are not at a store.
    pub fn resting_texts(&self) -> impl Iterator<Item = TextView<'_>> {
        let resting = self.items.iter().enumerate().filter(|(_, item)| item.state != State::Listed);
        resting.map(|(index, item)| {
            let whole = matches!(item.state, State::Whole { .. } | State::Rewarding);
            TextView { item: index as u32, origin: item.origin, text: &item.text, whole }
        })
    }

    /// Which beginning of its text an item is at.
    pub fn origin(&self, index: u32) -> u64 {
        self.items.get(index as usize).map_or(0, |item| item.origin)
    }

    /// Gives out the texts so far of the items that have no result, for whoever drives the batch job next.
    pub fn take_texts(&mut self) -> Vec<(u32, Text)> {
        let open = self.items.iter_mut().enumerate().filter(|(_, item)| item.state != State::Listed);
        open.map(|(index, item)| (index as u32, std::mem::take(&mut item.text)))
            .filter(|(_, text)| !text.is_empty())
            .collect()
    }

    /// Whether all items have results.
    pub fn is_finished(&self) -> bool {
        self.items.iter().all(|item| item.state == State::Listed)
    }

    /// A generation ended; `text` is what there is of it now.
    pub fn generation_ended(
        &mut self,
        now: Duration,
        index: u32,
        text: Text,
        ended: Ended,
        rules: Rules,
    ) -> Step {
        let Some(item) = self.items.get_mut(index as usize) else { return Step::Wait };
        if item.state != State::Out {
            return Step::Wait;
        }
        item.text = text;
        if !item.text.fits(self.job.min_version, rules.single_version) {
            item.start_over();
        }
        let step = item.generation_ended(now, ended, rules, &mut self.random);
        self.with_result(index, step)
    }

    /// A reward call ended.
    pub fn reward_ended(&mut self, now: Duration, index: u32, ended: RewardEnded, rules: Rules) -> Step {
        let Some(item) = self.items.get_mut(index as usize) else { return Step::Wait };
        if item.state != State::Rewarding {
            return Step::Wait;
        }
        let step = item.reward_ended(now, ended, rules, &mut self.random);
        self.with_result(index, step)
    }

    /// Items whose reward call is due again; they count as being called from now on.
    pub fn due_rewards(&mut self, now: Duration) -> Vec<u32> {
        let mut due = Vec::new();
        for (index, item) in self.items.iter_mut().enumerate() {
            if matches!(item.state, State::Whole { from } if from <= now) {
                item.state = State::Rewarding;
                due.push(index as u32);
            }
        }
        due
    }

    /// The route is surely gone, or the time for which items are retained is over: ends all items that are not out.
    pub fn abandon_open(&mut self) -> Vec<ResultRecord> {
        let mut results = Vec::new();
        for (index, item) in self.items.iter_mut().enumerate() {
            if matches!(item.state, State::Unplaced { .. } | State::Whole { .. }) {
                item.state = State::Listed;
                results.push(abandoned(index as u32));
            }
        }
        results
    }

    /// When something is due next without any event.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let dues = self.items.iter().filter_map(|item| match item.state {
            State::Unplaced { from } | State::Whole { from } if from > now => Some(from),
            _ => None,
        });
        dues.min()
    }

    fn with_result(&mut self, index: u32, step: item::ItemStep) -> Step {
        match step {
            item::ItemStep::Wait => Step::Wait,
            item::ItemStep::Reward => Step::Reward,
            item::ItemStep::Abandoned => Step::List(abandoned(index)),
            item::ItemStep::Completed { score } => {
                let text = self.items.get_mut(index as usize).map(|item| std::mem::take(&mut item.text));
                let (text, versions) = text.unwrap_or_default().into_parts();
                Step::List(ResultRecord { item: index, completed: true, text, versions, score })
            }
        }
    }
}

fn abandoned(item: u32) -> ResultRecord {
    ResultRecord { item, completed: false, text: Vec::new(), versions: Vec::new(), score: String::new() }
}
