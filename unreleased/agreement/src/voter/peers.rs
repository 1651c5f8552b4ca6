//! What a voter makes of its peers' words, and how one without a disk becomes a member. Whatever can't be from a sound voter in
//! the state that this one is in is dropped.

use super::{rewrite, unpack, Part, Voter, JOINED};
use super::{Action, Machine};
use crate::bounds::{DiskError, VoterId};
use crate::disk::Disk;
use crate::frame::{Head, Record, Snap, Standing};
use crate::member::Admit;
use crate::newcomer::Next;
use crate::store::Store;
use crate::wire::{self, Wire};

impl<D: Disk, M: Machine> Voter<D, M> {
    /// What a peer says. What can't be from a sound voter in the state that this one is in is dropped.
    pub(super) fn hear(
        &mut self,
        from: VoterId,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) -> Result<(), DiskError> {
        if from.0 == self.id || !self.voters.contains(&from.0) || bytes.len() > self.bounds.message_most() {
            return Ok(());
        }
        let Some(heard) = wire::decode(bytes) else {
            return Ok(());
        };
        let next = match &mut self.part {
            Part::Newcomer(newcomer) => newcomer.hear(from, heard, self.voters.len()),
            Part::Member(_) => return self.hear_as_member(from.0, heard, out),
        };
        match next {
            Next::Wait => Ok(()),
            Next::Say(wire) => {
                out.push(self.send(from.0, &wire));
                Ok(())
            }
            Next::Await(wire) => {
                let head = self.head(Standing::Fresh { awaiting: true });
                rewrite(&mut self.disk, &[Record::Head(head)])?;
                out.push(self.send(from.0, &wire));
                Ok(())
            }
            Next::Begin(heard) => {
                let head = self.head(Standing::Voting { generation: 0, heard: heard.clone() });
                let store = Store::new(&head);
                rewrite(&mut self.disk, &[Record::Head(head)])?;
                self.join(store, 0, heard)
            }
            Next::Restored(wire) => self.restored(from.0, wire),
        }
    }

    pub(super) fn head(&self, standing: Standing) -> Head {
        let voters = self.voters.clone();
        Head { id: self.id, voters, incarnation: self.inc, standing, from: (0, 0), snapshot: None }
    }

    /// A leader has sent all that this voter's earlier incarnations may have promised. It also takes the leader's term, and its
    /// vote in it: in that term it may have voted before.
    fn restored(&mut self, from: u64, wire: Wire) -> Result<(), DiskError> {
        let Wire::Restore { generation, term, snap, .. } = wire else {
            return Ok(());
        };
        let Some((joined, bytes)) = unpack(&snap.data) else {
            return Ok(());
        };
        let admitted = joined.get(&self.id) == Some(&(self.inc, generation));
        let sound = snap.index >= generation && snap.term > 0 && snap.term <= term && term < 1 << 62;
        if !admitted || !sound || self.machine.restore(&bytes).is_err() {
            return Ok(());
        }
        let mut head = self.head(Standing::Voting { generation, heard: Vec::new() });
        head.from = (snap.index, snap.term);
        head.snapshot = Some(snap);
        let mut store = Store::new(&head);
        store.hard.term = term;
        store.hard.vote = from;
        rewrite(&mut self.disk, &store.whole(head))?;
        self.joined = joined;
        self.join(store, generation, Vec::new())
    }

    fn hear_as_member(&mut self, from: u64, wire: Wire, out: &mut Vec<Action>) -> Result<(), DiskError> {
        let Part::Member(member) = &mut self.part else {
            return Ok(());
        };
        let Wire::Raft { generation, message } = wire else {
            let admit = member.admit(from, &wire, &self.joined, &self.bounds, (self.inc, self.rng.u64(..)));
            self.admit(from, wire, admit, out);
            return Ok(());
        };
        // Said by an incarnation that is no more.
        if generation < self.joined.get(&from).map_or(0, |(_, index)| *index) {
            return Ok(());
        }
        let Some(message) = wire::checked(message, from, self.id, &self.voters, &member.node) else {
            return Ok(());
        };
        if message.has_snapshot() && !self.readable(&message.get_snapshot().data) {
            return Ok(());
        }
        if let Part::Member(member) = &mut self.part {
            // An error says only that it was of no use.
            let _ = member.node.step(message);
        }
        Ok(())
    }

    /// Whether the machine can be restored from a snapshot, tried before the log rests on it.
    fn readable(&mut self, data: &[u8]) -> bool {
        let was = self.machine.snapshot();
        let readable = unpack(data).is_some_and(|(_, bytes)| self.machine.restore(&bytes).is_ok());
        readable && self.machine.restore(&was).is_ok()
    }

    fn admit(&mut self, from: u64, wire: Wire, admit: Admit, out: &mut Vec<Action>) {
        match (admit, wire) {
            (Admit::Say(wire), _) => out.push(self.send(from, &wire)),
            (Admit::Propose, Wire::Confirm { inc, .. }) => {
                let data = [&[JOINED][..], &from.to_le_bytes(), &inc.to_le_bytes()].concat();
                if let Part::Member(member) = &mut self.part {
                    // Refused for want of room: it asks again.
                    let _ = member.node.propose(Vec::new(), data);
                }
            }
            (Admit::Restore, Wire::Ask { inc }) => {
                let generation = self.joined.get(&from).map_or(0, |(_, index)| *index);
                if let Some((snap, term)) = self.snap().zip(self.member().map(|member| member.node.raft.term))
                {
                    out.push(self.send(from, &Wire::Restore { to: inc, generation, term, snap }));
                }
            }
            _ => {}
        }
    }

    /// All that is applied, if it isn't longer than is kept.
    pub(super) fn snap(&self) -> Option<Snap> {
        let term = self.member()?.node.store().term_of(self.applied)?;
        let data = postcard::to_stdvec(&(&self.joined, self.machine.snapshot())).ok()?;
        (data.len() <= self.bounds.snapshot_most).then_some(Snap { index: self.applied, term, data })
    }
}
