//! Splits the traffic of a route among its services by weight.

/// Picks a service at random, in proportion to its weight, and returns its position. `random_fraction` is uniformly distributed
/// from 0 up to, but not including, 1.
#[must_use]
pub fn pick_service(weights: &[f64], random_fraction: f64) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut remaining = random_fraction * total;
    let mut last = None;
    for (position, &weight) in weights.iter().enumerate().filter(|(_, &weight)| weight > 0.0) {
        if remaining < weight {
            return Some(position);
        }
        remaining -= weight;
        last = Some(position);
    }
    last
}
