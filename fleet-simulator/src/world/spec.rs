//! Description of a world, as given in an experiment file. Every key has a default; unknown keys are
//! rejected.
use super::draw::{Shape, Span};
use serde::{Deserialize, Serialize};

/// A world: size, load and behaviour of all parts.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Number of gateways.
    pub gateways: u32,
    /// Number of hosts at the start of a run.
    pub hosts: u32,
    /// Names of the zones. Hosts and gateways are assigned to the zones in turn.
    pub zones: Vec<String>,
    /// Work offered by first tries, as a share of the capacity of all hosts. Ignored if `rate_per_s` is set.
    pub load: f64,
    /// First tries per second.
    pub rate_per_s: Option<f64>,
    /// Share of the clients in the first zone; evenly distributed if absent.
    pub first_zone_share: Option<f64>,
    /// Share of the hosts in the first zone; evenly distributed if absent.
    pub first_zone_hosts: Option<f64>,
    /// Amplitude of a slow sine wave of the rate, as a share of the mean.
    pub swing: f64,
    /// Period of the sine wave, in seconds.
    pub swing_s: f64,
    /// Number of distinct keys, which follow Zipf's law.
    pub keys: u32,
    /// Exponent of Zipf's law; 0 for uniform keys.
    pub key_zipf: f64,
    /// Worth of a message beyond the tenant's quota, as a share of the usual worth.
    pub over_quota_worth: f64,
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Named tenants.
    pub tenants: Vec<Tenant>,
    /// Number of additional unnamed tenants, which share `crowd_share` of the traffic by Zipf's law.
    pub crowd_tenants: u32,
    /// Share of the traffic that the unnamed tenants send.
    pub crowd_share: f64,
    /// Kinds of hosts.
    pub kinds: Vec<Kind>,
    /// Behaviour of clients.
    pub clients: Clients,
    /// Front-end balancer between clients and gateways.
    pub front: Front,
    /// Network.
    pub network: Network,
    /// Discovery.
    pub discovery: Discovery,
    /// Settings of the gateways.
    pub gateway: Gateway,
}

impl Default for World {
    fn default() -> Self {
        World {
            gateways: 3,
            hosts: 12,
            zones: vec!["north".into(), "south".into()],
            load: 0.6,
            rate_per_s: None,
            first_zone_share: None,
            first_zone_hosts: None,
            swing: 0.0,
            swing_s: 20.0,
            keys: 1000,
            key_zipf: 0.8,
            over_quota_worth: 0.1,
            classes: vec![
                Class { name: "read".into(), part: 0.78, worth: 5.0, ..Class::default() },
                Class {
                    name: "book".into(),
                    part: 0.22,
                    worth: 15.0,
                    aim_ms: 800.0,
                    deadline_ms: 2000.0,
                    effect: Effect::Keyed,
                    window_ms: 1200.0,
                    ..Class::default()
                },
            ],
            tenants: vec![
                Tenant { name: "large".into(), part: 0.5, ..Tenant::default() },
                Tenant { name: "middle".into(), part: 0.35, ..Tenant::default() },
                Tenant { name: "small".into(), part: 0.15, ..Tenant::default() },
            ],
            crowd_tenants: 0,
            crowd_share: 0.0,
            kinds: vec![Kind::default()],
            clients: Clients::default(),
            front: Front::default(),
            network: Network::default(),
            discovery: Discovery::default(),
            gateway: Gateway::default(),
        }
    }
}

