//! Estimates of each store's state, derived from the outcomes of this edge's generations. The placement uses them; they are lost when the
//! process ends.

use std::cell::RefCell;

use super::plan::{ProgressRates, StoreCapacities, WeightLoadingStores};
use super::store_views::StoreViewCache;

/// Estimates for each store, updated from the outcomes of generations, and the versions of weights at the stores.
#[derive(Default)]
pub(super) struct StoreObservations {
    /// The number of requests of this edge that each store has capacity for.
    pub(super) capacities: RefCell<StoreCapacities>,
    /// The stores that are loading weights, by model.
    pub(super) weight_loading: RefCell<WeightLoadingStores>,
    /// The average time between two events of each store's streams.
    pub(super) progress_rates: RefCell<ProgressRates>,
    /// The versions of weights at the stores, as read from the registry recently.
    pub(super) views: RefCell<StoreViewCache>,
}
