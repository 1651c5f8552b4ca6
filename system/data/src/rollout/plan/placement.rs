//! Places the generations of a group: batch-filling ([`gingerledge_dispatch::batch_filling`]) over the eligible stores.

use std::rc::Rc;
use std::time::Duration;

use gingerledge_dispatch::batch_filling;

use super::item::Item;
use super::{GeneratedText, JobPlan, Rules};

/// A store of the route's service that takes requests, as it stands when the plan is asked.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// Instance id of the store.
    pub id: Rc<str>,
    /// The version of the model's weights there.
    pub version: u64,
    /// Requests of all kinds that this edge has in flight there.
    pub in_flight: u32,
    /// The most requests that this edge may have in flight there.
    pub limit: u32,
    /// Idle connections of this edge to it.
    pub idle_connections: u32,
    /// Whether it failed recently; such a store is chosen only where there is no other.
    pub is_suspect: bool,
    /// Whether it is in the edge's zone.
    pub is_own_zone: bool,
    /// The time between two events of its streams, in percent of the average over all stores.
    pub interval_percent: u32,
}

/// A generation to be started at a store.
#[derive(Debug)]
pub struct Placement {
    /// The index of the item.
    pub item: u32,
    /// Position of the store among those given to [`JobPlan::place`].
    pub store: usize,
    /// The text so far, which the store is asked to continue.
    pub text: GeneratedText,
    /// The version of the weights that the store must serve; `None` if any allowed version will do.
    pub required_version: Option<u64>,
    /// Whether its group is surplus: beyond the groups that the trainer waits for.
    pub is_surplus: bool,
}

/// Compared first: whether the store is suspect, then its weighted requests in flight with the one to be placed.
type LoadKey = (bool, u32);

/// From this interval on, in percent of the average, a store's requests weigh in proportion to it; below, all weigh alike.
const SLOW_PERCENT: u32 = 175;
const AVERAGE_PERCENT: u32 = 100;

/// Surplus groups leave one part in so many of the capacity free.
const SURPLUS_RESERVE_DIVISOR: u32 = 2;

/// Where nothing of a batch job was placed for so long, its groups start however many requests this edge has in flight, as long as the
/// stores have capacity: no item may wait for seconds beside stores that are half empty.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// The working state of one call of [`JobPlan::place`].
struct PlacementRound<'a> {
    plan: &'a mut JobPlan,
    stores: &'a mut [StoreView],
    placed: Vec<Placement>,
    single_version: bool,
    limits: StreamLimits,
    capacity: Capacity,
    /// Whether each store, by its position, has the prompt of the group that is being placed in its prefix cache.
    has_prefix_cached: Vec<bool>,
    /// Drawn for each call: breaks ties among equal stores.
    salt: u64,
}

/// The most requests that this edge may have in flight with a group that starts.
#[derive(Clone, Copy, Debug)]
struct StreamLimits {
    /// With one of the groups that the trainer waits for.
    desired: u32,
    /// With a surplus group.
    surplus: u32,
}

impl StreamLimits {
    const NONE: Self = Self { desired: u32::MAX, surplus: u32::MAX };
}

/// What the stores and this edge have capacity for, followed while items are placed.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    /// The sum of the limits of all stores with an allowed version.
    total: u32,
    /// How much of it is free.
    free: u32,
    /// Requests that this edge has in flight at all stores.
    in_flight: u32,
}

impl Capacity {
    fn of(stores: &[StoreView], min_version: u64) -> Self {
        let mut capacity = Self { total: 0, free: 0, in_flight: 0 };
        for store in stores {
            capacity.in_flight = capacity.in_flight.saturating_add(store.in_flight);
            if store.version >= min_version {
                capacity.total = capacity.total.saturating_add(store.limit);
                capacity.free = capacity.free.saturating_add(store.limit.saturating_sub(store.in_flight));
            }
        }
        capacity
    }

    /// An item is placed at a store, which has an allowed version and was below its limit.
    fn on_placed(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
        self.free = self.free.saturating_sub(1);
    }

