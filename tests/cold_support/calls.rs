//! Requests, their calls to servers and the questions for permits.

use buckthorncleat::clock::Millis;
use buckthorncleat::document::ServiceId;
use buckthorncleat::fleet::permit::{ASK_TIMEOUT, Answer, Ask};
use buckthorncleat::id::BackendServerId;
use buckthorncleat::router::balancer::{Outcome, Pick};
use buckthorncleat::router::permits::{Permit, Verdict};
use rand::Rng as _;

use super::{Call, Event, Fleet, Start, is_within, one_request};

impl Fleet {
    /// A caller's request; the next one comes at random.
    pub(super) fn request(&mut self, router: usize) {
        let pause = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / self.plan.demand;
        let at = self.now + pause.round() as u64;
        let mut next = self.rng.random_range(0..self.routers.len());
        while is_within(&self.plan.freezes, next, at).is_some() {
            next = self.rng.random_range(0..self.routers.len());
        }
        self.schedule(at, Event::Request(next));
        self.requests += 1;
        let now = self.router_time(router);
        let random = self.rng.random();
        let state = &mut self.routers[router];
        let service: ServiceId = "app".parse().unwrap();
        let picked = state.balancer.pick_plain(now, &service, &[], random);
        let mut limited = state.balancer.limited_plain(now, &service, &[]);
        if let Ok(pick) = &picked {
            // As `router::limited` does.
            limited.retain(|p| state.balancer.is_open(now, &p.id));
            let (permits, routers) = (&state.permits, state.routers);
            match limited
                .iter()
                .find(|p| permits.needs_refresh(now, &p.id, routers))
            {
                Some(due) => limited = vec![due.clone()],
                None => limited.retain(|p| p.utilisation_percent <= pick.utilisation_percent),
            }
        }
        let picked = picked.ok();
        let wait = Millis::new(if picked.is_some() { 0 } else { 400 });
        if limited.is_empty() {
            self.send_picked(router, picked);
            return;
        }
        let ids: Vec<BackendServerId> = limited.iter().map(|p| p.id.clone()).collect();
        let state = &mut self.routers[router];
        if let Some((server, permit)) = state.permits.take_spare(now, now + wait, &ids) {
            self.send_with(router, &limited, &server, Some(permit));
            return;
        }
        let askable = state.permits.askable(now + wait, &ids);
        if askable.is_empty() {
            self.send_picked(router, picked);
            return;
        }
        limited.retain(|p| askable.contains(&p.id));
        self.ask(router, now, wait, limited, picked);
    }

    pub(super) fn send_picked(&mut self, router: usize, picked: Option<Pick>) {
        if let Some(pick) = picked {
            self.begin(router, 1, pick, 3);
        }
    }

    pub(super) fn send_with(
        &mut self,
        router: usize,
        limited: &[Pick],
        server: &BackendServerId,
        permit: Option<Permit>,
    ) {
        let now = self.router_time(router);
        let pick = limited
            .iter()
            .find(|p| p.id == *server)
            .expect("one of these");
        let wait = permit.map_or(Millis::ZERO, |p| p.from - now).as_u64();
        let connect = self.rng.random_range(1..5);
        let pick = Pick {
            permit,
            ..pick.clone()
        };
        self.begin(router, wait + connect, pick, 1);
    }

    pub(super) fn begin(&mut self, router: usize, delay: u64, pick: Pick, calls: u32) {
        let state = &mut self.routers[router];
        state.balancer.add_load(&pick.id, one_request());
        let incarnation = state.incarnation;
        let call = Call {
            pick,
            calls,
            incarnation,
            arrived_at: 0,
        };
        self.after(delay, Event::Send(router, call));
    }

    pub(super) fn ask(
        &mut self,
        router: usize,
        now: Millis,
        wait: Millis,
        limited: Vec<Pick>,
        picked: Option<Pick>,
    ) {
        self.number += 1;
        self.asks.push(self.now);
        let number = self.number;
        let ids: Vec<BackendServerId> = limited.iter().map(|p| p.id.clone()).collect();
        let state = &mut self.routers[router];
        let begun = state.permits.begin_ask(now, &ids);
        let ask = Ask {
            number: begun.number,
            lost: begun.lost,
            news: state.balancer.limit_news_of(now, &ids),
            servers: ids,
            sent_at: state.sent_at(now),
            earliest: Millis::ZERO,
            latest: wait,
            refuses: picked.is_none(),
            calls: begun.calls,
            refused: begun.refused,
        };
        state
            .asks
            .push((number, begun.number, now, limited, picked));
        let leader = state.leader.map(|(leader, ..)| leader);
        let timeout = ASK_TIMEOUT.as_u64();
        self.after(timeout, Event::AnswerToAsk(router, number, None));
        let delay = self.transit(router);
        if let (Some(leader), Some(delay)) = (leader, delay) {
            self.after(
                delay,
                Event::AskAtLeader(router, leader, number, Box::new(ask)),
            );
        }
    }

    pub(super) fn answer(&mut self, router: usize, number: u64, answer: Option<Answer>) {
        let now = self.router_time(router);
        let state = &mut self.routers[router];
        let Some(position) = state.asks.iter().position(|(n, ..)| *n == number) else {
            return;
        };
        let (_, ask_number, sent_at, limited, picked) = state.asks.remove(position);
        let ids: Vec<BackendServerId> = limited.iter().map(|p| p.id.clone()).collect();
        let Some(answer) = answer else {
            state.permits.fail(now, ask_number, &ids);
            return self.send_picked(router, picked);
        };
        match state.permits.apply(now, sent_at, &ids, answer) {
            Verdict::Granted { server, permit } => {
                self.send_with(router, &limited, &server, Some(permit));
            }
            Verdict::Unlimited { server } => {
                state.balancer.end_limit(sent_at, &server);
                self.send_with(router, &limited, &server, None);
            }
            Verdict::Denied(_) => self.send_picked(router, picked),
        }
    }

    /// Sends a call if its server needs no permit or it has a valid one.
    pub(super) fn send(&mut self, router: usize, call: Call) {
        let now = self.router_time(router);
        let state = &self.routers[router];
        let is_limited = state.balancer.is_limited(now, &call.pick.id);
        let has_permit = call.pick.permit.is_some_and(|p| p.is_valid(now));
        if state.incarnation != call.incarnation || is_limited && !has_permit {
            self.handle(Event::Ended(router, call, Outcome::Neutral));
            return;
        }
        let transit = self.rng.random_range(1..4);
        self.after(transit, Event::Arrive(router, call, now));
    }

    pub(super) fn arrive(&mut self, router: usize, call: Call, sent_at: Millis) {
        let now = self.now;
        let is_running = |s: &Start| s.id == call.pick.id && (s.at..s.up_until).contains(&now);
        let mut starts = self.starts.iter_mut().enumerate();
        let running = starts.find_map(|(server, starts)| {
            let start = starts.iter_mut().find(|s| is_running(s));
            start.map(|s| (server, s))
        });
        let Some((server, start)) = running else {
            self.after(2, Event::Ended(router, call, Outcome::ConnectFailed));
            return;
        };
        start.arrivals.push(now);
        let head = self.rng.random_range(5..30);
        if call.calls > 1 {
            let calls = call.calls - 1;
            self.after(head, Event::Send(router, Call { calls, ..call }));
            return;
        }
        let end = now + head + self.rng.random_range(0..self.plan.longest);
        let call = Call {
            arrived_at: now,
            ..call
        };
        self.after(head, Event::Answered(router, call, sent_at, server, end));
    }
}
