//! The only place of this test that names the balancer's interface: plain inputs in, plain outputs out.

use ternstack_balancer::{
    Action, Arrival, AttemptEnd, Balancer, Cause, Class, Effect, Event, Group, ListKind, Member, Outcome,
    Readiness, Report, Reports, RequestId, ServerId, Settings, Tenant,
};

/// A request class of a plan.
#[derive(Clone, Debug)]
pub struct PlanClass {
    pub objective_ms: f64,
    pub deadline_ms: f64,
    pub late_value: f64,
    /// 0 idempotent, 1 idempotent by key, 2 not idempotent.
    pub idempotency: u8,
    /// Where repeats of a key are dropped: 0 everywhere, 1 in the zone, 2 in the cell.
    pub scope: u8,
    pub window_ms: f64,
}

/// The settings of one stream.
#[derive(Clone, Debug)]
pub struct Plan {
    pub classes: Vec<PlanClass>,
    pub quotas_per_s: Vec<f64>,
    pub gateway_count: u32,
    pub gateway_index: u32,
    pub zone: u32,
    pub tick_ms: f64,
    pub live_weights: bool,
    pub cross_zone_price: f64,
    pub idle_ms: f64,
    /// 0 with every answer, 1 with probes, 2 none.
    pub reports: u8,
    pub polls: bool,
    pub max_attempts: u32,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub max_retry_after_ms: f64,
    pub ask_within_ms: f64,
    pub cold_share: f64,
    pub cold_ms: f64,
    pub tip_multiple: f64,
    pub removal_not_binding: bool,
    pub nines: f64,
    pub top_nines: Option<f64>,
}

/// How an attempt ended, numbered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    ServerError,
    Rejected,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    Cancelled,
    NotSent,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub utilization: Option<f64>,
    pub throughput: Option<f64>,
    pub backlog: Option<f64>,
}

/// An entry of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub endpoint: u32,
    pub zone: u32,
    pub cell: u32,
    pub place: u64,
    pub weight: f64,
    /// 0 active, 1 draining, 2 gone.
    pub readiness: u8,
    pub started_at_ms: f64,
}

/// What is handed to the balancer.
#[derive(Clone, Debug)]
pub enum Input {
    /// `kind`: 0 changes, 1 complete, 2 cached, 3 watch lost.
    List {
        kind: u8,
        entries: Vec<Entry>,
    },
    Arrival {
        request: u64,
        class: usize,
        tenant: Option<usize>,
        timeout_ms: f64,
    },
    Begun {
        request: u64,
    },
    AttemptEnd {
        request: u64,
        attempt: u32,
        endpoint: u32,
        end: End,
        latency_ms: f64,
        complete: bool,
        load: Load,
    },
    Disconnected {
        request: u64,
    },
    ProbeEnd {
        endpoint: u32,
        end: End,
        load: Load,
    },
    Timer {
        token: u64,
    },
}

/// What the balancer asks for.
#[derive(Clone, Debug)]
pub enum Output {
    Send {
        request: u64,
        endpoint: u32,
        until_ms: f64,
    },
    Cancel {
        request: u64,
        attempt: u32,
    },
    /// `reason`: 0 over the quota, 1 no capacity, 2 too late, 3 failed.
    Reject {
        request: u64,
        reason: u8,
        retry_after_ms: f64,
    },
    Fail {
        request: u64,
    },
    Timer {
        at_ms: f64,
        token: u64,
    },
    Probe {
        endpoint: u32,
    },
    Watch,
    Log,
}

/// The balancer under test.
pub struct Subject {
    balancer: Balancer,
}

impl Subject {
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let balancer = Balancer::new(settings(plan), seed).expect("the plan's settings are sound");
        Subject { balancer }
    }

    pub fn handle(&mut self, now_ms: f64, input: &Input) -> Vec<Output> {
        let mut actions = Vec::new();
        self.balancer.handle(now_ms, event(input), &mut actions);
        actions.iter().map(output).collect()
    }

    pub fn knows(&self, endpoint: u32) -> bool {
        self.balancer.knows(ServerId(endpoint))
    }
}

