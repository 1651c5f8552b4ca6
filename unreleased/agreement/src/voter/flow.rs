//! The order in which a step of the library is done: written first, then said, then applied; and the file's compaction.

use raft::eraftpb::{Entry, HardState, Message};

use super::{rewrite, unpack, Part, Voter, COMMAND, JOINED};
use super::{Action, Machine};
use crate::bounds::{DiskError, Unmet, Unreadable};
use crate::disk::Disk;
use crate::frame::{self, Record, Snap};
use crate::wire::{self, Wire};

impl<D: Disk, M: Machine> Voter<D, M> {
    /// Lets the library go on until it has nothing more: written first, then said and applied.
    pub(super) fn flow(&mut self, out: &mut Vec<Action>) -> Result<(), DiskError> {
        while let Part::Member(member) = &mut self.part {
            if !member.node.has_ready() {
                break;
            }
            let mut ready = member.node.ready();
            let generation = member.generation;
            let mut messages = ready.take_messages();
            messages.extend(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            for state in ready.take_read_states() {
                if let Ok(number) = <[u8; 8]>::try_from(state.request_ctx.as_slice()) {
                    member.reads.answered(u64::from_le_bytes(number), state.index);
                }
            }
            self.persist(&ready)?;
            self.say(messages, generation, out);
            self.apply(committed, out);
            let Part::Member(member) = &mut self.part else {
                break;
            };
            let mut light = member.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                member.node.mut_store().hard.commit = commit;
            }
            let (messages, committed) = (light.take_messages(), light.take_committed_entries());
            self.say(messages, generation, out);
            self.apply(committed, out);
            if let Part::Member(member) = &mut self.part {
                member.node.advance_apply();
            }
        }
        Ok(())
    }

    fn say(&self, messages: Vec<Message>, generation: u64, out: &mut Vec<Action>) {
        for message in messages {
            let to = message.to;
            if let Some(message) = wire::plain(message) {
                out.push(self.send(to, &Wire::Raft { generation, message }));
            }
        }
    }

    /// Puts what a step added on the disk, and in the library's log once it is there. A commit alone is not worth a write:
    /// the leader says it again.
    fn persist(&mut self, ready: &raft::Ready) -> Result<(), DiskError> {
        let Some(member) = self.member() else {
            return Ok(());
        };
        let head = self.head(member.standing());
        let Part::Member(member) = &mut self.part else {
            return Ok(());
        };
        let store = member.node.mut_store();
        let before: HardState = store.hard.clone();
        if let Some(hard) = ready.hs() {
            store.hard = hard.clone();
        }
        let snapshot = ready.snapshot();
        let restored = !snapshot.is_empty();
        if restored {
            let metadata = snapshot.get_metadata();
            let snap = Snap { index: metadata.index, term: metadata.term, data: snapshot.data.to_vec() };
            let (joined, bytes) =
                unpack(&snap.data).ok_or_else(|| Unreadable("no table of voters in it".into()))?;
            self.machine.restore(&bytes)?;
            self.joined = joined;
            self.applied = snap.index;
            store.restore(snap);
        }
        let entries = ready.entries();
        let wrote = (before.term, before.vote) != (store.hard.term, store.hard.vote) || !entries.is_empty();
        if !wrote && !restored {
            return Ok(());
        }
        let at = entries.first().map_or(store.last() + 1, |entry| entry.index);
        let batch = store.batch(at, entries.iter().map(|entry| (entry.term, entry.data.to_vec())).collect());
        if !store.take(&batch) {
            return Err(DiskError::Library(format!("entries from {at} don't follow on {}", store.last())));
        }
        if restored {
            return rewrite(&mut self.disk, &store.whole(head)).map_err(DiskError::from);
        }
        let bytes = frame::encode(&Record::Batch(batch));
        self.disk.append(&bytes.ok_or_else(|| DiskError::Library("a step of four gigabytes".into()))?)?;
        Ok(())
    }

    fn apply(&mut self, committed: Vec<Entry>, out: &mut Vec<Action>) {
        for entry in committed {
            let Part::Member(member) = &mut self.part else {
                return;
            };
            self.applied = entry.index;
            let mut answer = Vec::new();
            match entry.data.split_first() {
                Some((&COMMAND, command)) => answer = self.machine.apply(entry.index, command),
                Some((&JOINED, who)) => {
                    let Some((of, inc)) =
                        who.split_first_chunk::<8>().and_then(|(of, inc)| Some((of, inc.try_into().ok()?)))
                    else {
                        continue;
                    };
                    let (of, inc) = (u64::from_le_bytes(*of), u64::from_le_bytes(inc));
                    // Proposed twice, it is admitted once.
                    if self.joined.get(&of).is_none_or(|(known, _)| *known != inc) {
                        self.joined.insert(of, (inc, entry.index));
                        if of != self.id && member.is_leader() {
                            member.forget_progress(of);
                        }
                    }
                }
                _ => {}
            }
            let Some((term, ticket)) = member.pending.remove(&entry.index) else {
                continue;
            };
            out.push(match term == entry.term {
                true => Action::Done { ticket, index: entry.index, answer },
                false => Action::Unmet { ticket, why: Unmet::Lost },
            });
        }
    }

    /// Writes the file anew without what a snapshot holds, once enough has come behind the last.
    pub(super) fn compact(&mut self) -> Result<(), DiskError> {
        let Some(member) = self.member() else {
            return Ok(());
        };
        let store = member.node.store();
        let behind = (self.applied - store.snapshot_index()) as usize;
        let due = behind >= self.bounds.compact_entries
            || (behind > self.bounds.keep_entries && store.bytes() >= self.bounds.compact_bytes);
        let Some(snap) = due.then(|| self.snap()).flatten() else {
            return Ok(());
        };
        let head = self.head(member.standing());
        let keep = self.bounds.keep_entries;
        if let Part::Member(member) = &mut self.part {
            let store = member.node.mut_store();
            store.compact(snap, keep);
            let records = store.whole(head);
            rewrite(&mut self.disk, &records)?;
        }
        Ok(())
    }
}
