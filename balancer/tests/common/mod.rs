//! A small deployment and short ways to speak to a balancer.
#![allow(dead_code)]

use ternstack_balancer::*;

pub fn class(effect: Effect) -> Class {
    Class {
        name: format!("{effect:?}"),
        aim_ms: 200.0,
        deadline_ms: 600.0,
        late_value: 0.0,
        effect,
        group: Group::Cell,
        window_ms: 300.0,
    }
}

/// Classes 0, 1, 2 are safe, keyed by cell, and unsafe; one tenant with 20 requests a second.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        tenants: vec![Tenant { name: "one".into(), quota_per_s: 20.0 }],
        instances: 1,
        me: 0,
        zone: 0,
        tick_ms: 5.0,
        live_weights: false,
        cross_price: 0.0,
        idle_ms: 60_000.0,
        reports: Reports::Inline,
        ask_discovery: false,
        max_attempts: 4,
        may_probe: false,
        may_cancel: true,
        max_retry_after_ms: 1000.0,
        ask_within_ms: 10_000.0,
        cold_share: 0.1,
        cold_ms: 20_000.0,
        tip_multiple: 4.0,
        removal_not_binding: false,
        nines: 0.0,
        top_nines: None,
    }
}

pub fn member(n: u32) -> Member {
    Member { server: ServerId(n), cell: n / 2, ..Member::default() }
}

pub fn report(throughput: f64, utilization: f64) -> Report {
    Report { throughput: Some(throughput), utilization: Some(utilization), backlog: None }
}

/// A balancer with its clock.
pub struct Bench {
    pub balancer: Balancer,
    pub now: f64,
    next: u64,
}

impl Bench {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let seed = 7 + u64::from(settings.me);
        let balancer = Balancer::new(settings, seed).expect("the settings are sound");
        let mut bench = Bench { balancer, now: 1000.0, next: 0 };
        bench.list(ListKind::WarmCopy, (0..servers).map(member).collect());
        bench
    }

    pub fn take(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: ListKind, members: Vec<Member>) -> Vec<Action> {
        self.take(Event::List { kind, members })
    }

    pub fn request(&mut self, class: usize, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next);
        self.next += 1;
        let arrival = Arrival { request, class, tenant, patience_ms: 600.0 };
        (request, self.take(Event::Request(arrival)))
    }

    pub fn end(
        &mut self, request: RequestId, attempt: u32, server: ServerId, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_with(request, attempt, server, outcome, 20.0, Report::default())
    }

    pub fn end_with(
        &mut self, request: RequestId, attempt: u32, server: ServerId, outcome: Outcome, latency_ms: f64,
        report: Report,
    ) -> Vec<Action> {
        let complete = outcome == Outcome::Served;
        self.take(Event::AttemptEnd(AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            latency_ms,
            complete,
            report,
        }))
    }

    /// A request served at once wherever it goes, with a report for its server.
    pub fn serve(&mut self, reports: &dyn Fn(ServerId) -> Report) -> Option<ServerId> {
        let (request, actions) = self.request(0, None);
        let server = sent(&actions)?;
        self.end_with(request, 0, server, Outcome::Served, 20.0, reports(server));
        Some(server)
    }

    /// How long it takes, from what was just done, until discovery is asked; that must be within `most_ms`.
    pub fn asked_after(&mut self, mut actions: Vec<Action>, most_ms: f64) -> f64 {
        let from = self.now;
        while !actions.contains(&Action::Watch) {
            assert!(self.now - from < most_ms, "asked well within the time allowed");
            actions = self.wake(10.0);
        }
        self.now - from
    }

    pub fn wake(&mut self, after_ms: f64) -> Vec<Action> {
        self.now += after_ms;
        self.take(Event::Timer { token: 0 })
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

pub fn refused(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|a| {
        if let Action::Refuse { retry_after_ms, .. } = a {
            Some(*retry_after_ms)
        } else {
            None
        }
    })
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
