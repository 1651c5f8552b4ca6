//! Chooses the store of the next attempt.

/// A store that accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Requests that this edge has in flight there.
    pub in_flight: usize,
    /// Requests of others that run or wait there, by a recent load report.
    pub others_in_flight: usize,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// By how many thousandths of its slots it may be more utilized than others, for its prefix cache.
    pub affinity_bonus: usize,
    /// Whether this edge has an idle connection to it.
    pub has_idle_connection: bool,
    /// Whether it is in the edge's own zone.
    pub is_own_zone: bool,
    /// Whether it failed recently.
    pub is_suspect: bool,
    /// Whether this request was sent there before.
    pub was_tried: bool,
}

impl Candidate {
    /// Its utilization with one more request, in thousandths of its slots, less its bonus.
    fn utilization(&self) -> usize {
        const ALL_SLOTS: usize = 1_000;
        ((self.in_flight + self.others_in_flight + 1) * ALL_SLOTS / self.slots.max(1))
            .saturating_sub(self.affinity_bonus)
    }
}

/// The position of the best store that was not tried: not suspect, then the least utilized, then one to which a connection is idle, then
/// of the own zone; ties are broken uniformly at random, if `draw` is uniform.
pub fn choose_store(candidates: impl Iterator<Item = Candidate>, draw: u64) -> Option<usize> {
    let mut best = None;
    let mut ties = 0_u64;
    for (position, candidate) in candidates.enumerate().filter(|(_, candidate)| !candidate.was_tried) {
        let rank = (
            candidate.is_suspect,
            candidate.utilization(),
            !candidate.has_idle_connection,
            !candidate.is_own_zone,
        );
        match best {
            Some((known, _)) if known < rank => {}
            Some((known, _)) if known == rank => {
                ties += 1;
                if splitmix(draw, ties) % ties == 0 {
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

/// A number of the sequence that a draw seeds (splitmix64).
fn splitmix(draw: u64, step: u64) -> u64 {
    let mut mixed = draw.wrapping_add(step.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
