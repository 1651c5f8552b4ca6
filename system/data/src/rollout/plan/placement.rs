//! Where the generations of a group go: batch-filling over the stores that are eligible.

use std::rc::Rc;
use std::time::Duration;

use stoatlane::filling;

use super::item::Item;
use super::{JobPlan, Rules, Text};

/// A store of the route's service that takes requests, as it stands now.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// Its instance id.
    pub id: Rc<str>,
    /// The version of the model's weights there.
    pub version: u64,
    /// Requests that this edge has out there, of all kinds.
    pub out: u32,
    /// The most requests of this edge that it may have.
    pub limit: u32,
    /// Whether it failed lately and is taken only where there is no other.
    pub avoided: bool,
    /// Whether it is in the edge's zone.
    pub own_zone: bool,
    /// How long its generations take, in percent of what is usual.
    pub pace_percent: u32,
}

/// A generation that goes to a store now.
#[derive(Debug)]
pub struct Placement {
    /// The index of the item.
    pub item: u32,
    /// The place of the store among those given.
    pub store: usize,
    /// The text so far, which the run carries on.
    pub text: Text,
    /// The version that the store must have, where only one will do.
    pub only_version: Option<u64>,
    /// Whether its group is one beyond those that the trainer waits for.
    pub spare: bool,
}

/// What is compared first: whether the store failed lately, then its requests out, counting the one to be placed.
type Key = (bool, u32);

/// A store whose generations take this much longer than usual, in percent, counts by how much longer; below, all count alike.
const SLOW_PERCENT: u32 = 175;
const USUAL_PERCENT: u32 = 100;

/// Groups that the trainer does not wait for leave this part of the room free.
const SPARE_SHARE: u32 = 2;

/// Where nothing of a batch job has begun for so long, its further groups begin however many requests this edge has out, as long as the
/// stores have room: no item may rest for seconds beside stores that are half empty.
const LONGEST_REST: Duration = Duration::from_secs(3);

/// What one call of [`JobPlan::place`] works on.
struct Turn<'a> {
    plan: &'a mut JobPlan,
    stores: &'a mut [StoreView],
    placed: Vec<Placement>,
    single: bool,
    /// The most requests of this edge with which a group that the trainer does not wait for begins.
    spare_streams: u32,
    salt: u64,
}

impl JobPlan {
    /// Places what can be placed now, and counts it at the stores. First the items of groups that have begun; then further groups,
    /// in the trainer's order, each as a whole: one for which there is no room waits, and those behind it. Groups beyond those that
    /// the trainer waits for begin only in room that is to spare: they stand in for groups with very long texts.
    pub fn place(&mut self, now: Duration, stores: &mut [StoreView], rules: Rules) -> Vec<Placement> {
        if stores.is_empty() {
            return Vec::new();
        }
        let salt = self.random.u64(..);
        let last_placed = *self.last_placed.get_or_insert(now);
        let rested = now.saturating_sub(last_placed) >= LONGEST_REST;
        let spare_streams = if rested { u32::MAX } else { rules.spare_streams };
        let single = rules.single_version;
        let mut turn = Turn { plan: self, stores, placed: Vec::new(), single, spare_streams, salt };
        let (fresh, begun): (Vec<usize>, Vec<usize>) =
            (0..turn.plan.groups.all.len()).partition(|&group| turn.plan.is_fresh(group));
        for &group in &begun {
            let ready: Vec<u32> = turn.plan.ready(group, now).collect();
            turn.fill(group, ready);
        }
        let more = turn.plan.groups.desired.saturating_sub(begun.len());
        for (number, &group) in fresh.iter().enumerate() {
            let ready: Vec<u32> = turn.plan.ready(group, now).collect();
            let begins =
                if number < more { turn.has_room(ready.len()) } else { turn.has_spare_room(ready.len()) };
            if !begins {
                break;
            }
            if let Some(group) = turn.plan.groups.all.get_mut(group).filter(|_| number >= more) {
                group.spare = true;
            }
            turn.fill(group, ready);
        }
        let placed = turn.placed;
        if !placed.is_empty() {
            self.last_placed = Some(now);
        }
        placed
    }

    /// Whether a group beyond those that the trainer waits for has not begun.
    pub fn has_spare_groups(&self) -> bool {
        (0..self.groups.all.len()).any(|group| self.is_fresh(group))
    }

    /// Whether an item waits for a store now that may go to one: any of a group that has begun, or of one that may begin.
    pub fn wants_places(&self, now: Duration) -> bool {
        let mut begun = 0;
        for group in 0..self.groups.all.len() {
            if !self.is_fresh(group) {
                begun += 1;
                if self.ready(group, now).next().is_some() {
                    return true;
                }
            }
        }
        begun < self.groups.desired
    }

