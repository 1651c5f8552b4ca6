//! Which store gets the next attempt.

/// A store that is ready, as the choice sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Requests that this edge has out there.
    pub out: usize,
    /// Requests of others that run or wait there, as far as the store told lately.
    pub others: usize,
    /// Requests that it works on at once.
    pub slots: usize,
    /// By how many thousandths of its slots it may be fuller than others.
    pub bonus: usize,
    /// Whether it is in the edge's own zone.
    pub own_zone: bool,
    /// Whether it failed lately.
    pub avoided: bool,
    /// Whether this request has been there already.
    pub tried: bool,
}

impl Candidate {
    /// How full it would be with one more request, in thousandths of its slots, less its bonus.
    fn filling(&self) -> usize {
        const WHOLE: usize = 1_000;
        ((self.out + self.others + 1) * WHOLE / self.slots.max(1)).saturating_sub(self.bonus)
    }
}

/// The place of the store to take, if there is one that has not been tried: one that did not fail lately, then the least filled
/// one, then one of the own zone; `draw` settles what is left and picks evenly if it is drawn evenly.
pub fn choose(candidates: impl Iterator<Item = Candidate>, draw: u64) -> Option<usize> {
    let mut best = None;
    let mut ties = 0_u64;
    for (place, candidate) in candidates.enumerate().filter(|(_, candidate)| !candidate.tried) {
        let rank = (candidate.avoided, candidate.filling(), !candidate.own_zone);
        match best {
            Some((known, _)) if known < rank => {}
            Some((known, _)) if known == rank => {
                ties += 1;
                if spread(draw, ties) % ties == 0 {
                    best = Some((rank, place));
                }
            }
            _ => {
                ties = 1;
                best = Some((rank, place));
            }
        }
    }
    best.map(|(_, place)| place)
}

/// One of a series of numbers from one draw (splitmix64).
fn spread(draw: u64, step: u64) -> u64 {
    let mut mixed = draw.wrapping_add(step.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
