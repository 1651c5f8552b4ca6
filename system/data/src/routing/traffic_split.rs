//! Splits the traffic of a route among its services by weight.

/// The position of the service that `draw`, from 0 to below 1, falls on by the weights.
#[must_use]
pub fn pick_service(weights: &[f64], draw: f64) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut remaining = draw * total;
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
