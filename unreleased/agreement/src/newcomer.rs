//! A voter whose disk has promised nothing: on the very first start, or because its disk is lost. It neither votes nor counts.
//! It begins as a voter with nothing if *every* other voter says, in answer to this very incarnation, that it has promised
//! nothing either or knew of this incarnation when it began; else it waits for a leader's [`Wire::Restore`].

use std::collections::BTreeMap;

use crate::bounds::VoterId;
use crate::wire::Wire;

#[derive(Debug)]
pub(crate) struct Newcomer {
    pub inc: u64,
    /// Who has answered so, and as which incarnation.
    heard: BTreeMap<u64, u64>,
    /// A leader was told, and may admit it under a generation: one that began by itself has none, and wouldn't be heard.
    awaiting: bool,
}

/// What becomes of it.
#[derive(Debug, PartialEq)]
pub(crate) enum Next {
    /// Nothing yet.
    Wait,
    /// Say this to the one who spoke.
    Say(Wire),
    /// Write that it awaits a leader, then say this.
    Await(Wire),
    /// Begin as a voter with nothing; these were heard.
    Begin(Vec<(u64, u64)>),
    /// Begin with what a leader sent.
    Restored(Wire),
}

impl Newcomer {
    pub fn new(inc: u64, awaiting: bool) -> Self {
        Self { inc, heard: BTreeMap::new(), awaiting }
    }

    pub fn hear(&mut self, from: VoterId, wire: Wire, voters: usize) -> Next {
        match wire {
            Wire::Ask { inc } => Next::Say(Wire::Fresh { inc: self.inc, to: inc }),
            Wire::Fresh { inc, to } | Wire::Founded { inc, to } if to == self.inc => {
                self.heard.insert(from.0, inc);
                match self.heard.len() + 1 {
                    count if count == voters && !self.awaiting => {
                        Next::Begin(self.heard.iter().map(|(id, inc)| (*id, *inc)).collect())
                    }
                    _ => Next::Wait,
                }
            }
            Wire::Challenge { to, nonce } if to == self.inc => {
                let wire = Wire::Confirm { inc: self.inc, nonce };
                match std::mem::replace(&mut self.awaiting, true) {
                    true => Next::Say(wire),
                    false => Next::Await(wire),
                }
            }
            Wire::Restore { to, .. } if to == self.inc => Next::Restored(wire),
            _ => Next::Wait,
        }
    }
}