/// How far a message may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Any number of times.
    #[default]
    Safe,
    /// Within the deduplication window, in which all hosts drop repeats.
    Keyed,
    /// Only if no earlier attempt may have run.
    Unsafe,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Weight of the class in the traffic, relative to the other classes.
    pub part: f64,
    /// Mean work on a standard core.
    pub work_ms: f64,
    /// Distribution of the work over messages.
    pub work: Shape,
    /// Coefficient of variation of the work between attempts of one message.
    pub attempt_noise: f64,
    /// Mean time that a host waits on other systems, without using a core.
    pub wait_ms: f64,
    /// Distribution of the waiting time over messages.
    pub wait: Shape,
    /// Latency objective: a response within this time earns the full worth.
    pub aim_ms: f64,
    /// Total time that a client waits for a message.
    pub deadline_ms: f64,
    /// Worth of a response within the latency objective.
    pub worth: f64,
    /// Share of the worth that a response after the latency objective still earns.
    pub late_worth: f64,
    /// How far messages may be repeated.
    pub effect: Effect,
    /// Deduplication window of hosts; used for keyed classes only.
    pub window_ms: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            name: "read".into(),
            part: 1.0,
            work_ms: 50.0,
            work: Shape::Lognormal { cv: 1.5 },
            attempt_noise: 0.2,
            wait_ms: 120.0,
            wait: Shape::Lognormal { cv: 0.5 },
            aim_ms: 1200.0,
            deadline_ms: 5000.0,
            worth: 1.0,
            late_worth: 0.2,
            effect: Effect::Safe,
            window_ms: 0.0,
        }
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Weight of the tenant in the traffic, relative to the other tenants.
    pub part: f64,
    /// Quota, as a share of the messages that all hosts can serve; 0 for none.
    pub quota: f64,
}

impl Default for Tenant {
    fn default() -> Self {
        Tenant { name: "tenant".into(), part: 1.0, quota: 0.0 }
    }
}

/// A kind of hosts.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind.
    pub name: String,
    /// Weight of the kind in the fleet, relative to the other kinds.
    pub part: f64,
    /// Number of cores.
    pub cores: u32,
    /// Speed of a core; 1 is standard.
    pub speed: Span,
    /// Number of attempts that a host processes concurrently.
    pub slots: Span,
    /// Number of further attempts that a host queues; attempts beyond that are rejected.
    pub room: Span,
    /// Slow start of a host that has just started.
    pub cold: Cold,
    /// Slowdown of an overloaded host.
    pub crowding: Option<Crowding>,
    /// Pauses, in which the host does no work.
    pub pause: Option<Pause>,
    /// Connections.
    pub connections: Connections,
    /// Cache of keys.
    pub memory: Option<Memory>,
    /// Load reports.
    pub report: Report,
    /// Share of the attempts that end with a server error.
    pub error_part: Span,
    /// Whether a host drops a queued attempt that the gateway has given up.
    pub cancel_stops_waiting: bool,
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            name: "host".into(),
            part: 1.0,
            cores: 1,
            speed: Span::Range([0.8, 1.2]),
            slots: Span::Range([12.0, 20.0]),
            room: Span::Range([10.0, 16.0]),
            cold: Cold::default(),
            crowding: None,
            pause: None,
            connections: Connections::default(),
            memory: None,
            report: Report::default(),
            error_part: Span::Fixed(0.0),
            cancel_stops_waiting: false,
        }
    }
}

/// Condition by which a cold host gains capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WarmBy {
    /// Time: capacity rises linearly.
    #[default]
    Time,
    /// Work done, but no slower than linearly with time.
    Work,
}

/// Slow start of a host, and the overload that brings a cold host down.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cold {
    /// Share of the capacity that the host starts with.
    pub share: Span,
    /// Time after which the host is warm at the latest.
    pub warm_ms: Span,
    /// Condition by which the host gains capacity.
    pub by: WarmBy,
    /// The host goes down when sent more than this multiple of its current capacity within `fall_ms`; 0 for
    /// never.
    pub fall_multiple: f64,
    /// Window over which received work is compared with the capacity.
    pub fall_ms: f64,
}

impl Default for Cold {
    fn default() -> Self {
        Cold {
            share: Span::Range([0.3, 0.6]),
            warm_ms: Span::Range([4000.0, 9000.0]),
            by: WarmBy::Work,
            fall_multiple: 3.0,
            fall_ms: 3000.0,
        }
    }
}

