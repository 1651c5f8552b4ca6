//! Ends of stores that are acknowledged: `draining`, and the end of a session.
//!
//! Such an acknowledgement binds every edge that is in touch, whichever control node gave it. So it is given only once
//!
//! 1. every other member of the control chain has answered that it holds the change, and
//! 2. after that, the whole chain has confirmed that this membership is still in force.
//!
//! Edges are fed with fresh ticks by members of the chain in force alone, and a tick passes the whole chain. So whoever feeds an edge
//! holds the change. A node that is cut off from the chain never gets the second word and acknowledges nothing; whoever asked is
//! told to try another control node.

use std::time::Duration;

use gingerledge_chain::ChainEvent;
use gingerledge_wire::Key;
use tokio::sync::oneshot::Sender;

use super::request::Accepted;
use super::requests::Read;
use super::Node;

/// A store waits for its answer one second; it has to get one that sends it elsewhere before that.
const PATIENCE: Duration = Duration::from_millis(900);
/// Most announcements that wait.
const MAX_WAITING: usize = 8_192;

/// A change that is acknowledged once the whole chain holds it.
#[derive(Debug)]
struct Announcement {
    key: Key,
    deadline: Duration,
    reply: Sender<Accepted>,
    /// The members hold it; this question to the chain, asked in the view of this epoch, is to confirm them.
    asked: Option<Confirmation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Confirmation {
    token: u64,
    epoch: u64,
}

/// The announcements that wait.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    waiting: Vec<Announcement>,
}

impl Announcements {
    /// When the first one is given up.
    pub fn next_timer(&self) -> Option<Duration> {
        self.waiting.iter().map(|announcement| announcement.deadline).min()
    }
}

impl Node {
    /// Acknowledges a change, which is learned and shared already, once it may. If it can't in time, dropping the reply says so.
    pub(super) fn announce(&mut self, key: Key, reply: Sender<Accepted>) {
        if self.announcements.waiting.len() < MAX_WAITING {
            let deadline = self.now() + PATIENCE;
            self.announcements.waiting.push(Announcement { key, deadline, reply, asked: None });
        }
    }

    /// Gives up what has waited for too long, and has the chain confirm what its members hold.
    pub(super) fn look_after_announcements(&mut self, now: Duration) {
        self.announcements.waiting.retain(|announcement| now < announcement.deadline);
        let Some(epoch) = self.chain.members().map(|members| members.epoch) else { return };
        let held: Vec<usize> = (0..self.announcements.waiting.len())
            .filter(|at| self.announcements.waiting[*at].asked.is_none())
            .filter(|at| self.is_held_by_members(&self.announcements.waiting[*at].key))
            .collect();
        if held.is_empty() {
            return;
        }
        let Some(token) = self.add_read(Read::Announcements) else { return };
        for at in held {
            self.announcements.waiting[at].asked = Some(Confirmation { token, epoch });
        }
        self.chain_event(ChainEvent::Read { token });
    }

    /// The chain has confirmed its membership, or could not.
    pub(super) fn finish_announcements(&mut self, token: u64, confirmed: bool) {
        let epoch = self.chain.members().map(|members| members.epoch);
        for announcement in std::mem::take(&mut self.announcements.waiting) {
            let asked = announcement.asked.filter(|asked| asked.token == token);
            let in_force = confirmed && asked.is_some_and(|asked| Some(asked.epoch) == epoch);
            if in_force && self.is_held_by_members(&announcement.key) {
                // The store may have given up.
                let _ = announcement.reply.send(Accepted { chain_is_fresh: true });
                continue;
            }
            let asked = announcement.asked.filter(|asked| asked.token != token);
            self.announcements.waiting.push(Announcement { asked, ..announcement });
        }
    }

    /// Whether all other members of the chain have answered that they hold the newest form of an entry. One that has not introduced
    /// itself to this process is not known to hold anything.
    fn is_held_by_members(&self, key: &Key) -> bool {
        let Some(members) = self.chain.members() else { return false };
        let mut others = members.chain.iter().filter(|member| member.0 != self.me.member);
        others.all(|member| {
            self.book.address(member.0).is_some_and(|address| self.sharing.is_held_by(address, key))
        })
    }
}
