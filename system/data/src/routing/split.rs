//! Which of a route's services gets a request.

/// The place of the service that `draw`, from 0 to below 1, falls on by the weights.
pub fn pick_service(weights: &[f64], draw: f64) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = draw * total;
    let mut last = None;
    for (place, &weight) in weights.iter().enumerate().filter(|(_, &weight)| weight > 0.0) {
        if left < weight {
            return Some(place);
        }
        left -= weight;
        last = Some(place);
    }
    last
}