/// Slowdown of a host that holds far more attempts than it has cores.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Crowding {
    /// Attempts per core above which the host counts as overloaded; attempts that wait on other systems do
    /// not count.
    pub at: f64,
    /// Time of overload after which the host slows down.
    pub over_ms: f64,
    /// Factor by which the host is slower.
    pub slower: f64,
    /// Utilization of the cores below which the host recovers.
    pub below: f64,
    /// Window over which the utilization is measured.
    pub rest_ms: f64,
    /// Longest time that the host stays slow.
    pub most_ms: f64,
}

impl Default for Crowding {
    fn default() -> Self {
        Crowding { at: 5.0, over_ms: 2000.0, slower: 3.0, below: 0.35, rest_ms: 3000.0, most_ms: 25_000.0 }
    }
}

/// Random pauses of a host.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pause {
    /// Mean time between two pauses.
    pub every_ms: f64,
    /// Mean length of a pause.
    pub length_ms: f64,
}

impl Default for Pause {
    fn default() -> Self {
        Pause { every_ms: 6000.0, length_ms: 30.0 }
    }
}

/// Connections of a host.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Connections {
    /// Largest number of connections that a host accepts.
    pub most: u32,
    /// Work that a handshake costs the host.
    pub handshake_ms: f64,
    /// Round trips until a new connection is established.
    pub round_trips: u32,
    /// Time after which an idle connection is closed.
    pub idle_ms: f64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { most: 800, handshake_ms: 1.4, round_trips: 1, idle_ms: 30_000.0 }
    }
}

/// Cache of keys at a host, which saves work on repeated keys.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Memory {
    /// Number of cached keys.
    pub keys: u32,
    /// Time after which a cached key expires.
    pub keep_ms: f64,
    /// Share of the work that a cached key saves.
    pub saves: f64,
}

impl Default for Memory {
    fn default() -> Self {
        Memory { keys: 40, keep_ms: 15_000.0, saves: 0.65 }
    }
}

/// Load reports of a host, which are attached to responses.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Report {
    /// Whether the host sends load reports.
    pub on: bool,
    /// Interval between two measurements.
    pub period_ms: f64,
    /// Age of a measurement before responses carry it.
    pub delay_ms: f64,
    /// Coefficient of variation of the measurement noise.
    pub noise: f64,
    /// Whether reports contain the number of queued attempts.
    pub backlog: bool,
}

impl Default for Report {
    fn default() -> Self {
        Report { on: true, period_ms: 150.0, delay_ms: 100.0, noise: 0.1, backlog: false }
    }
}

/// Backoff of clients between two tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackOff {
    /// No backoff.
    None,
    /// Constant backoff.
    #[default]
    Fixed,
    /// Exponential backoff with full jitter.
    Exponential,
}

/// Behaviour of clients.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Number of retries after the first try.
    pub retries: u32,
    /// Client timeout of a try as a share of the deadline; the last try gets the rest of the deadline.
    pub try_share: f64,
    /// Backoff between two tries.
    pub back_off: BackOff,
    /// Length of a fixed backoff, or base of an exponential one.
    pub back_off_ms: f64,
    /// Share of the clients that honour Retry-After.
    pub heed: f64,
    /// Largest Retry-After that these clients honour.
    pub heed_most_ms: f64,
    /// Share of the clients that disconnect early.
    pub leave: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 3,
            try_share: 0.5,
            back_off: BackOff::Fixed,
            back_off_ms: 100.0,
            heed: 0.3,
            heed_most_ms: 2000.0,
            leave: 0.03,
        }
    }
}

/// Front-end balancer, which distributes clients over the gateways of their zone.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Front {
    /// Time until the front end detects a dead gateway.
    pub notice_ms: f64,
}

impl Default for Front {
    fn default() -> Self {
        Front { notice_ms: 2000.0 }
    }
}

/// One-way latencies of the network.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Mean latency within a zone.
    pub same_ms: f64,
    /// Mean latency between zones.
    pub cross_ms: f64,
    /// Mean latency between clients and gateways.
    pub client_ms: f64,
    /// Coefficient of variation of the latencies.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { same_ms: 0.2, cross_ms: 1.0, client_ms: 0.7, jitter: 0.15 }
    }
}

