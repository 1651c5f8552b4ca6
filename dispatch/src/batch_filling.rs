//! Batch-filling (Weng and Wang): the tasks of a job are placed together, one at a time, and each placement
//! is counted before the next one is chosen.
//!
//! The loop places the parts of a query in this package, and the generations of a group in `system/data`. The
//! caller defines the places, their order of preference for a task, and the effect of a placement.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Places tasks one at a time. The next task is always the one whose best place has the lowest key.
///
/// `best` returns the key and the place that is best for a task, or `None` if the task has to be left out.
/// `place` puts the task there, or leaves it out after all.
///
/// Within one call, a placement must not lower any key, because a task's key is evaluated again only when the
/// task reaches the top of the queue, until the key no longer changes. `K::default()` must be the lowest key.
/// Ties are broken by the order of `tasks`. The cost is close to the number of tasks times the cost of
/// `best`, as long as few keys rise.
pub fn fill<C, T, K, P>(
    context: &mut C,
    tasks: impl IntoIterator<Item = T>,
    best: impl Fn(&C, &T) -> Option<(K, P)>,
    mut place: impl FnMut(&mut C, T, P),
) where
    K: Ord + Default,
{
    let mut tasks: Vec<Option<T>> = tasks.into_iter().map(Some).collect();
    let mut queue: BinaryHeap<_> = (0..tasks.len()).map(|order| Reverse((K::default(), order))).collect();
    while let Some(Reverse((last_key, order))) = queue.pop() {
        let Some(task) = tasks.get(order).and_then(Option::as_ref) else { continue };
        let Some((key, chosen_place)) = best(context, task) else { continue };
        if key > last_key {
            queue.push(Reverse((key, order)));
        } else if let Some(task) = tasks.get_mut(order).and_then(Option::take) {
            place(context, task, chosen_place);
        }
    }
}
