//! Generates the next version of a map by valid and by invalid changes.

use fastrand::Rng;
use gingerledge_blocks::validate::{Draft, Standing};
use gingerledge_blocks::{BlockId, Epoch, StoreId};

use super::{DRAINING, GONE, LISTED, UNKNOWN};

/// Creates the next version of a map by valid changes.
pub fn next_version(rng: &mut Rng, old: &mut Draft) -> Draft {
    let mut new = old.clone();
    let mut next_id = 100;
    for n in (0..new.rows.len()).rev() {
        let mut new_row = old.rows[n].clone();
        new_row.epoch = Epoch(11);
        let other_stores: Vec<StoreId> =
            (0..LISTED).map(StoreId).filter(|s| !new_row.holders.contains(s)).collect();
        let to = other_stores[rng.usize(..other_stores.len())];
        match rng.u32(..6) {
            // The block is moved, or all holders are replaced at once.
            0 => {
                old.rows[n].copying = vec![to];
                new_row.holders[0] = to;
            }
            1 => {
                old.rows[n].copying = other_stores.clone();
                new_row.holders = other_stores.into_iter().take(new_row.holders.len()).collect();
            }
            2 => new_row.holders.push(to),
            3 if new_row.holders.len() > 1 => drop(new_row.holders.pop()),
            4 if new_row.span.end - new_row.span.first > 1 => {
                let at = rng.u64(new_row.span.first + 1..new_row.span.end);
                let mut right = new_row.clone();
                (right.id, right.span.first) = (BlockId(next_id), at);
                new.retired.push(new_row.id);
                (new_row.id, new_row.span.end) = (BlockId(next_id + 1), at);
                next_id += 2;
                new.rows.push(right);
            }
            _ => new_row = old.rows[n].clone(),
        }
        new_row.copying.clear();
        new.rows[n] = new_row;
    }
    new
}

/// Makes a transition invalid, or almost invalid.
pub fn invalidate(rng: &mut Rng, old: &mut Draft, new: &mut Draft) {
    let n = rng.usize(..new.rows.len());
    let o = rng.usize(..old.rows.len());
    match rng.u32(..9) {
        0 => new.rows[n].epoch = Epoch(10),
        1 => new.rows[n].epoch = Epoch(9),
        2 => old.rows[o].copying.clear(),
        3 => new.rows[n].holders = vec![StoreId(rng.u32(..LISTED))],
        4 => new.rows[n].id = old.retired[0],
        5 => {
            new.retired.clear();
            new.rows[n].id = old.retired[0];
        }
        6 => new.sites.iter_mut().filter(|_| rng.bool()).for_each(|site| site.standing = Standing::Gone),
        7 => {
            new.keys.end -= 1;
            new.rows.iter_mut().for_each(|row| row.span.end = row.span.end.min(new.keys.end));
        }
        _ => old.rows[o].holders = vec![[DRAINING, GONE, UNKNOWN][rng.usize(..3)]],
    }
}
