//! Placement of the generations of a group at the eligible stores, by batch filling ([`gingerledge_dispatch::batch_filling`]).

use std::rc::Rc;
use std::time::Duration;

use gingerledge_dispatch::batch_filling;

use super::item::Item;
use super::{GeneratedText, JobPlan, JobRules};

/// The state of a store of the route's service that accepts requests, at the time of a placement.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// The instance id of the store.
    pub id: Rc<str>,
    /// The version of the model's weights that the store serves.
    pub version: u64,
    /// The number of requests of all kinds that this edge has in flight at the store.
    pub in_flight: u32,
    /// The maximum number of requests that this edge may have in flight at the store.
    pub limit: u32,
    /// The number of idle connections of this edge to the store.
    pub idle_connections: u32,
    /// Whether the store failed recently. Such a store is chosen only if there is no other.
    pub is_suspect: bool,
    /// Whether the store is in the edge's zone.
    pub is_own_zone: bool,
    /// The average time between two events of the store's streams, in percent of the average over all stores.
    pub interval_percent: u32,
}

/// A generation to be started at a store.
#[derive(Debug)]
pub struct Placement {
    /// The index of the item.
    pub item: u32,
    /// The position of the store among those given to [`JobPlan::place`].
    pub store: usize,
    /// The text so far, which the store is to continue.
    pub text: GeneratedText,
    /// The version of the weights that the store must serve; `None` if any allowed version is acceptable.
    pub required_version: Option<u64>,
    /// Whether the item's group is a surplus group, that is one beyond the number that the trainer waits for.
    pub is_surplus: bool,
}

/// The first criterion in the choice of a store, where less is better: whether the store is suspect, then its weighted number of requests
/// in flight including the one to be placed.
type LoadKey = (bool, u32);

/// The time between two events, in percent of the average, from which on a store counts as slow. The requests at a slow store are weighted
/// in proportion to that time; at other stores the weight is one.
const SLOW_STORE_PERCENT: u32 = 175;
/// The time between two events, in percent of the average, of an average store.
const AVERAGE_PERCENT: u32 = 100;

/// The part of the capacity that surplus groups leave free, as the divisor of the whole capacity.
const SURPLUS_RESERVE_DIVISOR: u32 = 2;

/// The time without a placement of the batch job after which its groups start regardless of how many requests this edge has in flight, as
/// long as the stores have capacity. Otherwise items could wait for seconds while stores have much free capacity.
const MAX_TIME_WITHOUT_PLACEMENT: Duration = Duration::from_secs(3);

/// The state during one call of [`JobPlan::place`].
struct PlacementRound<'a> {
    plan: &'a mut JobPlan,
    stores: &'a mut [StoreView],
    placed: Vec<Placement>,
    single_version: bool,
    limits: StreamLimits,
    capacity: Capacity,
    /// Whether each store, by its position, has the prompt of the group that is being placed in its prefix cache.
    has_prefix_cached: Vec<bool>,
    /// A random number, drawn for each call, that breaks ties between equal stores.
    salt: u64,
}

/// The maximum numbers of requests that this edge may have in flight when a group starts, including those of the group.
#[derive(Clone, Copy, Debug)]
struct StreamLimits {
    /// The limit for a desired group, that is one that the trainer waits for.
    desired_group: u32,
    /// The limit for a surplus group.
    surplus_group: u32,
}

impl StreamLimits {
    const UNLIMITED: Self = Self { desired_group: u32::MAX, surplus_group: u32::MAX };
}

/// The capacity of the stores and the load of this edge, updated while items are placed.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    /// The sum of the limits of all stores with an allowed version, in requests.
    total: u32,
    /// The part of the total that is not in use, in requests.
    free: u32,
    /// The number of requests that this edge has in flight at all stores.
    in_flight: u32,
}

impl Capacity {
    fn new(stores: &[StoreView], min_version: u64) -> Self {
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

    /// Records that an item was placed at a store, which has an allowed version and was below its limit.
    fn on_placed(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
        self.free = self.free.saturating_sub(1);
    }

    /// Whether a desired group with this number of items may start. The free capacity must suffice for all items, or be at least half of
    /// the total; and with the group this edge must not exceed `limit` requests in flight, unless it has none.
    fn admits_desired(self, items: u32, limit: u32) -> bool {
        let is_below_limit = self.in_flight == 0 || self.in_flight.saturating_add(items) <= limit;
        is_below_limit && self.free >= items.min((self.total / 2).max(1))
    }

    /// Whether a surplus group with this number of items may start. With the group, the reserved part of the capacity must stay free, and
    /// this edge must not exceed `limit` requests in flight.
    fn admits_surplus(self, items: u32, limit: u32) -> bool {
        self.free >= (self.total / SURPLUS_RESERVE_DIVISOR).saturating_add(items)
            && self.in_flight.saturating_add(items) <= limit
    }
}

impl JobPlan {
    /// Places all items that can start now, and counts them as in flight in `stores`.
    ///
    /// Items of groups that have started are placed first. Further groups follow in the trainer's order, each as a whole: a group for which
    /// there is not enough capacity blocks those after it. Surplus groups, which can replace groups with very long texts, start only in
    /// spare capacity.
    pub fn place(&mut self, now: Duration, stores: &mut [StoreView], rules: JobRules) -> Vec<Placement> {
        if stores.is_empty() {
            return Vec::new();
        }
        let salt = self.random.u64(..);
        let last_placed_at = *self.last_placed_at.get_or_insert(now);
        let is_stalled = now.saturating_sub(last_placed_at) >= MAX_TIME_WITHOUT_PLACEMENT;
        let limits = if is_stalled {
            StreamLimits::UNLIMITED
        } else {
            StreamLimits { desired_group: rules.max_streams, surplus_group: rules.max_streams_for_surplus }
        };
        let groups_due = rules.start_window.groups_due(now, self.groups.desired_count);
        let mut round = PlacementRound {
            capacity: Capacity::new(stores, self.job.min_version),
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
            round.place_items(group, ready);
        }
        let desired_groups_left = round.plan.groups.desired_count.saturating_sub(started.len());
        for (position, &group) in unstarted.iter().enumerate() {
            let ready: Vec<u32> = round.plan.ready_items(group, now).collect();
            let is_surplus = position >= desired_groups_left;
            let is_due = started.len() + position < groups_due;
            if !round.may_start(ready.len(), is_surplus, is_due) {
                break;
            }
            if let Some(group) = round.plan.groups.all.get_mut(group).filter(|_| is_surplus) {
                group.is_surplus = true;
            }
            round.place_items(group, ready);
        }
        let placed = round.placed;
        if !placed.is_empty() {
            self.last_placed_at = Some(now);
        }
        placed
    }

