//! How many requests this edge has out at each store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

type Table = Rc<RefCell<HashMap<String, usize>>>;

/// Requests out, by store id. Cheap to clone; clones share the table.
#[derive(Clone, Default)]
pub struct Counts {
    table: Table,
}

/// One request out; it counts until this is dropped.
pub struct CountGuard {
    table: Table,
    id: String,
}

impl Counts {
    /// Counts one more request at a store until the guard is dropped.
    pub fn add(&self, id: &str) -> CountGuard {
        *self.table.borrow_mut().entry(id.to_owned()).or_default() += 1;
        CountGuard { table: Rc::clone(&self.table), id: id.to_owned() }
    }

    /// Requests out at a store.
    pub fn count(&self, id: &str) -> usize {
        self.table.borrow().get(id).copied().unwrap_or(0)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let mut table = self.table.borrow_mut();
        if let Some(count) = table.get_mut(&self.id) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                table.remove(&self.id);
            }
        }
    }
}
