//! Tests of a tail that is catching up. A tail that is not in sync must not commit: its log may lack committed entries. Entries
//! and snapshots must not be applied or acknowledged before they are durable: a power failure could lose them.

use std::time::Duration;

use gingerledge_chain::{
    MemberId, OutgoingSnapshotState, Replica, ReplicaAction, ReplicaEvent, ReplicaMessage, ReplicaSettings,
    View, ViewEvent,
};

const HEAD: MemberId = MemberId(1);
const NEW_TAIL: MemberId = MemberId(2);
const EPOCH: u64 = 7;

/// A replica with the actions that it has emitted and a disk that syncs only when the test calls [`Member::sync`].
struct Member {
    replica: Replica,
    actions: Vec<ReplicaAction>,
    unsynced: Vec<u64>,
}

impl Member {
    /// Creates the tail of a chain that has committed entries in earlier views. The new member has none of them.
    fn new_tail() -> Self {
        let replica = Replica::new(NEW_TAIL, ReplicaSettings::default(), 1);
        let mut member = Self { replica, actions: Vec::new(), unsynced: Vec::new() };
        member.handle_event(ReplicaEvent::Started);
        let view = View { epoch: EPOCH, chain: vec![HEAD, NEW_TAIL] };
        member.handle_event(ReplicaEvent::View(ViewEvent::Install { view }));
        member.sync();
        member
    }

    fn handle_event(&mut self, event: ReplicaEvent) {
        let mut out = Vec::new();
        self.replica.handle(Duration::ZERO, event, &mut out);
        for action in out {
            if let ReplicaAction::Persist { token, .. } = action {
                self.unsynced.push(token);
            }
            self.actions.push(action);
        }
    }

    fn sync(&mut self) {
        while let Some(token) = self.unsynced.pop() {
            self.unsynced.clear();
            self.handle_event(ReplicaEvent::Durable { token });
        }
    }

    fn receive(&mut self, message: ReplicaMessage) {
        self.handle_event(ReplicaEvent::Message { from: HEAD, message });
    }

    /// Delivers the entries `first..=last` from the head, with an in-sync index of 5.
    fn receive_entries(&mut self, first: u64, last: u64) {
        let commands = (first..=last).map(|index| vec![index as u8]).collect();
        self.receive(ReplicaMessage::Append {
            epoch: EPOCH,
            first_index: first,
            commands,
            commit_index: 0,
            in_sync_index: Some(5),
        });
    }

    fn applied(&self) -> Vec<u64> {
        let index = |action: &ReplicaAction| match action {
            ReplicaAction::Apply { index, .. } => Some(*index),
            _ => None,
        };
        self.actions.iter().filter_map(index).collect()
    }
}

#[test]
fn a_tail_that_is_not_in_sync_commits_nothing() {
    let mut member = Member::new_tail();
    member.receive_entries(1, 3);
    member.sync();
    assert!(!member.replica.is_in_sync());
    assert_eq!(member.applied(), [] as [u64; 0]);
    member.receive_entries(4, 5);
    assert_eq!(member.applied(), [] as [u64; 0], "entries are applied before they are durable");
    member.sync();
    assert!(member.replica.is_in_sync());
    assert_eq!(member.applied(), [1, 2, 3, 4, 5]);
}

#[test]
fn a_snapshot_counts_only_once_it_is_durable() {
    let mut member = Member::new_tail();
    let bytes = vec![9; 10];
    member.receive(ReplicaMessage::SnapshotChunk {
        epoch: EPOCH,
        index: 4,
        total_bytes: 10,
        offset: 0,
        bytes: bytes.clone(),
    });
    let acknowledged_and_installed = |member: &Member| {
        let acknowledged = |action: &ReplicaAction| {
            matches!(
                action,
                ReplicaAction::Send { message: ReplicaMessage::Ack { durable_index: 4.., .. }, .. }
            )
        };
        let installed = ReplicaAction::InstallSnapshot { index: 4, bytes: bytes.clone() };
        (member.actions.iter().any(acknowledged), member.actions.contains(&installed))
    };
    assert_eq!(acknowledged_and_installed(&member), (false, false));
    member.sync();
    assert_eq!(acknowledged_and_installed(&member), (true, true));
    member.receive_entries(5, 5);
    member.sync();
    assert_eq!(member.applied(), [5]);
}

/// Guards against a follower that waits forever because its transfer counts as under way after its snapshot was dropped: the entries
/// after the snapshot are no longer in memory.
#[test]
fn a_transfer_whose_snapshot_was_dropped_waits_for_the_next_one() {
    let settings = ReplicaSettings { min_chain_length: 1, retain_entries: 1, ..ReplicaSettings::default() };
    let replica = Replica::new(HEAD, settings, 1);
    let mut member = Member { replica, actions: Vec::new(), unsynced: Vec::new() };
    member.handle_event(ReplicaEvent::Started);
    let view = View { epoch: 1, chain: vec![HEAD] };
    member.handle_event(ReplicaEvent::View(ViewEvent::Install { view }));
    member.sync();
    let submit = |member: &mut Member, count: u8| {
        for number in 0..count {
            member.handle_event(ReplicaEvent::Submit { command: vec![number] });
            member.sync();
        }
    };
    let states = |member: &Member| -> Vec<OutgoingSnapshotState> {
        member.replica.outgoing_snapshots().map(|snapshot| snapshot.state).collect()
    };
    submit(&mut member, 10);
    let resume = ReplicaMessage::Resume { epoch: 1, last_index: 0, in_sync: false, is_learner: true };
    member.handle_event(ReplicaEvent::Message { from: NEW_TAIL, message: resume });
    assert!(member.replica.awaits_snapshot());
    assert_eq!(states(&member), [OutgoingSnapshotState::Waiting]);
    let index = member.replica.applied_index();
    member.handle_event(ReplicaEvent::SnapshotReady { index, bytes: vec![7; 10] });
    assert!(!member.replica.awaits_snapshot());
    assert_eq!(states(&member), [OutgoingSnapshotState::Sending]);
    submit(&mut member, 10);
    assert!(member.replica.awaits_snapshot());
    assert_eq!(states(&member), [OutgoingSnapshotState::Waiting]);
}
