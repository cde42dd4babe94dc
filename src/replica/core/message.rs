//! Messages between replicas, and the inputs and outputs of a replica.

use std::net;
use std::sync;

use crate::error;
use crate::id;
use crate::macros;
use crate::peer::trailer;
use crate::replica::core;
use crate::replica::core::members;

macros::data! {key
    /// One incarnation of a member: an instance with one data folder.
    pub struct NodeId {
        pub instance: id::InstanceId,
        /// The incarnation of the data folder; zero where it is unknown.
        pub incarnation: id::Incarnation,
    }
}

macros::data! {copy
    /// An index in the log and the term of the entry there.
    #[derive(Default)]
    pub struct Position {
        /// Zero before the first entry.
        pub index: id::LogIndex,
        pub term: id::Term,
    }
}

macros::data! {
    pub struct Entry {
        /// Its index, and the term of the leader that created it.
        pub at: Position,
        pub payload: Payload,
    }
}

macros::data! {
    /// The content of a log entry.
    pub enum Payload {
        /// A new leader's first entry; committing it commits all entries before it.
        Empty,
        /// An encoded command of the state machine.
        Command(Vec<u8>),
        /// The membership from this entry on, also before the entry is committed.
        Members(members::Membership),
    }
}

macros::data! {
    /// Raft's persistent term and vote. They are synced before a vote is sent or counted.
    #[derive(Default)]
    pub struct HardState {
        pub term: id::Term,
        /// The candidate that received this member's vote in the term.
        pub vote: Option<NodeId>,
    }
}

macros::data! {
    pub struct SnapshotMetadata {
        /// The id of the group, drawn at random when the group was formed.
        pub group: id::Incarnation,
        /// The last entry that the snapshot includes.
        pub at: Position,
        /// The membership at that entry.
        pub members: members::Membership,
    }
}

macros::data! {
    pub struct Snapshot {
        pub metadata: SnapshotMetadata,
        /// The encoded state machine; empty for the state before the first entry.
        pub data: Vec<u8>,
    }
}

macros::data! {
    pub struct Message {
        /// The group of the sender; zero when it has not joined one.
        pub group: id::Incarnation,
        pub from: NodeId,
        /// The receiver. Only a join request may name another incarnation of it; others are
        /// dropped.
        pub to: NodeId,
        /// The sender's term; in a pre-vote request and its granted response, the term that the
        /// candidate would enter.
        pub term: id::Term,
        pub body: Body,
    }
}

macros::data! {
    /// The content of a [`Message`].
    pub enum Body {
        /// Asks to be admitted. Sent by a node that has no group, or no contact with a leader. A
        /// voter asks only after a long search, since it may have been removed; where it is still a
        /// voter, the request changes nothing.
        JoinRequest {
            /// The address of the sender.
            address: net::SocketAddr,
        },
        /// The response to [`Body::JoinRequest`].
        JoinResponse {
            /// Whether the responding node belongs to a group.
            formed: bool,
            /// The leader to ask next, if the responding node knows one.
            leader: Option<core::Peer>,
        },
        /// A snapshot for an initial voter that does not know yet that its group was formed.
        GroupFormed(Box<Snapshot>),
        /// Asks whether the receiver would vote for the sender; neither changes its term.
        PreVoteRequest {
            /// The last position of the candidate's log.
            last: Position,
        },
        /// The response to [`Body::PreVoteRequest`].
        PreVoteResponse {
            granted: bool,
        },
        VoteRequest {
            /// The last position of the candidate's log.
            last: Position,
        },
        /// The response to [`Body::VoteRequest`].
        VoteResponse {
            granted: bool,
        },
        /// Log entries, or a heartbeat when there are none.
        AppendRequest {
            /// The position just before the first entry.
            previous: Position,
            entries: Vec<Entry>,
            /// The leader's commit index.
            committed: id::LogIndex,
            /// The number of the leader's current heartbeat round.
            round: u64,
        },
        /// The response to [`Body::AppendRequest`], and to the [`Body::SnapshotChunk`] that
        /// completes a snapshot.
        AppendResponse {
            /// The round of the message that this responds to.
            round: u64,
            outcome: AppendOutcome,
        },
        /// One chunk of a snapshot.
        SnapshotChunk {
            metadata: SnapshotMetadata,
            /// The number of snapshot bytes before this chunk.
            offset: u64,
            /// The size of the whole snapshot in bytes.
            total: u64,
            data: Vec<u8>,
            /// The number of the leader's current heartbeat round.
            round: u64,
        },
        /// The response to a [`Body::SnapshotChunk`] that does not complete the snapshot.
        SnapshotChunkResponse {
            /// The last position that the snapshot includes.
            at: Position,
            /// The number of snapshot bytes that the receiver has.
            offset: u64,
            /// The round of the message that this responds to.
            round: u64,
        },
    }
}