/// Behaviour of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Whether gateways have to call discovery to be notified of changes; otherwise every gateway is
    /// notified.
    pub ask: bool,
    /// Time until discovery observes the start, drain or end of a host's process.
    pub notice_ms: f64,
    /// Time until discovery observes that a host is unreachable.
    pub silent_notice_ms: f64,
    /// Interval at which changes are published.
    pub period_ms: f64,
    /// Largest delay of a notification after the publication; the delays are uniformly distributed.
    pub spread_ms: f64,
    /// Number of calls that discovery handles concurrently.
    pub capacity: u32,
    /// Time that discovery takes to handle a call.
    pub call_ms: f64,
    /// Longest time that a call may queue before it fails.
    pub timeout_ms: f64,
    /// Number of changes kept; a gateway that is further behind receives the complete list.
    pub history: u32,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            ask: true,
            notice_ms: 1500.0,
            silent_notice_ms: 8000.0,
            period_ms: 500.0,
            spread_ms: 300.0,
            capacity: 4,
            call_ms: 20.0,
            timeout_ms: 3000.0,
            history: 1000,
        }
    }
}

/// Settings of the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Gateway {
    /// Largest number of attempts per try.
    pub max_attempts: u32,
    /// Time after which an unfinished dial fails.
    pub dial_timeout_ms: f64,
    /// Whether a gateway may cancel an attempt.
    pub may_cancel: bool,
    /// Shortest time between two timers of the balancer.
    pub tick_ms: f64,
    /// Grace period after a gateway is notified of a host's drain or removal; sending to the host afterwards
    /// is a violation.
    pub drain_grace_ms: f64,
    /// Longest time between two calls to discovery by a gateway without a subscription.
    pub ask_within_ms: f64,
    /// Time after the client's timeout within which a gateway must have answered.
    pub slack_ms: f64,
    /// Coefficient of variation of the error of listed weights. Negative if the list gives no weights.
    pub size_noise: f64,
}

impl Default for Gateway {
    fn default() -> Self {
        Gateway {
            max_attempts: 3,
            dial_timeout_ms: 250.0,
            may_cancel: true,
            tick_ms: 5.0,
            drain_grace_ms: 2000.0,
            ask_within_ms: 10_000.0,
            slack_ms: 20.0,
            size_noise: 0.2,
        }
    }
}

/// Checks the value of a key; the error names the key and the expected value.
pub(crate) fn ensure(ok: bool, key: impl Into<String>, expected: &str) -> Result<(), String> {
    if ok {
        Ok(())
    } else {
        Err(format!("{}: {expected}", key.into()))
    }
}

fn check_span(span: Span, key: String, least: f64) -> Result<(), String> {
    let (low, high) = span.bounds();
    ensure(
        low.is_finite() && high.is_finite() && low >= least && low <= high,
        key,
        &format!("expected a number of at least {least}, or a range [low, high] of such numbers"),
    )
}

