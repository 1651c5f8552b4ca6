//! The invariants. They are checked at every step from the actions that the hosts carry out, independently of the state of the
//! members.

use std::collections::{BTreeMap, HashMap};

use gingerledge_chain::{ChainMessage, MemberId, Membership, ReplicaMessage};

use super::state_machine::hash_command;

/// Records what was acknowledged, and fails the test if an invariant is violated.
pub struct InvariantChecker {
    seed: u64,
    fault_tolerance: usize,
    founders: usize,
    /// The command of each index from 1 on, as first applied by any member.
    commands: Vec<Vec<u8>>,
    /// Hash of the state after each index, starting with index 0.
    hashes: Vec<u64>,
    index_of: HashMap<Vec<u8>, u64>,
    /// The highest acknowledged index.
    pub acknowledged_index: u64,
    pub acknowledgements: u64,
    /// Reads in progress by token, with the last index acknowledged before each started.
    reads: HashMap<u64, u64>,
    pub reads_served: u64,
    pub reads_failed: u64,
    pub confirmed_barriers: u64,
    memberships: BTreeMap<u64, Membership>,
    /// The last acknowledged index when the head sent a barrier, by epoch and number of the barrier.
    barriers: HashMap<(u64, u64), u64>,
    /// The last barrier that the head of each epoch has sent.
    last_barriers: HashMap<u64, u64>,
    /// The last confirmed barrier of each member, incarnation and epoch.
    last_confirmed: HashMap<(MemberId, u64, u64), u64>,
}

impl InvariantChecker {
    pub fn new(seed: u64, fault_tolerance: usize, founders: usize) -> Self {
        Self {
            seed,
            fault_tolerance,
            founders,
            commands: Vec::new(),
            hashes: vec![0],
            index_of: HashMap::new(),
            acknowledged_index: 0,
            acknowledgements: 0,
            reads: HashMap::new(),
            reads_served: 0,
            reads_failed: 0,
            confirmed_barriers: 0,
            memberships: BTreeMap::new(),
            barriers: HashMap::new(),
            last_barriers: HashMap::new(),
            last_confirmed: HashMap::new(),
        }
    }

    /// Checks that each index permanently has the same command at all members, and each command only one index.
    pub fn on_applied(&mut self, member: MemberId, index: u64, command: &[u8], should_reply: bool) {
        let position = index as usize - 1;
        assert!(position <= self.commands.len(), "seed {}: {member:?} applied {index} with a gap", self.seed);
        if position == self.commands.len() {
            let before = self.index_of.insert(command.to_vec(), index);
            assert_eq!(before, None, "seed {}: {member:?} applied {command:?} twice, at {index}", self.seed);
            self.hashes.push(hash_command(self.hashes[position], command));
            self.commands.push(command.to_vec());
        }
        assert_eq!(
            self.commands[position], command,
            "seed {}: {member:?} applied a different command at {index}",
            self.seed
        );
        if should_reply {
            self.acknowledged_index = self.acknowledged_index.max(index);
            self.acknowledgements += 1;
        }
    }

    /// Checks that an acknowledged entry has been synced by at least one disk more than may be lost.
    pub fn on_acknowledged(&self, index: u64, disks: usize) {
        let needed = self.fault_tolerance + 1;
        assert!(
            disks >= needed,
            "seed {}: {index} was acknowledged after {disks} disks had synced it",
            self.seed
        );
    }

    pub fn on_snapshot_installed(&self, member: MemberId, index: u64, hash: u64) {
        let expected = self.hashes.get(index as usize).copied();
        assert_eq!(
            expected,
            Some(hash),
            "seed {}: {member:?} installed a different state at {index}",
            self.seed
        );
    }

    pub fn on_read_started(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged_index);
    }

    pub fn on_read_ready(&mut self, token: u64, index: u64) {
        let required_index = self.reads.remove(&token).expect("each read completes once");
        assert!(
            index >= required_index,
            "seed {}: a read at {index} after {required_index} was acknowledged",
            self.seed
        );
        self.reads_served += 1;
    }

    pub fn on_read_failed(&mut self, token: u64) {
        self.reads.remove(&token).expect("each read completes once");
        self.reads_failed += 1;
    }

    /// Checks that each epoch has only one membership, and that voters change one at a time and do not become fewer.
    pub fn on_membership_installed(&mut self, membership: Membership) {
        let seed = self.seed;
        let first_installed = self.memberships.entry(membership.epoch).or_insert_with(|| membership.clone());
        assert_eq!(*first_installed, membership, "seed {seed}: two memberships for one epoch");
        assert!(
            membership.chain.iter().all(|member| membership.is_voter(*member)),
            "seed {seed}: {membership:?}"
        );
        assert!(membership.voters.len() >= self.founders, "seed {seed}: {membership:?}");
        if let Some(previous) = self.memberships.get(&(membership.epoch - 1)) {
            let added_voters = membership.voters.iter().filter(|voter| !previous.is_voter(**voter)).count();
            assert!(
                added_voters <= 1,
                "seed {seed}: more than one voter changed from {previous:?} to {membership:?}"
            );
            assert!(membership.voters.len() >= previous.voters.len(), "seed {seed}: voters became fewer");
        }
    }

    /// Checks that the head sends each barrier only once, also across restarts, and records what was acknowledged at that time:
    /// the confirmation of the barrier must cover it.
    pub fn on_sent(&mut self, from: MemberId, message: &ChainMessage) {
        let ChainMessage::Replica(ReplicaMessage::Barrier { epoch, number }) = message else { return };
        self.barriers.entry((*epoch, *number)).or_insert(self.acknowledged_index);
        if self.memberships.get(epoch).is_some_and(|membership| membership.chain.first() == Some(&from)) {
            let last = self.last_barriers.insert(*epoch, *number);
            assert!(
                last < Some(*number),
                "seed {}: barrier {number} of epoch {epoch} was sent again",
                self.seed
            );
        }
    }

    /// Checks that the confirmation of a barrier covers what was acknowledged before the barrier was sent, and that the numbers
    /// of confirmed barriers increase within an incarnation of a member and an epoch.
    pub fn on_barrier_committed(&mut self, at: (MemberId, u64, u64), number: u64, commit_index: u64) {
        let (member, _, epoch) = at;
        let seed = self.seed;
        let required_index = self.barriers.get(&(epoch, number)).copied().unwrap_or(0);
        assert!(
            commit_index >= required_index,
            "seed {seed}: barrier {number} of epoch {epoch} confirms {commit_index}, expected at least {required_index}"
        );
        let last = self.last_confirmed.insert(at, number);
        assert!(
            last < Some(number),
            "seed {seed}: barrier {number} of epoch {epoch} was confirmed out of order at {member:?}"
        );
        self.confirmed_barriers += 1;
    }
}