    /// Whether any group has not started. Once all desired groups have started, such a group is a surplus group.
    #[must_use]
    pub fn has_unstarted_groups(&self) -> bool {
        (0..self.groups.all.len()).any(|group| self.is_unstarted(group))
    }

    /// Whether an item could be placed now if a store had capacity: a ready item of a group that has started, or an item of a group that
    /// has not started and that the trainer waits for.
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
        started_groups < self.groups.desired_count
    }

    /// Whether no item of the group has started.
    fn is_unstarted(&self, group: usize) -> bool {
        let is_unstarted = |&index: &u32| self.items.get(index as usize).is_some_and(Item::is_unstarted);
        self.groups.all.get(group).is_some_and(|group| group.items.iter().all(is_unstarted))
    }

    /// The items of a group that wait to be placed and whose backoff has ended.
    fn ready_items(&self, group: usize, now: Duration) -> impl Iterator<Item = u32> + '_ {
        let is_ready =
            move |index: &u32| self.items.get(*index as usize).is_some_and(|item| item.is_ready(now));
        let items = self.groups.all.get(group).map_or(&[][..], |group| &group.items);
        items.iter().copied().filter(is_ready)
    }
}

impl PlacementRound<'_> {
    /// Whether a group with this number of items may start. A desired group whose start is due is not delayed by the edge's streams.
    fn may_start(&self, items: usize, is_surplus: bool, is_due: bool) -> bool {
        let items = u32::try_from(items).unwrap_or(u32::MAX);
        if is_surplus {
            self.capacity.admits_surplus(items, self.limits.surplus_group)
        } else {
            let limit = if is_due { u32::MAX } else { self.limits.desired_group };
            self.capacity.admits_desired(items, limit)
        }
    }

    /// Places the items of one group together.
    fn place_items(&mut self, group: usize, items: Vec<u32>) {
        if items.is_empty() {
            return;
        }
        for &index in &items {
            self.discard_text_if_version_unavailable(index);
        }
        if let Some(group) = self.plan.groups.all.get(group) {
            let is_cached = |store: &StoreView| group.has_prefix_cached_at(&store.id);
            self.has_prefix_cached = self.stores.iter().map(is_cached).collect();
        }
        let best_store = |round: &Self, &index: &u32| round.best_store(index);
        batch_filling::fill(self, items, best_store, |round, index, store| round.assign(group, index, store));
    }

    /// The version that a store must serve for an item: that of its text so far, if all events of a text must be of a single version.
    fn required_version(&self, item: &Item) -> Option<u64> {
        item.text.versions().last().copied().filter(|_| self.single_version)
    }

    /// Discards the text of an item if it needs a version that no store serves any more, so that the text can't be continued.
    fn discard_text_if_version_unavailable(&mut self, index: u32) {
        let Some(item) = self.plan.items.get(index as usize) else { return };
        let Some(version) = self.required_version(item) else { return };
        if !self.stores.iter().any(|store| store.version == version) {
            if let Some(item) = self.plan.items.get_mut(index as usize) {
                item.discard_text();
            }
        }
    }

    /// The load and the position of the best store for an item: one that is not suspect and has the least load. Ties are resolved by
    /// preferring a store with the group's prompt in its prefix cache, then one to which there is an idle connection, then one in the
    /// edge's zone, and then at random.
    fn best_store(&self, index: u32) -> Option<(LoadKey, usize)> {
        let item = self.plan.items.get(index as usize)?;
        let required_version = self.required_version(item);
        let is_eligible = |store: &StoreView| match required_version {
            Some(version) => store.version == version,
            None => store.version >= self.plan.job.min_version,
        };
        let available = self
            .stores
            .iter()
            .enumerate()
            .filter(|(_, store)| is_eligible(store) && store.in_flight < store.limit);
        let best = available.min_by_key(|(position, store)| {
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

    /// Adds the placement of an item of a group at a store.
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

/// The load of a store with one more request.
fn load_key(store: &StoreView) -> LoadKey {
    let weight_percent =
        if store.interval_percent >= SLOW_STORE_PERCENT { store.interval_percent } else { AVERAGE_PERCENT };
    (store.is_suspect, (store.in_flight + 1).saturating_mul(weight_percent) / AVERAGE_PERCENT)
}

/// A pseudo-random number for a position and a salt.
fn tie_breaker(salt: u64, position: usize) -> u64 {
    const ODD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    (salt ^ position as u64).wrapping_mul(ODD_MULTIPLIER).rotate_left(32).wrapping_mul(ODD_MULTIPLIER)
}
