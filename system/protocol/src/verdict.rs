//! The verdict on one attempt: whether the request may have run, which decides how the client may be answered and whether it may be
//! retried.

/// What is known of one attempt at a store once it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has not run and never will: nothing was sent, or the store said so (`Not-Executed`, 421).
    /// Only this permits 408, 421, 429 or 503 to the client, or another attempt of a request that may run once.
    NeverRan,
    /// Unknown: a time-out, a reset or an incomplete response after the request was sent.
    MayHaveRun,
    /// The store responded, with whatever status.
    Ran,
}

impl Verdict {
    /// The verdict on a request with several attempts: the strongest evidence that it ran.
    #[must_use]
    pub fn and(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
            (Verdict::MayHaveRun, _) | (_, Verdict::MayHaveRun) => Verdict::MayHaveRun,
            _ => Verdict::NeverRan,
        }
    }
}