fn settings(plan: &Plan) -> Settings {
    let class = |class: &PlanClass| Class {
        name: "class".into(),
        aim_ms: class.objective_ms,
        deadline_ms: class.deadline_ms,
        late_value: class.late_value,
        effect: [Effect::Safe, Effect::Keyed, Effect::Unsafe][usize::from(class.idempotency)],
        group: [Group::All, Group::Zone, Group::Cell][usize::from(class.scope)],
        window_ms: class.window_ms,
    };
    let tenant = |quota: &f64| Tenant { name: "tenant".into(), quota_per_s: *quota };
    Settings {
        classes: plan.classes.iter().map(class).collect(),
        tenants: plan.quotas_per_s.iter().map(tenant).collect(),
        instances: plan.gateway_count,
        me: plan.gateway_index,
        zone: plan.zone,
        tick_ms: plan.tick_ms,
        live_weights: plan.live_weights,
        cross_price: plan.cross_zone_price,
        idle_ms: plan.idle_ms,
        reports: [Reports::Inline, Reports::OnProbe, Reports::Off][usize::from(plan.reports)],
        ask_discovery: plan.polls,
        max_attempts: plan.max_attempts,
        may_probe: plan.may_probe,
        may_cancel: plan.may_cancel,
        max_retry_after_ms: plan.max_retry_after_ms,
        ask_within_ms: plan.ask_within_ms,
        cold_share: plan.cold_share,
        cold_ms: plan.cold_ms,
        tip_multiple: plan.tip_multiple,
        removal_not_binding: plan.removal_not_binding,
        nines: plan.nines,
        top_nines: plan.top_nines,
    }
}

fn event(input: &Input) -> Event {
    match input {
        Input::List { kind, entries } => Event::List {
            kind: [ListKind::Changes, ListKind::Whole, ListKind::WarmCopy, ListKind::Lost]
                [usize::from(*kind)],
            members: entries.iter().map(member).collect(),
        },
        Input::Arrival { request, class, tenant, timeout_ms } => Event::Request(Arrival {
            request: RequestId(*request),
            class: *class,
            tenant: *tenant,
            patience_ms: *timeout_ms,
        }),
        Input::Begun { request } => Event::Begun { request: RequestId(*request) },
        Input::AttemptEnd { request, attempt, endpoint, end, latency_ms, complete, load } => {
            Event::AttemptEnd(AttemptEnd {
                request: RequestId(*request),
                attempt: *attempt,
                server: ServerId(*endpoint),
                outcome: outcome(*end),
                latency_ms: *latency_ms,
                complete: *complete,
                report: report(load),
            })
        }
        Input::Disconnected { request } => Event::Gone { request: RequestId(*request) },
        Input::ProbeEnd { endpoint, end, load } => {
            Event::Probed { server: ServerId(*endpoint), outcome: outcome(*end), report: report(load) }
        }
        Input::Timer { token } => Event::Timer { token: *token },
    }
}

fn member(entry: &Entry) -> Member {
    Member {
        server: ServerId(entry.endpoint),
        zone: entry.zone,
        cell: entry.cell,
        place: entry.place,
        weight: entry.weight,
        readiness: [Readiness::Active, Readiness::Leaving, Readiness::Left][usize::from(entry.readiness)],
        started_at: entry.started_at_ms,
    }
}

fn report(load: &Load) -> Report {
    Report { utilization: load.utilization, throughput: load.throughput, backlog: load.backlog }
}

fn outcome(end: End) -> Outcome {
    match end {
        End::Served => Outcome::Served,
        End::ServerError => Outcome::ServerError,
        End::Rejected => Outcome::TurnedAway,
        End::NoAnswer => Outcome::NoAnswer,
        End::NoConnection => Outcome::NoConnection,
        End::ConnectionLost => Outcome::ConnectionLost,
        End::Cancelled => Outcome::CalledOff,
        End::NotSent => Outcome::NotSent,
    }
}

fn output(action: &Action) -> Output {
    match action {
        Action::Send { request, server, until } => {
            Output::Send { request: request.0, endpoint: server.0, until_ms: *until }
        }
        Action::Cancel { request, attempt } => Output::Cancel { request: request.0, attempt: *attempt },
        Action::Refuse { request, cause, retry_after_ms } => {
            let reason = match cause {
                Cause::OverLimit => 0,
                Cause::NoRoom => 1,
                Cause::TooLate => 2,
                Cause::Failed => 3,
            };
            Output::Reject { request: request.0, reason, retry_after_ms: *retry_after_ms }
        }
        Action::Fail { request } => Output::Fail { request: request.0 },
        Action::Timer { at, token } => Output::Timer { at_ms: *at, token: *token },
        Action::Probe { server } => Output::Probe { endpoint: server.0 },
        Action::Watch => Output::Watch,
        Action::Log(_) => Output::Log,
    }
}
