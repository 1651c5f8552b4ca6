//! The verdict on one attempt: whether the request may have run, which decides what may be answered and repeated.

/// What is known of one attempt at a store once it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has not run and never will: nothing was handed over, or the store said so (`Not-Executed`, 421).
    /// Only this permits 408, 421, 429 or 503 to the client, or another attempt of a request that may run once.
    NeverRan,
    /// Nobody can tell: silence, a reset or a broken answer after the request was handed over.
    MayHaveRun,
    /// The store answered; the answer is its own, whatever its status.
    Ran,
}

impl Verdict {
    /// Whether the request may be sent again, given that its route permits repetition or not.
    pub fn may_repeat(self, idempotent: bool) -> bool {
        match self {
            Verdict::NeverRan => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Ran => false,
        }
    }

    /// Joins the verdicts of several attempts of one request.
    pub fn and(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
            (Verdict::MayHaveRun, _) | (_, Verdict::MayHaveRun) => Verdict::MayHaveRun,
            _ => Verdict::NeverRan,
        }
    }
}
