//! What holds voters to what they said: each answer to the ledger, each ticket to one answer, each term to one leader.

use gingerledge_agreement::Action;

use super::{Happens, Node, World};

impl World {
    pub(super) fn act(&mut self, who: usize, action: Action) {
        let seed = self.seed;
        if self.liars && !matches!(action, Action::Send { .. }) {
            return;
        }
        match action {
            Action::Send { to, bytes } => {
                if let Some((audit, node)) = self.audit.zip(self.node(who)) {
                    audit(node, to, &bytes);
                }
                if self.liars && self.sent.len() < 10_000 {
                    self.sent.push(bytes.clone());
                }
                let to = to.0 as usize - 1;
                self.trace =
                    self.trace.rotate_left(5) ^ u64::from(crc32fast::hash(&bytes)) ^ (self.now * 1e3) as u64;
                let times = 1 + usize::from(self.rng.f64() < self.weather.twice);
                for _ in 0..times {
                    if self.rng.f64() >= self.weather.lost {
                        // Most come soon; a few come long after.
                        let spread = self.rng.f64().powi(6);
                        let later = 0.2 + self.weather.delay_most * spread + self.rng.f64();
                        self.at(later, Happens::Arrive { to, from: who, bytes: bytes.clone() });
                    }
                }
            }
            Action::Done { ticket, index, answer } => {
                let (asked, life, command) =
                    self.commands.remove(&ticket).expect("one answer to each ticket");
                assert_eq!((asked, life), (who, self.seats[who].life), "seed {seed}");
                assert_eq!(self.ledger.get(&index), Some(&command), "seed {seed}: done at {index}");
                assert_eq!(answer, [&index.to_le_bytes(), &command[..]].concat(), "seed {seed}: the answer");
                self.done.insert(ticket, index);
            }
            Action::Fresh { ticket, index } => {
                let (asked, life, least) = self.reads.remove(&ticket).expect("one answer to each ticket");
                assert_eq!((asked, life), (who, self.seats[who].life), "seed {seed}");
                assert!(
                    index >= least,
                    "seed {seed}: a read at {who} is fresh at {index}, {least} was done before"
                );
                assert!(
                    index <= self.node(who).map_or(0, Node::applied),
                    "seed {seed}: fresh beyond what is applied"
                );
                self.fresh += 1;
            }
            Action::Unmet { ticket, why } => {
                let known = self.commands.remove(&ticket).is_some() || self.reads.remove(&ticket).is_some();
                assert!(known, "seed {seed}: a second answer to {ticket}");
                self.unmet.insert(ticket, why);
            }
        }
    }

    /// Holds a voter to the ledger: what it applied is what all apply there, and nothing is left out.
    pub(super) fn watch(&mut self, who: usize) {
        let (seed, id) = (self.seed, self.ids[who]);
        let seat = &mut self.seats[who];
        let Some(node) = &seat.node else {
            return;
        };
        seat.voted |= node.votes();
        if self.liars {
            return;
        }
        let (seen, applied) = (&node.machine().seen, node.applied());
        if seat.checked > seen.len() {
            seat.checked = 0;
        }
        for (index, command) in &seen[seat.checked..] {
            let stands = self.ledger.entry(*index).or_insert_with(|| command.clone());
            assert_eq!(stands, command, "seed {seed}: voter {who} applied another command at {index}");
            assert!(*index <= applied, "seed {seed}: voter {who}");
        }
        seat.checked = seen.len();
        let all = self.ledger.range(..=applied).count();
        assert_eq!(
            seen.len(),
            all,
            "seed {seed}: voter {who} left out or doubled a command before {applied}"
        );
        if node.leader() == Some(id) {
            let leader = *self.terms.entry(node.term()).or_insert(id);
            assert_eq!(leader, id, "seed {seed}: two leaders in term {}", node.term());
        }
    }
}