macros::data! {copy
    /// The result of a [`Body::AppendRequest`] at a member.
    pub enum AppendOutcome {
        /// The member's log is synced and equals the leader's up to this index.
        Matched(id::LogIndex),
        /// The member's log does not contain the position before the entries.
        Conflict {
            /// The index just before the refused entries.
            refused: id::LogIndex,
            /// The index after which the leader continues to look for the common prefix.
            retry: id::LogIndex,
        },
        /// The member has no log yet and needs a snapshot.
        NeedsSnapshot,
    }
}

impl Message {
    /// Encodes the message with postcard, and the protocol version of this build after it.
    ///
    /// # Errors
    ///
    /// Fails when the message can't be encoded, which indicates a bug.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        trailer::Trailer::new().append_to(self)
    }

    /// Decodes a message and the protocol version of its sender.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a message that this build can read.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<(Self, trailer::ProtocolVersion)> {
        let (message, trailer) = trailer::Trailer::split(bytes)?;
        Ok((message, trailer.version))
    }
}

/// One write to disk. Batches are written in the order of `number`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The number that [`Input::Persisted`] confirms.
    pub number: u64,
    /// A snapshot, written before the rest. Entries that it includes may be removed afterwards.
    pub snapshot: Option<sync::Arc<Snapshot>>,
    /// Whether the snapshot replaces all entries, including those after its position.
    pub reset: bool,
    /// The new term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries to append. An entry at an existing index replaces that one and all later ones.
    pub entries: Vec<Entry>,
}

/// An input of [`core::Replica::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; due timers are handled.
    Tick,
    Message(Message),
    /// All batches up to this number are on disk.
    Persisted(u64),
    /// A command to commit.
    Propose {
        /// The caller's number of the request, repeated in its output.
        request: u64,
        command: Vec<u8>,
    },
    /// A linearizable read: it must see all entries committed so far.
    Read {
        /// The caller's number of the request, repeated in its output.
        request: u64,
    },
    ChangeMembers {
        /// The caller's number of the request, repeated in its output.
        request: u64,
        change: members::MemberChange,
    },
    /// A snapshot of the state machine after the entry at `index`; earlier entries may be removed.
    Compact {
        /// The last applied entry that the state includes.
        index: id::LogIndex,
        data: Vec<u8>,
    },
}

/// An action that the caller of [`core::Replica::step`] performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Message),
    /// Write a batch to disk, then confirm it with [`Input::Persisted`].
    Persist(Batch),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine by a snapshot.
    Restore(sync::Arc<Snapshot>),
    /// The request is in the log at this position. It is committed once the entry of this index
    /// and term is applied; an entry of another term has replaced it.
    Proposed {
        /// The caller's number of the request, repeated in its output.
        request: u64,
        at: Position,
    },
    /// The read may be served from the applied state.
    ReadReady {
        /// The caller's number of the request, repeated in its output.
        request: u64,
    },
    /// The request was not accepted.
    Refused {
        /// The caller's number of the request, repeated in its output.
        request: u64,
        reason: Refusal,
    },
}

macros::data! {copy
    /// The reason why a request was not accepted.
    pub enum Refusal {
        /// This member is not the leader, or lost the leadership before a read was confirmed.
        NotLeader,
        /// Another membership change is in progress, or the leader has not committed an entry of
        /// its term yet.
        Busy,
        /// The change would have no effect, or leave no quorum of active voters.
        Invalid,
    }
}
