//! The messages between replicas, the inputs of a replica and its outputs.

use std::net;
use std::sync;

use crate::error;
use crate::id;
use crate::macros;
use crate::replica::core;
use crate::replica::core::members;

macros::data! {key
    /// One member in one life of its data folder.
    pub struct NodeId {
        /// The name of the instance.
        pub instance: id::InstanceId,
        /// The life of the data folder; zero where it is not known.
        pub incarnation: id::Incarnation,
    }
}

macros::data! {copy
    /// A position in the log and the term of the entry there.
    #[derive(Default)]
    pub struct Position {
        /// The index; zero before the first entry.
        pub index: id::LogIndex,
        /// The term of the entry at the index.
        pub term: id::Term,
    }
}

macros::data! {
    /// One entry of the log.
    pub struct Entry {
        /// Where it stands and the term of the leader that made it.
        pub at: Position,
        /// What it carries.
        pub payload: Payload,
    }
}

macros::data! {
    /// What an entry carries.
    pub enum Payload {
        /// Nothing; a new leader's first entry, which commits all before it.
        Empty,
        /// An encoded command of the state machine.
        Command(Vec<u8>),
        /// The members from this entry on.
        Members(members::Membership),
    }
}

macros::data! {
    /// What must be on disk before a vote counts.
    #[derive(Default)]
    pub struct HardState {
        /// The newest term seen.
        pub term: id::Term,
        /// The candidate that got this member's vote in that term.
        pub vote: Option<NodeId>,
    }
}

macros::data! {
    /// What a snapshot covers.
    pub struct SnapshotHead {
        /// The group, drawn at random when it was formed.
        pub group: id::Incarnation,
        /// The last entry that the snapshot covers.
        pub at: Position,
        /// The members at that entry.
        pub members: members::Membership,
    }
}

macros::data! {
    /// The state machine at one position of the log.
    pub struct Snapshot {
        /// What the snapshot covers.
        pub head: SnapshotHead,
        /// The encoded state; empty for the state before the first entry.
        pub data: Vec<u8>,
    }
}

macros::data! {
    /// A message from one replica to another.
    pub struct Message {
        /// The group of the sender; zero for one that has not joined any.
        pub group: id::Incarnation,
        /// The sender.
        pub from: NodeId,
        /// The receiver; a message to another life of it is dropped.
        pub to: NodeId,
        /// The sender's term, or the term asked for by a pre-vote.
        pub term: id::Term,
        /// The content.
        pub body: Body,
    }
}

macros::data! {
    /// The content of a [`Message`].
    pub enum Body {
        /// A member without a group asks to be taken in.
        Hello {
            /// Where the sender listens.
            address: net::SocketAddr,
        },
        /// The answer to [`Body::Hello`].
        Seen {
            /// Whether the answering member belongs to a group.
            formed: bool,
            /// The leader to ask next, if the answering member knows one.
            leader: Option<core::Peer>,
        },
        /// A committed state, for a voter of a group that has not heard of it yet.
        Welcome(Box<Snapshot>),
        /// Asks whether an election could be won, without a change of term.
        PreVote {
            /// The end of the candidate's log.
            last: Position,
        },
        /// The answer to [`Body::PreVote`].
        PreVoted {
            /// Whether the vote would be given.
            granted: bool,
        },
        /// Asks for a vote.
        Vote {
            /// The end of the candidate's log.
            last: Position,
        },
        /// The answer to [`Body::Vote`].
        Voted {
            /// Whether the vote is given.
            granted: bool,
        },
        /// Entries of the log, or a heartbeat without any.
        Append {
            /// The position before the first entry.
            previous: Position,
            /// The entries.
            entries: Vec<Entry>,
            /// The last entry that the leader knows to be committed.
            committed: id::LogIndex,
            /// The number of the leader's heartbeat round.
            round: u64,
        },
        /// The answer to [`Body::Append`] and to the last piece of a snapshot.
        Appended {
            /// The round of the message that is answered.
            round: u64,
            /// How it went.
            outcome: Outcome,
        },
        /// One piece of a snapshot.
        Piece {
            /// What the snapshot covers.
            head: SnapshotHead,
            /// The number of bytes before this piece.
            offset: u64,
            /// The bytes of the whole snapshot.
            total: u64,
            /// The piece.
            data: Vec<u8>,
            /// The number of the leader's heartbeat round.
            round: u64,
        },
        /// The answer to a [`Body::Piece`] that is not the last.
        Received {
            /// The position of the snapshot.
            at: Position,
            /// The bytes that the receiver has.
            offset: u64,
            /// The round of the message that is answered.
            round: u64,
        },
    }
}

macros::data! {copy
    /// How a member took an [`Body::Append`].
    pub enum Outcome {
        /// The member's log is on disk and equal to the leader's up to here.
        Matched(id::LogIndex),
        /// The logs differ before the entries.
        Differs {
            /// The index before the entries that were refused.
            refused: id::LogIndex,
            /// The index after which to try again.
            retry: id::LogIndex,
        },
        /// The member has no state; send it a snapshot.
        Blank,
    }
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Fails when the message can't be encoded, which points to a fault in the program.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| {
            error::Error::damaged(format!("message of the log: {e}"), "report this fault")
        })
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a message of this version.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        postcard::from_bytes(bytes).map_err(|e| {
            error::Error::damaged(
                format!("message of the log: {e}"),
                "run one version everywhere",
            )
        })
    }
}

/// What must be written to disk, all of it in one go and in order of `number`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Confirmed by [`Input::Persisted`] with the same number.
    pub number: u64,
    /// A snapshot, to be written first; entries that it covers may go.
    pub snapshot: Option<sync::Arc<Snapshot>>,
    /// Whether the snapshot replaces all entries, also later ones.
    pub reset: bool,
    /// The new term and vote.
    pub hard: Option<HardState>,
    /// Entries; one at an index that exists replaces it and all that follow.
    pub entries: Vec<Entry>,
}

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Message(Message),
    /// All batches up to this number are on disk.
    Persisted(u64),
    /// A command to commit, with a number that its outcome carries.
    Propose {
        /// The caller's number of the request.
        request: u64,
        /// The encoded command.
        command: Vec<u8>,
    },
    /// A read that must see all commits so far, with a number that its outcome carries.
    Read {
        /// The caller's number of the request.
        request: u64,
    },
    /// A change of the members.
    ChangeMembers {
        /// The caller's number of the request.
        request: u64,
        /// The change.
        change: members::MemberChange,
    },
    /// The encoded state after the applied entry at `index`; earlier entries may go.
    Compact {
        /// The last applied entry that the state covers.
        index: id::LogIndex,
        /// The encoded state.
        data: Vec<u8>,
    },
}

/// What a replica wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(Message),
    /// Write to disk, then confirm.
    Persist(Batch),
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state by a snapshot.
    Restore(sync::Arc<Snapshot>),
    /// The request stands in the log at this position; it counts once that is applied.
    Proposed {
        /// The caller's number of the request.
        request: u64,
        /// Where it stands.
        at: Position,
    },
    /// The read may be answered from the applied state.
    ReadReady {
        /// The caller's number of the request.
        request: u64,
    },
    /// The request was not taken in, since this member does not lead or the change is not allowed.
    Refused {
        /// The caller's number of the request.
        request: u64,
        /// Why.
        reason: Refusal,
    },
}

macros::data! {copy
    /// Why a request was not taken in.
    pub enum Refusal {
        /// This member does not lead.
        NotLeader,
        /// Another change of the members is under way, or the leader is too new.
        Busy,
        /// The change would have no effect, or leave too few live voters to commit anything.
        Invalid,
    }
}
