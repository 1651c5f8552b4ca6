//! Generates the next version of a map by valid and by invalid changes.

use fastrand::Rng;
use gingerledge_blocks::validate::{Draft, Standing};
use gingerledge_blocks::{BlockId, Epoch, StoreId};

use super::{DRAINING, GONE, LISTED, UNKNOWN};

/// Creates the next version of a map by valid changes.
pub fn next_version(rng: &mut Rng, old: &mut Draft) -> Draft {
    let mut new = old.clone();
    let mut fresh = 100;
    for n in (0..new.rows.len()).rev() {
        let mut ahead = old.rows[n].clone();
        ahead.epoch = Epoch(11);
        let free: Vec<StoreId> = (0..LISTED).map(StoreId).filter(|s| !ahead.holders.contains(s)).collect();
        let to = free[rng.usize(..free.len())];
        match rng.u32(..6) {
            // The block is moved, or all holders are replaced at once.
            0 => {
                old.rows[n].copying = vec![to];
                ahead.holders[0] = to;
            }
            1 => {
                old.rows[n].copying = free.clone();
                ahead.holders = free.into_iter().take(ahead.holders.len()).collect();
            }
            2 => ahead.holders.push(to),
            3 if ahead.holders.len() > 1 => drop(ahead.holders.pop()),
            4 if ahead.span.end - ahead.span.first > 1 => {
                let at = rng.u64(ahead.span.first + 1..ahead.span.end);
                let mut right = ahead.clone();
                (right.id, right.span.first) = (BlockId(fresh), at);
                new.retired.push(ahead.id);
                (ahead.id, ahead.span.end) = (BlockId(fresh + 1), at);
                fresh += 2;
                new.rows.push(right);
            }
            _ => ahead = old.rows[n].clone(),
        }
        ahead.copying.clear();
        new.rows[n] = ahead;
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