    /// Whether a group that the trainer waits for may start: there is capacity for all its items, or for as many as half of all limits
    /// admit, and this edge carries few enough requests, or none.
    fn admits(self, items: u32, limit: u32) -> bool {
        let is_below_limit = self.in_flight == 0 || self.in_flight.saturating_add(items) <= limit;
        is_below_limit && self.free >= items.min((self.total / 2).max(1))
    }

    /// Whether a surplus group may start: part of the capacity stays free, and this edge carries few enough requests.
    fn admits_surplus(self, items: u32, limit: u32) -> bool {
        self.free >= (self.total / SURPLUS_RESERVE_DIVISOR).saturating_add(items)
            && self.in_flight.saturating_add(items) <= limit
    }
}

impl JobPlan {
    /// Places all items that can start now, and counts them as in flight in `stores`.
    ///
    /// Items of groups that have started go first. Further groups follow in the trainer's order, each as a whole: a group that
    /// lacks capacity blocks those behind it. Surplus groups, which can replace groups with very long texts, start only in
    /// capacity that nobody waits for.
    pub fn place(&mut self, now: Duration, stores: &mut [StoreView], rules: Rules) -> Vec<Placement> {
        if stores.is_empty() {
            return Vec::new();
        }
        let salt = self.random.u64(..);
        let last_placed = *self.last_placed.get_or_insert(now);
        let was_idle = now.saturating_sub(last_placed) >= MAX_IDLE;
        let limits = if was_idle {
            StreamLimits::NONE
        } else {
            StreamLimits { desired: rules.max_streams, surplus: rules.max_streams_for_surplus }
        };
        let groups_due = rules.start_window.groups_due(now, self.groups.desired);
        let mut round = PlacementRound {
            capacity: Capacity::of(stores, self.job.min_version),
            has_prefix_cached: Vec::new(),
            plan: self,
            stores,
            placed: Vec::new(),
            single_version: rules.single_version,
            limits,
            salt,
        };
        let (unstarted, started): (Vec<usize>, Vec<usize>) =
            (0..round.plan.groups.all.len()).partition(|&group| round.plan.is_unstarted(group));
        for &group in &started {
            let ready: Vec<u32> = round.plan.ready_items(group, now).collect();
            round.fill(group, ready);
        }
        let groups_waited_for = round.plan.groups.desired.saturating_sub(started.len());
        for (number, &group) in unstarted.iter().enumerate() {
            let ready: Vec<u32> = round.plan.ready_items(group, now).collect();
            let is_surplus = number >= groups_waited_for;
            let is_due = started.len() + number < groups_due;
            if !round.may_start(ready.len(), is_surplus, is_due) {
                break;
            }
            if let Some(group) = round.plan.groups.all.get_mut(group).filter(|_| is_surplus) {
                group.is_surplus = true;
            }
            round.fill(group, ready);
        }
        let placed = round.placed;
        if !placed.is_empty() {
            self.last_placed = Some(now);
        }
        placed
    }

    /// Whether a surplus group has not started.
    #[must_use]
    pub fn has_surplus_groups(&self) -> bool {
        (0..self.groups.all.len()).any(|group| self.is_unstarted(group))
    }

    /// Whether an item could be placed now if a store had capacity: any of a group that has started, or of one the trainer waits for.
    #[must_use]
    pub fn has_items_to_place(&self, now: Duration) -> bool {
        let mut started_groups = 0;
        for group in 0..self.groups.all.len() {
            if !self.is_unstarted(group) {
                started_groups += 1;
                if self.ready_items(group, now).next().is_some() {
                    return true;
                }
            }
        }
        started_groups < self.groups.desired
    }

    /// Whether no item of the group was ever sent to a store.
    fn is_unstarted(&self, group: usize) -> bool {
        let is_unstarted = |&index: &u32| self.items.get(index as usize).is_some_and(Item::is_unstarted);
        self.groups.all.get(group).is_some_and(|group| group.items.iter().all(is_unstarted))
    }

    /// The items of a group that wait for a store and whose backoff has ended.
    fn ready_items(&self, group: usize, now: Duration) -> impl Iterator<Item = u32> + '_ {
        let ready = move |index: &u32| self.items.get(*index as usize).is_some_and(|item| item.is_ready(now));
        let items = self.groups.all.get(group).map_or(&[][..], |group| &group.items);
        items.iter().copied().filter(ready)
    }
}

