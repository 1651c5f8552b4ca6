//! Batch-filling (Weng and Wang): the tasks of one job are placed together, one at a time, each counted before the next.
//!
//! The loop stands here once, for the parts of a query and for the generations of a group. What a place is, how good it is
//! for a task, and what placing changes is the caller's.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Places tasks: again and again the one whose best place has the least key goes there.
///
/// `best` tells the best place of a task and its key, or none where the task has to be left out; `place` puts it there, or
/// leaves it out after all. Placing may only raise keys within one call, which is why a task is looked at again only when it
/// comes up, until its key holds. `K::default()` must be the least key. Ties go to the order in which tasks are given. The
/// work is near the number of tasks times the cost of `best`, as long as few keys rise.
pub fn fill<C, T, K, P>(
    context: &mut C,
    tasks: impl IntoIterator<Item = T>,
    best: impl Fn(&C, &T) -> Option<(K, P)>,
    mut place: impl FnMut(&mut C, T, P),
) where
    K: Ord + Default,
{
    let tasks: Vec<T> = tasks.into_iter().collect();
    let mut heap: BinaryHeap<_> = (0..tasks.len()).map(|order| Reverse((K::default(), order))).collect();
    let mut tasks: Vec<Option<T>> = tasks.into_iter().map(Some).collect();
    while let Some(Reverse((key, order))) = heap.pop() {
        let Some(task) = tasks.get(order).and_then(Option::as_ref) else { continue };
        let Some((found, to)) = best(context, task) else { continue };
        if found > key {
            heap.push(Reverse((found, order)));
        } else if let Some(task) = tasks.get_mut(order).and_then(Option::take) {
            place(context, task, to);
        }
    }
}
