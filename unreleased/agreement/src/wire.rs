//! What voters say to each other, and what is believed of it. A message is a version, a checksum and postcard; the consensus
//! library is only given messages that it has defined answers to: it stops the program at a commit beyond the log, at entries
//! with holes or a read without its context. Bytes that are none of this are dropped.

use raft::eraftpb::{Entry, Message, MessageType};
use raft::{RawNode, StateRole};
use serde::{Deserialize, Serialize};

use crate::frame::Snap;
use crate::store::{snapshot, Store};

const VERSION: u8 = 1;
/// Above it terms and indices are nonsense; below it adding to them can't overflow.
const NUMBER_MOST: u64 = 1 << 62;
/// A read's context, the only one that is passed on.
const CONTEXT_MOST: usize = 32;

/// One message. `inc`: the sender's incarnation; `to`: the receiver's, as it named it itself, so that nothing said to an
/// earlier one is taken for an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Wire {
    /// I have promised nothing yet: who else hasn't, or else who brings me up to date?
    Ask { inc: u64 },
    /// Nor have I.
    Fresh { inc: u64, to: u64 },
    /// I have, but when I began I knew of you as you are.
    Founded { inc: u64, to: u64 },
    /// The leader makes sure that an ask is no echo of an earlier incarnation's.
    Challenge { to: u64, nonce: u64 },
    /// It is none.
    Confirm { inc: u64, nonce: u64 },
    /// The leader of this term has you in the table by `generation`; this is all that you may have known.
    Restore { to: u64, generation: u64, term: u64, snap: Snap },
    /// The protocol's own.
    Raft { generation: u64, message: Plain },
}

/// The library's message, with what we use of it. Entries follow on `index` without holes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Plain {
    pub kind: u8,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<(u64, Vec<u8>)>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<Snap>,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
}

/// Those that voters send; all others are the library's own affair.
const KINDS: [MessageType; 11] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgReadIndex,
    MessageType::MsgReadIndexResp,
];

pub(crate) fn encode(wire: &Wire) -> Vec<u8> {
    // Serializing these to a vector has no way to fail.
    let body = postcard::to_stdvec(wire).unwrap_or_default();
    let mut bytes = Vec::with_capacity(5 + body.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

pub(crate) fn decode(bytes: &[u8]) -> Option<Wire> {
    let (check, body) = bytes.strip_prefix(&[VERSION])?.split_first_chunk::<4>()?;
    if crc32fast::hash(body).to_le_bytes() != *check {
        return None;
    }
    match postcard::take_from_bytes(body).ok()? {
        (wire, []) => Some(wire),
        _ => None,
    }
}

/// A message that the library wants sent; `None` for one that voters don't send.
pub(crate) fn plain(message: Message) -> Option<Plain> {
    let kind = KINDS.iter().position(|kind| *kind == message.msg_type)? as u8;
    let snap = message.snapshot.as_ref().map(|snapshot| Snap {
        index: snapshot.get_metadata().index,
        term: snapshot.get_metadata().term,
        data: snapshot.data.to_vec(),
    });
    Some(Plain {
        kind,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(|entry| (entry.term, entry.data.to_vec())).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot: snap.filter(|snap| snap.index > 0),
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.to_vec(),
    })
}

/// A message as the library takes it, or `None` if it must not see it in the state that it is in.
pub(crate) fn checked(
    plain: Plain,
    from: u64,
    id: u64,
    voters: &[u64],
    node: &RawNode<Store>,
) -> Option<Message> {
    let kind = *KINDS.get(usize::from(plain.kind))?;
    let log = &node.raft.raft_log;
    let (term, last) = (node.raft.term, log.last_index());
    let numbers =
        [plain.term, plain.log_term, plain.index, plain.commit, plain.commit_term, plain.reject_hint];
    // Without a term it would count as said by ourselves; only a read's question has none.
    let termless = plain.term == 0 && kind != MessageType::MsgReadIndex;
    if termless || numbers.iter().any(|number| *number > NUMBER_MOST) {
        return None;
    }
    let reads = matches!(kind, MessageType::MsgReadIndex | MessageType::MsgReadIndexResp);
    let terms = || plain.entries.iter().map(|(term, _)| *term);
    let sound = match kind {
        MessageType::MsgAppend => {
            plain.snapshot.is_none()
                && plain.context.is_empty()
                && plain.log_term <= plain.term
                // An index that isn't known has term 0 to the library, and would match.
                && (plain.index > 0) == (plain.log_term > 0)
                && terms().all(|term| term > 0 && term <= plain.term)
                && terms().try_fold(plain.log_term, |before, term| (term >= before).then_some(term)).is_some()
        }
        // The leader knows what is here by our own answers; a commit beyond it is none of a leader's of ours.
        MessageType::MsgHeartbeat => plain.commit <= last,
        MessageType::MsgSnapshot => plain.snapshot.as_ref().is_some_and(|snap| {
            snap.index > 0 && snap.index <= NUMBER_MOST && snap.term > 0 && snap.term <= plain.term
        }),
        // Of a leader's own term such answers speak of what it has sent.
        MessageType::MsgAppendResponse => {
            plain.term != term || (plain.index <= last && plain.reject_hint <= last && plain.commit <= last)
        }
        // A context here would be a leadership's transfer, which overrules the lease; none is ever made.
        MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => plain.context.is_empty(),
        MessageType::MsgReadIndex => {
            node.raft.state == StateRole::Leader
                && node.raft.pending_read_count() < 4 * voters.len()
                && plain.term <= term
        }
        MessageType::MsgReadIndexResp => node.raft.leader_id == from && plain.term <= term,
        _ => true,
    };
    let single = plain.entries.len() == 1 && plain.entries[0].1.len() <= CONTEXT_MOST;
    let carries = kind == MessageType::MsgAppend || if reads { single } else { plain.entries.is_empty() };
    let snaps = kind == MessageType::MsgSnapshot || plain.snapshot.is_none();
    if !(sound && carries && snaps && plain.context.len() <= CONTEXT_MOST) {
        return None;
    }
    Some(message(plain, kind, from, id, voters))
}

fn message(plain: Plain, kind: MessageType, from: u64, id: u64, voters: &[u64]) -> Message {
    let mut message = Message { from, to: id, term: plain.term, ..Message::default() };
    message.set_msg_type(kind);
    message.log_term = plain.log_term;
    message.index = plain.index;
    message.commit = plain.commit;
    message.commit_term = plain.commit_term;
    message.reject = plain.reject;
    message.reject_hint = plain.reject_hint;
    message.context = plain.context.into();
    if let Some(snap) = &plain.snapshot {
        message.set_snapshot(snapshot(snap, voters));
    }
    let entries = (plain.index + 1..).zip(plain.entries).map(|(index, (term, data))| {
        let mut entry = Entry { term, index, ..Entry::default() };
        entry.data = data.into();
        entry
    });
    message.set_entries(entries.collect::<Vec<_>>().into());
    message
}
