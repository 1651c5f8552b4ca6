//! What a voting voter knows beside the library's node: tickets that wait, the round of reads under way, and how far it is with
//! admitting those that lost their disk. Pure bookkeeping: the order of disk and word is the voter's.

use std::collections::{BTreeMap, VecDeque};

use raft::{ProgressState, RawNode, SnapshotStatus, StateRole};

use crate::bounds::{Bounds, Millis, Unmet, VoterId};
use crate::frame::Standing;
use crate::store::Store;
use crate::voter::Action;
use crate::wire::Wire;

/// The table of incarnations, a part of what is replicated: by voter its incarnation and the index at which it was admitted.
pub(crate) type Joined = BTreeMap<u64, (u64, u64)>;

pub(crate) struct Member {
    pub node: RawNode<Store>,
    pub generation: u64,
    /// Those that had promised nothing when this one began.
    pub heard: Vec<(u64, u64)>,
    /// Tickets by the index and term at which their commands stand.
    pub pending: BTreeMap<u64, (u64, u64)>,
    /// The term that it leads.
    pub leads: Option<u64>,
    pub reads: Reads,
    admissions: BTreeMap<u64, Admission>,
    /// Ticks since a snapshot was sent, by voter.
    snapshots: BTreeMap<u64, usize>,
    pub ticks: u64,
}

/// How far a leader is with one that lost its disk.
#[derive(Default)]
struct Admission {
    /// What it was asked, to be answered by the incarnation beside it.
    challenge: Option<(u64, u64)>,
    /// When its admission was last proposed, and when it was last sent all.
    proposed: Option<u64>,
    sent: Option<u64>,
}

/// What a leader does about a voter without a disk.
pub(crate) enum Admit {
    Nothing,
    Say(Wire),
    /// Put it in the table.
    Propose,
    /// It is in the table: send all.
    Restore,
}

/// Reads: those that wait for a round, those in it, and rounds that only wait until they are applied.
#[derive(Default)]
pub(crate) struct Reads {
    waiting: Vec<(u64, Millis)>,
    round: Option<Round>,
    settled: VecDeque<(u64, Vec<(u64, Millis)>)>,
    /// The last round's number. It begins anywhere: an answer to an earlier life of this voter is none to this one.
    given: u64,
}

struct Round {
    number: u64,
    began: u64,
    tickets: Vec<(u64, Millis)>,
}

impl Reads {
    pub fn len(&self) -> usize {
        let settled: usize = self.settled.iter().map(|(_, tickets)| tickets.len()).sum();
        self.waiting.len() + settled + self.round.as_ref().map_or(0, |round| round.tickets.len())
    }

    pub fn ask(&mut self, ticket: u64, until: Millis) {
        self.waiting.push((ticket, until));
    }

    /// The number of a round to begin, if one is due. A round that isn't answered is begun anew under another number.
    pub fn begin(&mut self, ticks: u64, patience: u64) -> Option<u64> {
        if let Some(round) = self.round.take_if(|round| ticks >= round.began + patience) {
            self.waiting.splice(0..0, round.tickets);
        }
        if self.round.is_some() || self.waiting.is_empty() {
            return None;
        }
        self.given = self.given.wrapping_add(1);
        let tickets = std::mem::take(&mut self.waiting);
        self.round = Some(Round { number: self.given, began: ticks, tickets });
        Some(self.given)
    }

    pub fn answered(&mut self, number: u64, index: u64) {
        if let Some(round) = self.round.take_if(|round| round.number == number) {
            self.settled.push_back((index, round.tickets));
        }
    }

    /// Reads that can be answered now, and those that waited too long.
    pub fn settle(&mut self, applied: u64, now: Millis, out: &mut Vec<Action>) {
        self.settled.retain(|(index, tickets)| {
            if *index <= applied {
                out.extend(
                    tickets.iter().map(|(ticket, _)| Action::Fresh { ticket: *ticket, index: applied }),
                );
            }
            *index > applied
        });
        let mut late = |tickets: &mut Vec<(u64, Millis)>| {
            tickets.retain(|(ticket, until)| {
                if now >= *until {
                    out.push(Action::Unmet { ticket: *ticket, why: Unmet::Lost });
                }
                now < *until
            });
        };
        late(&mut self.waiting);
        self.round.iter_mut().for_each(|round| late(&mut round.tickets));
        self.settled.iter_mut().for_each(|(_, tickets)| late(tickets));
    }
}

