//! Dispatch of received messages after checks of receiver, group and term.

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::follower;
use crate::replica::core::message;

use message::Body;

impl core::Replica {
    pub(super) fn receive(&mut self, now: clock::Millis, message: message::Message) {
        let me = &self.settings.node;
        if message.to.instance != me.instance || message.from == *me {
            return;
        }
        if let Body::JoinRequest { address } = message.body {
            if self.accepts_group(message.group) {
                let is_in_group = message.group != id::Incarnation::default();
                self.handle_join_request(now, &message.from, address, is_in_group);
            }
            return;
        }
        if message.to != *me {
            return;
        }
        let group = self.joined.as_ref().map(|j| j.group);
        match group {
            None => self.receive_before_joining(now, message),
            Some(group) if group == message.group => self.receive_joined(now, message),
            Some(_) => (),
        }
    }

    pub(super) fn receive_joined(&mut self, now: clock::Millis, message: message::Message) {
        let message::Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVoteRequest { last } => {
                self.handle_pre_vote_request(now, &from, term, last);
                return;
            }
            Body::PreVoteResponse { granted: true } => {
                self.count_pre_vote(now, from, term);
                return;
            }
            // Voters that search for a leader ask each other. The answers must not end an election.
            Body::JoinResponse { leader, .. } => {
                if let Some(leader) = leader {
                    self.record_named_leader(leader);
                }
                return;
            }
            Body::PreVoteResponse { granted: false } => {
                self.record_pre_vote_refusal(from.clone());
            }
            // While a leader is active, a vote request does not raise the term.
            Body::VoteRequest { .. }
                if term > self.hard_state.term && self.has_leader_contact(now) =>
            {
                return;
            }
            _ => (),
        }
        if term > self.hard_state.term {
            self.enter_term(now, term);
        }
        let current = term == self.hard_state.term;
        match body {
            Body::VoteRequest { last } => self.handle_vote_request(now, &from, current, last),
            Body::VoteResponse { granted } if current => self.count_vote(now, from, granted),
            Body::AppendRequest { .. } | Body::SnapshotChunk { .. } if !current => {
                self.reject_outdated_leader(&from)
            }
            Body::AppendRequest {
                previous,
                entries,
                committed,
                round,
            } => {
                self.record_leader_contact(now, &from);
                self.handle_append_request(&from, previous, entries, committed, round);
            }
            Body::SnapshotChunk {
                metadata,
                offset,
                total,
                data,
                round,
            } => {
                self.record_leader_contact(now, &from);
                let chunk = follower::Chunk {
                    metadata,
                    offset,
                    total,
                    data,
                };
                self.handle_chunk(&from, chunk, round);
            }
            Body::AppendResponse { round, outcome } if current => {
                self.handle_append_response(now, &from, round, outcome);
            }
            Body::SnapshotChunkResponse { at, offset, round } if current => {
                self.handle_chunk_response(now, &from, at, offset, round);
            }
            _ => (),
        }
    }
}