    /// Whether no item of the group has been at a store.
    fn is_fresh(&self, group: usize) -> bool {
        let fresh = |&index: &u32| self.items.get(index as usize).is_some_and(Item::is_fresh);
        self.groups.all.get(group).is_some_and(|group| group.items.iter().all(fresh))
    }

    /// The items of a group that wait for a store now.
    fn ready(&self, group: usize, now: Duration) -> impl Iterator<Item = u32> + '_ {
        let ready = move |index: &u32| self.items.get(*index as usize).is_some_and(|item| item.is_ready(now));
        let items = self.groups.all.get(group).map_or(&[][..], |group| &group.items);
        items.iter().copied().filter(ready)
    }
}

impl Turn<'_> {
    /// Whether a group that has not begun may: there is room for all of it, or as much as there ever is.
    fn has_room(&self, items: usize) -> bool {
        let (limits, room) = self.room();
        let needed = u32::try_from(items).unwrap_or(u32::MAX).min((limits / 2).max(1));
        room >= needed
    }

    /// Whether there is room for a group that the trainer does not wait for, with plenty to spare for those that somebody does.
    fn has_spare_room(&self, items: usize) -> bool {
        let (limits, room) = self.room();
        let needed = u32::try_from(items).unwrap_or(u32::MAX);
        let out = self.stores.iter().map(|store| store.out).fold(needed, u32::saturating_add);
        room >= (limits / SPARE_SHARE).saturating_add(needed) && out <= self.spare_streams
    }

    /// How many requests the stores that fit may have of this edge, and how many of those are free.
    fn room(&self) -> (u32, u32) {
        let fitting = self.stores.iter().filter(|store| store.version >= self.plan.job.min_version);
        let limits = fitting.clone().map(|store| store.limit).fold(0, u32::saturating_add);
        let room = fitting.map(|store| store.limit.saturating_sub(store.out)).fold(0, u32::saturating_add);
        (limits, room)
    }

    /// Places the items of one group together.
    fn fill(&mut self, group: usize, items: Vec<u32>) {
        for &index in &items {
            self.start_over_if_lost(index);
        }
        let best = |turn: &Self, &index: &u32| turn.best(group, index);
        filling::fill(self, items, best, |turn, index, store| turn.put(group, index, store));
    }

    /// The version that a store must have for an item: that of its text, where all of it must be of one.
    fn only_version(&self, item: &Item) -> Option<u64> {
        item.text.versions().last().copied().filter(|_| self.single)
    }

    /// Text of a version that no store has any more can't be carried on.
    fn start_over_if_lost(&mut self, index: u32) {
        let Some(item) = self.plan.items.get(index as usize) else { return };
        let Some(version) = self.only_version(item) else { return };
        if !self.stores.iter().any(|store| store.version == version) {
            if let Some(item) = self.plan.items.get_mut(index as usize) {
                item.start_over();
            }
        }
    }

    /// The best store for an item: not failing, the fewest requests out; ties go to one that has read the group's prompt, then to
    /// the edge's zone, then by chance.
    fn best(&self, group: usize, index: u32) -> Option<(Key, usize)> {
        let item = self.plan.items.get(index as usize)?;
        let group = self.plan.groups.all.get(group)?;
        let only = self.only_version(item);
        let eligible = |store: &StoreView| match only {
            Some(version) => store.version == version,
            None => store.version >= self.plan.job.min_version,
        };
        let fitting =
            self.stores.iter().enumerate().filter(|(_, store)| eligible(store) && store.out < store.limit);
        let best = fitting.min_by_key(|(place, store)| {
            (key(store), !group.was_read_at(&store.id), !store.own_zone, turn_of(self.salt, *place), *place)
        });
        best.map(|(place, store)| (key(store), place))
    }

    fn put(&mut self, group: usize, index: u32, place: usize) {
        let only_version = self.plan.items.get(index as usize).and_then(|item| self.only_version(item));
        let (Some(item), Some(store)) = (self.plan.items.get_mut(index as usize), self.stores.get_mut(place))
        else {
            return;
        };
        store.out += 1;
        let mut spare = false;
        if let Some(group) = self.plan.groups.all.get_mut(group) {
            group.read_at(&store.id);
            spare = group.spare;
        }
        let text = item.placed(&mut self.plan.random);
        self.placed.push(Placement { item: index, store: place, text, only_version, spare });
    }
}

fn key(store: &StoreView) -> Key {
    let scale = if store.pace_percent >= SLOW_PERCENT { store.pace_percent } else { USUAL_PERCENT };
    (store.avoided, (store.out + 1).saturating_mul(scale) / USUAL_PERCENT)
}

/// A number that is another for each place, and for each salt.
fn turn_of(salt: u64, place: usize) -> u64 {
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    (salt ^ place as u64).wrapping_mul(ODD).rotate_left(32).wrapping_mul(ODD)
}
