//! Lists, reports and summaries.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::listing::List;
use buckthorncleat::fleet::message::{Report, ReportExtension, Server, ServerState, StartTime};
use buckthorncleat::fleet::permit::LeaderTime;
use buckthorncleat::id::Incarnation;
use buckthorncleat::unit::RequestsPerSecond;
use rand::Rng as _;

use super::{Content, Event, Fleet, data_centre, router_name};

impl Fleet {
    /// The leader reads the platform's list, which lags.
    pub(super) fn read_list(&mut self) {
        let pause = self.rng.random_range(500..1_100);
        self.after(pause, Event::ReadList);
        let bad_lists = if self.now < 6_000 {
            0.0
        } else {
            self.plan.bad_lists
        };
        if self.rng.random_bool(bad_lists) {
            return;
        }
        let is_partial = self.rng.random_bool(bad_lists);
        let at = self.now.saturating_sub(self.plan.list_lag);
        let (mut servers, mut cold) = (Vec::new(), Vec::new());
        for (number, starts) in self.starts.iter().enumerate() {
            if is_partial && self.rng.random_bool(0.5) {
                continue;
            }
            let Some(start) = starts.iter().rfind(|s| s.at <= at) else {
                continue;
            };
            let remaining = start.cold_until.unwrap_or_default().saturating_sub(at);
            if remaining > 0 {
                cold.push((start.id.clone(), Millis::new(remaining)));
            }
            servers.push(Server {
                id: start.id.clone(),
                service: "app".parse().unwrap(),
                address: ([10, 1, 0, number as u8], 80).into(),
                data_centre: data_centre(number),
                slots: 24,
                state: ServerState::Ready,
                stage: None,
                version: None,
                started_at: Some(StartTime::new(1 + start.at)),
            });
        }
        let leader = self.leaders.len() - 1;
        let now = self.leader_time(leader);
        let leader = &mut self.leaders[leader];
        leader.ledger.set_list(now, &servers, &cold);
        leader.list = Some(List::new(servers).unwrap());
    }

    pub(super) fn report(&mut self, router: usize) {
        let now = self.router_time(router);
        let interval = self.routers[router].report_interval;
        self.after(interval, Event::Report(router));
        let state = &mut self.routers[router];
        if state
            .leader
            .is_some_and(|(.., at)| now >= at + Millis::new(1_500))
        {
            state.leader = None;
        }
        let max_age = match state.leader {
            None => Millis::new(5_000),
            Some(_) => Millis::new(interval * 2 + 1_000),
        };
        let address = ([10, 0, (router / 250) as u8, (router % 250) as u8], 80);
        state.loads = state.balancer.loads();
        let incarnation = Incarnation::new(1 + state.incarnation);
        let report = Report {
            known: state.view.known(),
            limits: state.balancer.limit_news(now, max_age),
            loads: state.loads.clone(),
            sent_at: state.sent_at(now),
            extension: ReportExtension {
                cold: state.balancer.cold_evidence(now, max_age),
                ..ReportExtension::new()
            },
            ..Report::idle(incarnation, address.into(), data_centre(router))
        };
        let leader = state.leader.map(|(leader, ..)| leader);
        let leader = leader.unwrap_or(self.leaders.len() - 1);
        if let Some(delay) = self.transit(router) {
            let event = Event::ReportAtLeader(router, leader, now, Box::new(report));
            self.after(delay, event);
        }
    }

    pub(super) fn report_at_leader(
        &mut self,
        router: usize,
        leader: usize,
        sent_at: Millis,
        report: Report,
    ) {
        // A former leader answers reports for longer than it issues permits.
        let confirmed_until = self.leaders[leader].confirmed_until;
        if self.now >= confirmed_until.saturating_add(400) {
            self.routers[router].leader = None;
            return;
        }
        let now = self.leader_time(leader);
        let state = &mut self.leaders[leader];
        let incarnation = report.incarnation;
        let sums = state.ledger.report(now, &router_name(router), report);
        let word = state.ledger.cold_word(now, state.list.as_ref());
        let content = Box::new((incarnation, sums, word, state.list.clone()));
        if let Some(delay) = self.transit(router) {
            let event = Event::Summary(router, leader, now.as_u64(), sent_at, content);
            self.after(delay, event);
        }
    }

    pub(super) fn summary(
        &mut self,
        router: usize,
        leader: usize,
        leader_time: u64,
        sent_at: Millis,
        (incarnation, sums, word, list): Content,
    ) {
        let now = self.router_time(router);
        let term = self.leaders[leader].term;
        let state = &mut self.routers[router];
        // A router waits 350 ms for the answer.
        let is_late = now > sent_at + Millis::new(350);
        let is_stale = incarnation != Incarnation::new(1 + state.incarnation);
        if is_late || is_stale || state.leader.is_some_and(|(known, ..)| known > leader) {
            return;
        }
        let time = LeaderTime {
            term,
            at: Millis::new(leader_time),
        };
        state.leader = Some((leader, time, now));
        state.report_interval = sums.report_interval.as_u64();
        state.routers = sums.gateways;
        if let Some(list) = list {
            state.balancer.set_list(now, list.servers());
            state.list = Some(list);
        }
        state.view.apply(term, &sums.changes);
        state.balancer.set_limits(state.view.limits());
        let rate = RequestsPerSecond::new(self.plan.demand as u64);
        let rates = [("app".parse().unwrap(), rate)].into_iter().collect();
        state.balancer.set_remote_rates(rates, sums.report_interval);
        let others = state.view.loads_of_others(&state.loads);
        state.balancer.set_remote_loads(now, others);
        state.balancer.set_ejected(sums.unreachable);
        let servers = state.list.as_ref().map(List::servers).unwrap_or_default();
        state.balancer.apply_cold(sent_at, servers, word.as_ref());
    }
}
