//! Whether a tenant's query lies within its share: a bucket of tokens for each, filled at this aggregator's equal part of the
//! tenant's quota. What follows from it the module decides.

use crate::{Millis, Settings, Tenant};

/// So many seconds of its rate, or of one query a second where that is more, a bucket holds.
const HELD_S: f64 = 2.0;

/// Each tenant's tokens, and when they were last counted.
#[derive(Debug)]
pub(crate) struct Quotas(Vec<(f64, Millis)>);

impl Quotas {
    /// The buckets of all tenants.
    pub(crate) fn new(set: &Settings, now: Millis) -> Self {
        Self(set.tenants.iter().map(|tenant| (own(set, tenant), now)).collect())
    }

    /// Takes a token; false where there is none, so that the query lies over its tenant's share.
    pub(crate) fn within(&mut self, set: &Settings, now: Millis, tenant: Option<usize>) -> bool {
        let bucket = tenant.and_then(|t| Some((set.tenants.get(t)?, self.0.get_mut(t)?)));
        let Some((tenant, bucket)) = bucket else { return true };
        let own = own(set, tenant);
        let tokens = (bucket.0 + own * (now - bucket.1) / 1000.0).min(own.max(1.0) * HELD_S);
        let within = tokens >= 1.0;
        *bucket = (tokens - f64::from(u8::from(within)), now);
        within
    }
}

/// This aggregator's part of a tenant's quota, a second.
fn own(set: &Settings, tenant: &Tenant) -> f64 {
    tenant.quota_per_s / f64::from(set.aggregators)
}
