//! Dispatch of received messages after checks of receiver, group and term.

use crate::clock;
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
        if let Body::Hello { address } = message.body {
            if self.may_share_group(message.group) {
                self.answer_hello(now, &message.from, address);
            }
            return;
        }
        if message.to != *me {
            return;
        }
        let group = self.joined.as_ref().map(|j| j.group);
        match group {
            None => self.receive_blank(now, message),
            Some(group) if group == message.group => self.receive_joined(now, message),
            Some(_) => (),
        }
    }

    pub(super) fn receive_joined(&mut self, now: clock::Millis, message: message::Message) {
        let message::Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVote { last } => {
                self.answer_pre_vote(now, &from, term, last);
                return;
            }
            Body::PreVoted { granted: true } => {
                self.count_pre_vote(now, from, term);
                return;
            }
            Body::Vote { .. } if term > self.hard.term && self.hears_leader(now) => return,
            _ => (),
        }
        if term > self.hard.term {
            self.enter_term(now, term);
        }
        let current = term == self.hard.term;
        match body {
            Body::Vote { last } => self.answer_vote(now, &from, current, last),
            Body::Voted { granted } if current => self.count_vote(now, from, granted),
            Body::Append { .. } | Body::Piece { .. } if !current => self.reject_old_leader(&from),
            Body::Append {
                previous,
                entries,
                committed,
                round,
            } => {
                self.hear_leader(now, &from);
                self.append(&from, previous, entries, committed, round);
            }
            Body::Piece {
                head,
                offset,
                total,
                data,
                round,
            } => {
                self.hear_leader(now, &from);
                let piece = follower::Piece {
                    head,
                    offset,
                    total,
                    data,
                };
                self.take_piece(&from, piece, round);
            }
            Body::Appended { round, outcome } if current => {
                self.take_appended(now, &from, round, outcome);
            }
            Body::Seen {
                leader: Some(leader),
                ..
            } => self.learn_leader(leader),
            Body::Received { at, offset, round } if current => {
                self.take_received(now, &from, at, offset, round);
            }
            _ => (),
        }
    }
}