impl PlacementRound<'_> {
    /// Whether a group with so many items may start. One whose start is due waits for no stream of this edge to end.
    fn may_start(&self, items: usize, is_surplus: bool, is_due: bool) -> bool {
        let items = u32::try_from(items).unwrap_or(u32::MAX);
        if is_surplus {
            self.capacity.admits_surplus(items, self.limits.surplus)
        } else {
            let limit = if is_due { u32::MAX } else { self.limits.desired };
            self.capacity.admits(items, limit)
        }
    }

    /// Places the items of one group together.
    fn fill(&mut self, group: usize, items: Vec<u32>) {
        if items.is_empty() {
            return;
        }
        for &index in &items {
            self.discard_text_if_version_lost(index);
        }
        if let Some(group) = self.plan.groups.all.get(group) {
            let is_cached = |store: &StoreView| group.has_prefix_cached_at(&store.id);
            self.has_prefix_cached = self.stores.iter().map(is_cached).collect();
        }
        let best_store = |round: &Self, &index: &u32| round.best_store(index);
        batch_filling::fill(self, items, best_store, |round, index, store| round.assign(group, index, store));
    }

    /// The version that a store must serve for an item: that of its text so far, where a text must be of a single version.
    fn required_version(&self, item: &Item) -> Option<u64> {
        item.text.versions().last().copied().filter(|_| self.single_version)
    }

    /// Text of a version that no store serves any more can't be continued.
    fn discard_text_if_version_lost(&mut self, index: u32) {
        let Some(item) = self.plan.items.get(index as usize) else { return };
        let Some(version) = self.required_version(item) else { return };
        if !self.stores.iter().any(|store| store.version == version) {
            if let Some(item) = self.plan.items.get_mut(index as usize) {
                item.discard_text();
            }
        }
    }

    /// The best store for an item: not suspect, the least load; ties go to one with the group's prompt in its prefix cache, then to
    /// one to which a connection is idle, then to the edge's own zone, then to a random one.
    fn best_store(&self, index: u32) -> Option<(LoadKey, usize)> {
        let item = self.plan.items.get(index as usize)?;
        let required_version = self.required_version(item);
        let eligible = |store: &StoreView| match required_version {
            Some(version) => store.version == version,
            None => store.version >= self.plan.job.min_version,
        };
        let fitting = self
            .stores
            .iter()
            .enumerate()
            .filter(|(_, store)| eligible(store) && store.in_flight < store.limit);
        let best = fitting.min_by_key(|(position, store)| {
            (
                load_key(store),
                !self.has_prefix_cached.get(*position).copied().unwrap_or_default(),
                store.idle_connections == 0,
                !store.is_own_zone,
                tie_breaker(self.salt, *position),
                *position,
            )
        });
        best.map(|(position, store)| (load_key(store), position))
    }

    fn assign(&mut self, group: usize, index: u32, position: usize) {
        let required_version =
            self.plan.items.get(index as usize).and_then(|item| self.required_version(item));
        let (Some(item), Some(store)) =
            (self.plan.items.get_mut(index as usize), self.stores.get_mut(position))
        else {
            return;
        };
        store.in_flight += 1;
        store.idle_connections = store.idle_connections.saturating_sub(1);
        self.capacity.on_placed();
        if let Some(is_cached) = self.has_prefix_cached.get_mut(position) {
            *is_cached = true;
        }
        let mut is_surplus = false;
        if let Some(group) = self.plan.groups.all.get_mut(group) {
            group.on_prompt_sent(&store.id);
            is_surplus = group.is_surplus;
        }
        let text = item.start_generation(&mut self.plan.random);
        self.placed.push(Placement { item: index, store: position, text, required_version, is_surplus });
    }
}

fn load_key(store: &StoreView) -> LoadKey {
    let scale = if store.interval_percent >= SLOW_PERCENT { store.interval_percent } else { AVERAGE_PERCENT };
    (store.is_suspect, (store.in_flight + 1).saturating_mul(scale) / AVERAGE_PERCENT)
}

/// A pseudo-random number for each position and salt.
fn tie_breaker(salt: u64, position: usize) -> u64 {
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    (salt ^ position as u64).wrapping_mul(ODD).rotate_left(32).wrapping_mul(ODD)
}
