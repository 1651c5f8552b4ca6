//! Batch-filling (Weng and Wang): the tasks of one job are placed together, one at a time, each counted before the next.
//!
//! The loop is shared by the parts of a query and the generations of a group. What a place is, how good it is for a task,
//! and what a placement changes, is up to the caller.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Places tasks: repeatedly, the task whose best place has the least key is placed.
///
/// `best` returns the best place of a task and its key, or `None` where the task has to be left out; `place` puts the task
/// there, or leaves it out after all. A placement may only raise keys within one call: a task is evaluated again only when
/// it reaches the top of the queue, until its key no longer changes. `K::default()` must be the least key. Ties are broken
/// by the order of `tasks`. The cost is near the number of tasks times the cost of `best`, as long as few keys rise.
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
        let Some((key, target)) = best(context, task) else { continue };
        if key > last_key {
            queue.push(Reverse((key, order)));
        } else if let Some(task) = tasks.get_mut(order).and_then(Option::take) {
            place(context, task, target);
        }
    }
}
