//! Token buckets of the tenants. Each is filled at the rate of this aggregator's equal share of the tenant's
//! quota.
//!
//! The buckets determine whether a query is within its tenant's quota; `src/aggregator` decides what follows
//! from that.

use crate::{Millis, Settings, Tenant};

/// Capacity of a bucket in seconds of its rate, or of one query per second if that is more.
const BUCKET_CAPACITY_S: f64 = 2.0;

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

/// Whether a query is within its tenant's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum QuotaState {
    #[default]
    Within,
    Exceeded,
}

/// The token buckets of all tenants, by index of the tenant.
#[derive(Debug)]
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Creates the buckets. Each holds the tokens of one second at first.
    pub(crate) fn new(settings: &Settings, now: Millis) -> Self {
        let bucket = |tenant| TokenBucket { tokens: rate_per_second(settings, tenant), refilled_at: now };
        Self { buckets: settings.tenants.iter().map(bucket).collect() }
    }

    /// Charges one query to its tenant's bucket. A query without a known tenant is always within its quota.
    pub(crate) fn charge(&mut self, settings: &Settings, now: Millis, tenant: Option<usize>) -> QuotaState {
        let Some(index) = tenant else { return QuotaState::Within };
        let (Some(tenant), Some(bucket)) = (settings.tenants.get(index), self.buckets.get_mut(index)) else {
            return QuotaState::Within;
        };
        let rate = rate_per_second(settings, tenant);
        let refilled = bucket.tokens + rate * (now - bucket.refilled_at) / 1000.0;
        bucket.tokens = refilled.min(rate.max(1.0) * BUCKET_CAPACITY_S);
        bucket.refilled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            QuotaState::Within
        } else {
            QuotaState::Exceeded
        }
    }
}

/// This aggregator's share of a tenant's quota, in queries per second.
fn rate_per_second(settings: &Settings, tenant: &Tenant) -> f64 {
    tenant.quota_per_s / f64::from(settings.aggregators)
}