impl World {
    /// Checks the values of all keys.
    ///
    /// # Errors
    ///
    /// Names the first invalid key by its path, and what was expected.
    pub fn check(&self) -> Result<(), String> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let at_least_0 = |x: f64| x.is_finite() && x >= 0.0;
        ensure(self.gateways >= 1 && self.gateways <= 10_000, "gateways", "expected 1 to 10000")?;
        ensure(self.hosts >= 1 && self.hosts <= 100_000, "hosts", "expected 1 to 100000")?;
        ensure(!self.zones.is_empty(), "zones", "expected at least one name")?;
        ensure(positive(self.load), "load", "expected a number above 0")?;
        ensure(self.rate_per_s.is_none_or(positive), "rate_per_s", "expected a number above 0")?;
        ensure(self.first_zone_share.is_none_or(share), "first_zone_share", "expected 0 to 1")?;
        ensure(self.first_zone_hosts.is_none_or(share), "first_zone_hosts", "expected 0 to 1")?;
        ensure((0.0..1.0).contains(&self.swing), "swing", "expected 0 or more, and under 1")?;
        ensure(positive(self.swing_s), "swing_s", "expected a number above 0")?;
        ensure(self.keys >= 1, "keys", "expected 1 or more")?;
        ensure(at_least_0(self.key_zipf), "key_zipf", "expected 0 or more")?;
        ensure(share(self.over_quota_worth), "over_quota_worth", "expected 0 to 1")?;
        ensure(!self.classes.is_empty(), "classes", "expected at least one")?;
        for (n, c) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes[{n}].{name}");
            ensure(positive(c.part), key("part"), "expected a number above 0")?;
            ensure(positive(c.work_ms), key("work_ms"), "expected a number above 0")?;
            for (name, shape) in [("work", c.work), ("wait", c.wait)] {
                if let Some(problem) = shape.problem() {
                    return Err(format!("{}: {problem}", key(name)));
                }
            }
            ensure(at_least_0(c.attempt_noise), key("attempt_noise"), "expected 0 or more")?;
            ensure(at_least_0(c.wait_ms), key("wait_ms"), "expected 0 or more")?;
            ensure(positive(c.aim_ms), key("aim_ms"), "expected a number above 0")?;
            ensure(
                positive(c.deadline_ms) && c.deadline_ms >= c.aim_ms,
                key("deadline_ms"),
                "expected aim_ms or more",
            )?;
            ensure(positive(c.worth), key("worth"), "expected a number above 0")?;
            ensure(share(c.late_worth), key("late_worth"), "expected 0 to 1")?;
            ensure(at_least_0(c.window_ms), key("window_ms"), "expected 0 or more")?;
        }
        ensure(
            self.tenants.len() + self.crowd_tenants as usize > 0,
            "tenants",
            "expected at least one, or crowd_tenants",
        )?;
        for (n, t) in self.tenants.iter().enumerate() {
            ensure(positive(t.part), format!("tenants[{n}].part"), "expected a number above 0")?;
            ensure(at_least_0(t.quota), format!("tenants[{n}].quota"), "expected 0 or more")?;
        }
        ensure(share(self.crowd_share), "crowd_share", "expected 0 to 1")?;
        ensure(
            (self.crowd_share > 0.0) == (self.crowd_tenants > 0),
            "crowd_share",
            "expected above 0 if and only if crowd_tenants is",
        )?;
        ensure(!self.kinds.is_empty(), "kinds", "expected at least one")?;
        for (n, kind) in self.kinds.iter().enumerate() {
            kind.check(&format!("kinds[{n}]"))?;
        }
        let c = &self.clients;
        ensure(c.retries <= 100, "clients.retries", "expected 0 to 100")?;
        ensure(c.try_share > 0.0 && c.try_share <= 1.0, "clients.try_share", "expected above 0, at most 1")?;
        ensure(at_least_0(c.back_off_ms), "clients.back_off_ms", "expected 0 or more")?;
        ensure(share(c.heed), "clients.heed", "expected 0 to 1")?;
        ensure(at_least_0(c.heed_most_ms), "clients.heed_most_ms", "expected 0 or more")?;
        ensure(share(c.leave), "clients.leave", "expected 0 to 1")?;
        ensure(at_least_0(self.front.notice_ms), "front.notice_ms", "expected 0 or more")?;
        let n = &self.network;
        for (name, x) in [("same_ms", n.same_ms), ("cross_ms", n.cross_ms), ("client_ms", n.client_ms)] {
            ensure(at_least_0(x), format!("network.{name}"), "expected 0 or more")?;
        }
        ensure(at_least_0(n.jitter), "network.jitter", "expected 0 or more")?;
        let d = &self.discovery;
        for (name, x) in [("notice_ms", d.notice_ms), ("silent_notice_ms", d.silent_notice_ms)] {
            ensure(at_least_0(x), format!("discovery.{name}"), "expected 0 or more")?;
        }
        ensure(at_least_0(d.spread_ms), "discovery.spread_ms", "expected 0 or more")?;
        ensure(d.period_ms >= 1.0, "discovery.period_ms", "expected 1 or more")?;
        ensure(d.capacity >= 1, "discovery.capacity", "expected 1 or more")?;
        ensure(at_least_0(d.call_ms), "discovery.call_ms", "expected 0 or more")?;
        ensure(positive(d.timeout_ms), "discovery.timeout_ms", "expected a number above 0")?;
        let g = &self.gateway;
        ensure(g.max_attempts >= 1, "gateway.max_attempts", "expected 1 or more")?;
        ensure(positive(g.dial_timeout_ms), "gateway.dial_timeout_ms", "expected a number above 0")?;
        ensure(positive(g.tick_ms), "gateway.tick_ms", "expected a number above 0")?;
        ensure(at_least_0(g.drain_grace_ms), "gateway.drain_grace_ms", "expected 0 or more")?;
        ensure(positive(g.ask_within_ms), "gateway.ask_within_ms", "expected a number above 0")?;
        ensure(at_least_0(g.slack_ms), "gateway.slack_ms", "expected 0 or more")?;
        ensure(g.size_noise.is_finite(), "gateway.size_noise", "expected a number")
    }
}

