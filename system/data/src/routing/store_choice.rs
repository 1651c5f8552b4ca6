//! Chooses the store for the next attempt of a request.

/// Properties of a store that accepts requests, as far as they matter for the choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Number of requests that this edge has in flight at the store.
    pub in_flight_requests: usize,
    /// Number of requests of other callers that run or wait at the store, from a recent load report or estimated.
    pub in_flight_from_other_callers: usize,
    /// Number of requests that the store runs concurrently.
    pub slots: usize,
    /// Reduction of the utilization for a cached prompt prefix, in thousandths of the slots.
    pub affinity_bonus: usize,
    /// Whether this edge has an idle connection to the store.
    pub has_idle_connection: bool,
    /// Whether the store is in the edge's own zone.
    pub is_in_own_zone: bool,
    /// Whether the store failed recently.
    pub is_suspect: bool,
    /// Whether an earlier attempt of this request was made at the store.
    pub was_tried: bool,
}

impl Candidate {
    /// Utilization of the store with one more request, in thousandths of its slots, minus the affinity bonus.
    fn utilization(&self) -> usize {
        const THOUSANDTHS: usize = 1_000;
        ((self.in_flight_requests + self.in_flight_from_other_callers + 1) * THOUSANDTHS / self.slots.max(1))
            .saturating_sub(self.affinity_bonus)
    }
}

/// Returns the position of the best candidate that was not tried. Candidates that are not suspect come first, then the least
/// utilized, then those with an idle connection, then those in the edge's own zone. Ties are broken uniformly at random if
/// `random` is uniformly distributed.
pub fn choose_store(candidates: impl Iterator<Item = Candidate>, random: u64) -> Option<usize> {
    let mut best = None;
    let mut ties = 0_u64;
    for (position, candidate) in candidates.enumerate().filter(|(_, candidate)| !candidate.was_tried) {
        let rank = (
            candidate.is_suspect,
            candidate.utilization(),
            !candidate.has_idle_connection,
            !candidate.is_in_own_zone,
        );
        match best {
            Some((best_rank, _)) if best_rank < rank => {}
            Some((best_rank, _)) if best_rank == rank => {
                ties += 1;
                if splitmix64(random, ties) % ties == 0 {
                    best = Some((rank, position));
                }
            }
            _ => {
                ties = 1;
                best = Some((rank, position));
            }
        }
    }
    best.map(|(_, position)| position)
}

/// Returns the number at `index` of the splitmix64 sequence for a seed.
fn splitmix64(seed: u64, index: u64) -> u64 {
    let mut hash = seed.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
