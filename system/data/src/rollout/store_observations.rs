//! What this edge's generations revealed about the stores. It guides the placement, and is lost with the process.

use std::cell::RefCell;

use super::plan::{LoadingStores, ProgressRates, StoreCapacities};
use super::store_views::StoreViewCache;

/// Estimates for each store, each updated from the outcomes of generations.
#[derive(Default)]
pub(super) struct StoreObservations {
    /// How many requests of this edge each store has capacity for.
    pub(super) capacities: RefCell<StoreCapacities>,
    /// Which stores are loading the weights of which models.
    pub(super) weight_loading: RefCell<LoadingStores>,
    /// How fast each store's streams progress.
    pub(super) progress_rates: RefCell<ProgressRates>,
    /// Versions of weights at the stores, read from the registry recently.
    pub(super) views: RefCell<StoreViewCache>,
}