impl Kind {
    fn check(&self, path: &str) -> Result<(), String> {
        let key = |name: &str| format!("{path}.{name}");
        let positive = |x: f64| x.is_finite() && x > 0.0;
        ensure(positive(self.part), key("part"), "expected a number above 0")?;
        ensure(self.cores >= 1, key("cores"), "expected 1 or more")?;
        check_span(self.speed, key("speed"), 1e-6)?;
        check_span(self.slots, key("slots"), 1.0)?;
        check_span(self.room, key("room"), 0.0)?;
        check_span(self.error_part, key("error_part"), 0.0)?;
        ensure(self.error_part.bounds().1 <= 1.0, key("error_part"), "expected 0 to 1")?;
        check_span(self.cold.share, key("cold.share"), 1e-3)?;
        ensure(self.cold.share.bounds().1 <= 1.0, key("cold.share"), "expected at most 1")?;
        check_span(self.cold.warm_ms, key("cold.warm_ms"), 0.0)?;
        ensure(self.cold.fall_multiple >= 0.0, key("cold.fall_multiple"), "expected 0 or more")?;
        ensure(positive(self.cold.fall_ms), key("cold.fall_ms"), "expected a number above 0")?;
        if let Some(c) = self.crowding {
            ensure(positive(c.at), key("crowding.at"), "expected a number above 0")?;
            ensure(c.slower >= 1.0, key("crowding.slower"), "expected 1 or more")?;
            ensure(c.below > 0.0 && c.below < 1.0, key("crowding.below"), "expected between 0 and 1")?;
            for (name, x) in [("over_ms", c.over_ms), ("rest_ms", c.rest_ms), ("most_ms", c.most_ms)] {
                ensure(positive(x), key(&format!("crowding.{name}")), "expected a number above 0")?;
            }
        }
        if let Some(p) = self.pause {
            ensure(positive(p.every_ms), key("pause.every_ms"), "expected a number above 0")?;
            ensure(p.length_ms >= 0.0, key("pause.length_ms"), "expected 0 or more")?;
        }
        let c = &self.connections;
        ensure(c.most >= 1, key("connections.most"), "expected 1 or more")?;
        ensure(c.handshake_ms >= 0.0, key("connections.handshake_ms"), "expected 0 or more")?;
        ensure(positive(c.idle_ms), key("connections.idle_ms"), "expected a number above 0")?;
        if let Some(m) = self.memory {
            ensure(m.keys >= 1, key("memory.keys"), "expected 1 or more")?;
            ensure(m.keep_ms >= 0.0, key("memory.keep_ms"), "expected 0 or more")?;
            ensure((0.0..1.0).contains(&m.saves), key("memory.saves"), "expected 0 or more, and under 1")?;
        }
        ensure(self.report.period_ms >= 1.0, key("report.period_ms"), "expected 1 or more")?;
        ensure(self.report.delay_ms >= 0.0, key("report.delay_ms"), "expected 0 or more")?;
        ensure(self.report.noise >= 0.0, key("report.noise"), "expected 0 or more")
    }
}
