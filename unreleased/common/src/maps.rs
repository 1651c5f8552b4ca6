//! The block map in the record: each version follows the last, holds the keys that it takes, and leaves no range short.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_coverage::{self as cover, Block, Proposal, Requirements, Shortage};

use crate::command::{HeldFact, Note, Refusal, Version};
use crate::record::Record;
use crate::table::BLOCKS_MAX;

impl Record {
    /// Whether the map may have this as its next version. While a range is short by facts, a map that mends it has to be taken: then
    /// what counts is that none of the blocks it sets is short, and that its ranges neither lack a key nor hold one twice.
    pub(crate) fn check_map(
        &self,
        from: u64,
        to: u64,
        held: &[HeldFact],
        gone: &[u32],
    ) -> Result<Proposal, Refusal> {
        if from != self.tables.map_version || to <= from {
            let (map, hash) = self.map();
            return Err(Refusal::Passed { map, hash });
        }
        held.iter().try_for_each(|held| self.tables.fits(held))?;
        let numbers: BTreeSet<u32> = held.iter().map(|held| held.block).chain(gone.iter().copied()).collect();
        if numbers.len() != held.len() + gone.len() {
            return Err(Refusal::Unfit("a block stands twice in one change of the map".to_owned()));
        }
        if let Some(block) = gone.iter().find(|block| !self.tables.blocks.contains_key(block)) {
            return Err(Refusal::Unknown(format!("block {block}, which is to end,")));
        }
        if self.tables.blocks.len() + held.len() > BLOCKS_MAX + gone.len() {
            return Err(Refusal::Full { what: "blocks".to_owned(), most: BLOCKS_MAX as u64 });
        }
        let were = numbers.iter().filter_map(|block| self.tables.blocks.get(block));
        let (were, are) = (joined(were.map(ranged)), joined(held.iter().map(ranged)));
        if !self.tables.blocks.is_empty() && were != are {
            return Err(Refusal::Unfit(format!(
                "a change of the map has to hold the keys that it takes: {were:?}, not {are:?}"
            )));
        }
        let proposal = Proposal {
            changed_blocks: held.iter().map(|held| self.tables.held(held)).collect(),
            removed_blocks: gone.iter().map(|block| Block(*block)).collect(),
            ..Proposal::default()
        };
        let least = self.in_force(self.tables.least());
        if let Err(example) = self.coverage.check(&proposal, &least) {
            let keys = matches!(example.shortage, Shortage::Gap | Shortage::Overlap { .. });
            let own = example.block.is_some_and(|block| numbers.contains(&block.0));
            let was =
                !self.tables.blocks.is_empty() && self.coverage.check(&Proposal::default(), &least).is_err();
            let weak = proposal.changed_blocks.iter().any(|held| self.short(held, &least));
            if keys || own || weak || !was {
                return Err(self.uncovered(self.tell_example(&example, &BTreeMap::new())));
            }
        }
        Ok(proposal)
    }

    pub(crate) fn map_to(
        &mut self,
        index: u64,
        (to, hash): (u64, u64),
        held: &[HeldFact],
        proposal: Proposal,
    ) -> Vec<Note> {
        for block in proposal.removed_blocks {
            self.tables.blocks.remove(&block.0);
            self.coverage.remove_block(block);
        }
        // Two blocks may change places: none is refused for what the other still held.
        for (fact, held) in held.iter().zip(proposal.changed_blocks) {
            self.tables.blocks.insert(fact.block, fact.clone());
            let _ = self.coverage.set_block(held);
        }
        (self.tables.map_version, self.tables.map_hash, self.tables.mapped) = (to, hash, Version(index));
        vec![Note::Mapped { version: to }]
    }

    /// Whether too few sound stores in too few zones hold a block.
    fn short(&self, held: &cover::BlockAssignment, least: &Requirements) -> bool {
        let sound = held.holders.iter().filter_map(|store| self.coverage.site(*store));
        let zones: Vec<_> = sound.filter(|site| site.state.is_sound()).map(|site| site.zone).collect();
        let apart = zones.iter().collect::<BTreeSet<_>>().len();
        zones.len() < least.holders as usize || apart < least.zones as usize
    }
}

fn ranged(held: &HeldFact) -> (u64, u64) {
    (held.first, held.end)
}

/// Ranges, those that touch as one.
fn joined(ranges: impl Iterator<Item = (u64, u64)>) -> Vec<(u64, u64)> {
    let mut ranges: Vec<_> = ranges.collect();
    ranges.sort_unstable();
    let mut joined: Vec<(u64, u64)> = Vec::new();
    for (first, end) in ranges {
        match joined.last_mut().filter(|last| last.1 == first) {
            Some(last) => last.1 = end,
            None => joined.push((first, end)),
        }
    }
    joined
}