impl Member {
    pub fn new(node: RawNode<Store>, generation: u64, heard: Vec<(u64, u64)>, given: u64) -> Self {
        Self {
            node,
            generation,
            heard,
            pending: BTreeMap::new(),
            leads: None,
            reads: Reads { given, ..Reads::default() },
            admissions: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            ticks: 0,
        }
    }

    pub fn standing(&self) -> Standing {
        Standing::Voting { generation: self.generation, heard: self.heard.clone() }
    }

    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// After any step: what waits here as the leader's is lost with the lead.
    pub fn settle_lead(&mut self, out: &mut Vec<Action>) {
        let leads = self.is_leader().then_some(self.node.raft.term);
        if leads != self.leads {
            self.leads = leads;
            // A challenge proves nothing over a change of leaders: the one it was for may have been admitted since.
            self.admissions.clear();
            self.snapshots.clear();
            let lost = std::mem::take(&mut self.pending).into_values();
            out.extend(lost.map(|(_, ticket)| Action::Unmet { ticket, why: Unmet::Lost }));
        }
    }

    /// A voter without a disk has spoken to this leader.
    pub fn admit(
        &mut self,
        from: u64,
        wire: &Wire,
        joined: &Joined,
        bounds: &Bounds,
        (mine, nonce): (u64, u64),
    ) -> Admit {
        let (ticks, patience) = (self.ticks, bounds.election_ticks as u64);
        let rested = |since: &Option<u64>| since.is_none_or(|since| ticks >= since + patience);
        let leader = self.is_leader();
        let admission = self.admissions.entry(from).or_default();
        match *wire {
            Wire::Ask { inc } if !leader && self.heard.contains(&(from, inc)) => {
                Admit::Say(Wire::Founded { inc: mine, to: inc })
            }
            Wire::Ask { inc } if leader => {
                if joined.get(&from).is_some_and(|(known, _)| *known == inc) {
                    if !rested(&admission.sent) {
                        return Admit::Nothing;
                    }
                    admission.sent = Some(ticks);
                    return Admit::Restore;
                }
                // The same again for one that only asks again: its answer may be under way.
                let asked = admission.challenge.filter(|(of, _)| *of == inc);
                let (_, nonce) = *admission.challenge.insert(asked.unwrap_or((inc, nonce)));
                Admit::Say(Wire::Challenge { to: inc, nonce })
            }
            Wire::Confirm { inc, nonce } if leader && admission.challenge == Some((inc, nonce)) => {
                admission.challenge = None;
                if !rested(&admission.proposed) {
                    return Admit::Nothing;
                }
                admission.proposed = Some(ticks);
                Admit::Propose
            }
            _ => Admit::Nothing,
        }
    }

    /// A voter has lost its disk: what its earlier incarnation said it had, this one hasn't.
    pub fn forget_progress(&mut self, of: u64) {
        let last = self.node.raft.raft_log.last_index();
        if let Some(progress) = self.node.raft.mut_prs().get_mut(of) {
            progress.matched = 0;
            progress.committed_index = 0;
            progress.become_probe();
            progress.next_idx = last + 1;
        }
    }

    /// A snapshot that nobody answers is sent again: no transport tells us that it was lost.
    pub fn tick_snapshots(&mut self, patience: usize) {
        if !self.is_leader() {
            return;
        }
        let sending = |(id, progress): (&u64, &raft::Progress)| {
            (progress.state == ProgressState::Snapshot).then_some(*id)
        };
        let under_way: Vec<u64> = self.node.raft.prs().iter().filter_map(sending).collect();
        self.snapshots.retain(|id, _| under_way.contains(id));
        for id in under_way {
            let ticks = self.snapshots.entry(id).or_default();
            *ticks += 1;
            if *ticks > patience {
                self.snapshots.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    pub fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0).map(VoterId)
    }
}
