//! The description of a world, as an experiment's file gives it. Every key has a default, and an unknown one is
//! refused.
use super::draw::{Shape, Span};
use serde::{Deserialize, Serialize};

/// A world: how large it is, how it is loaded, and how its parts behave.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Number of gateways.
    pub gateways: u32,
    /// Number of hosts at the start.
    pub hosts: u32,
    /// Names of the zones; hosts and gateways are dealt out over them in turn.
    pub zones: Vec<String>,
    /// Offered work, first tries alone, as a part of what all hosts can do. Ignored where `rate_per_s` is set.
    pub load: f64,
    /// First tries a second, where given.
    pub rate_per_s: Option<f64>,
    /// The part of the traffic that enters in the first zone; evenly where absent.
    pub first_zone_share: Option<f64>,
    /// The part of the hosts in the first zone; evenly where absent.
    pub first_zone_hosts: Option<f64>,
    /// Slow waves of the rate: swings by this part around the mean.
    pub swing: f64,
    /// Length of such a wave, in seconds.
    pub swing_s: f64,
    /// Distinct keys, by Zipf's law.
    pub keys: u32,
    /// Exponent of that law; 0 makes all keys alike.
    pub key_zipf: f64,
    /// Worth of a message beyond its tenant's quota, as a part of the usual.
    pub over_quota_worth: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Further tenants without names, that share `crowd_share` of the traffic by Zipf's law.
    pub crowd_tenants: u32,
    /// The part of the traffic that these send.
    pub crowd_share: f64,
    /// Kinds of hosts.
    pub kinds: Vec<Kind>,
    /// What clients do.
    pub clients: Clients,
    /// The layer between clients and gateways.
    pub front: Front,
    /// The network.
    pub network: Network,
    /// Discovery.
    pub discovery: Discovery,
    /// What gateways are permitted, and told.
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
    /// Within a window: all hosts drop repeats then.
    Keyed,
    /// Never once it may have run.
    Unsafe,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the traffic, in relation to the other classes'.
    pub part: f64,
    /// Mean work on a standard core.
    pub work_ms: f64,
    /// How that work is spread over messages.
    pub work: Shape,
    /// Coefficient of variation between attempts of one message.
    pub attempt_noise: f64,
    /// Mean time that a host waits on others, without using a core.
    pub wait_ms: f64,
    /// How that time is spread over messages.
    pub wait: Shape,
    /// An answer within this time earns the full worth.
    pub aim_ms: f64,
    /// How long a client waits in all.
    pub deadline_ms: f64,
    /// Worth of a message.
    pub worth: f64,
    /// The part of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// How far it may be repeated.
    pub effect: Effect,
    /// For keyed classes: for how long hosts drop repeats.
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
    /// Its name.
    pub name: String,
    /// Its part of the traffic, in relation to the others'.
    pub part: f64,
    /// Its quota, as a part of the messages that all hosts can serve; 0 for none.
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
    /// Its name.
    pub name: String,
    /// Its part of the hosts, in relation to the other kinds'.
    pub part: f64,
    /// Cores.
    pub cores: u32,
    /// Speed of a core; 1 is standard.
    pub speed: Span,
    /// How many attempts a host works on at once.
    pub slots: Span,
    /// How many more may wait; what comes then is turned away.
    pub room: Span,
    /// Slow start, in what a host that has just started can do.
    pub cold: Cold,
    /// What crowding does.
    pub crowding: Option<Crowding>,
    /// Pauses, in which nothing is worked on.
    pub pause: Option<Pause>,
    /// Connections.
    pub connections: Connections,
    /// Memory of keys.
    pub memory: Option<Memory>,
    /// Load reports.
    pub report: Report,
    /// The part of the attempts that end as errors.
    pub error_part: Span,
    /// An attempt that is given up still waiting is not worked on.
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

/// By what a cold host warms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WarmBy {
    /// Evenly with time.
    #[default]
    Time,
    /// With the work done, but no slower than evenly with time.
    Work,
}

/// What a host can do that has just started, and what pushes it over.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cold {
    /// The part of its capacity that it starts with.
    pub share: Span,
    /// Warm after this.
    pub warm_ms: Span,
    /// By what it warms.
    pub by: WarmBy,
    /// It falls over when sent more than this multiple of what it can do at that moment, 0 for never,
    pub fall_multiple: f64,
    /// for so long.
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

/// A host that holds far more than its cores for a while turns slow, until it has rested.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Crowding {
    /// Crowded with so many attempts at hand, those that wait on others apart, a core,
    pub at: f64,
    /// for so long.
    pub over_ms: f64,
    /// It is so many times slower then,
    pub slower: f64,
    /// until its cores have been busy less than this part
    pub below: f64,
    /// of so long,
    pub rest_ms: f64,
    /// or at the latest after this.
    pub most_ms: f64,
}

impl Default for Crowding {
    fn default() -> Self {
        Crowding { at: 5.0, over_ms: 2000.0, slower: 3.0, below: 0.35, rest_ms: 3000.0, most_ms: 25_000.0 }
    }
}

/// Pauses of a host.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pause {
    /// Mean time between two.
    pub every_ms: f64,
    /// Mean length.
    pub length_ms: f64,
}

impl Default for Pause {
    fn default() -> Self {
        Pause { every_ms: 6000.0, length_ms: 30.0 }
    }
}

/// A host's connections.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Connections {
    /// How many a host accepts.
    pub most: u32,
    /// Work that a new one costs it.
    pub handshake_ms: f64,
    /// Round trips until a new one is up.
    pub round_trips: u32,
    /// Idle ones close after this.
    pub idle_ms: f64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { most: 800, handshake_ms: 1.4, round_trips: 1, idle_ms: 30_000.0 }
    }
}

/// What a host does not have to do again.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Memory {
    /// How many keys it remembers.
    pub keys: u32,
    /// For how long.
    pub keep_ms: f64,
    /// The part of the work that a key it remembers saves.
    pub saves: f64,
}

impl Default for Memory {
    fn default() -> Self {
        Memory { keys: 40, keep_ms: 15_000.0, saves: 0.65 }
    }
}

/// Load reports of a host, which come with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Report {
    /// Whether there are any.
    pub on: bool,
    /// How often the figures are taken.
    pub period_ms: f64,
    /// How old they are before anybody may see them.
    pub delay_ms: f64,
    /// Coefficient of variation of their noise.
    pub noise: f64,
    /// Whether they tell how many attempts wait.
    pub backlog: bool,
}

impl Default for Report {
    fn default() -> Self {
        Report { on: true, period_ms: 150.0, delay_ms: 100.0, noise: 0.1, backlog: false }
    }
}

/// How clients wait between two tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackOff {
    /// Not at all.
    None,
    /// Always as long.
    #[default]
    Fixed,
    /// Twice as long each time, with full jitter.
    Exponential,
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Further tries after the first.
    pub retries: u32,
    /// The part of the deadline that a try may take; the last one takes what is left.
    pub try_share: f64,
    /// How they wait between two tries.
    pub back_off: BackOff,
    /// For how long, or at first.
    pub back_off_ms: f64,
    /// The part of the clients that heeds advice when to come back.
    pub heed: f64,
    /// The longest advice that they heed.
    pub heed_most_ms: f64,
    /// The part that leaves before its time.
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

/// The front, which spreads clients over the gateways of their zone.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Front {
    /// How long it goes on sending to a dead gateway.
    pub notice_ms: f64,
}

impl Default for Front {
    fn default() -> Self {
        Front { notice_ms: 2000.0 }
    }
}

/// The network.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way inside a zone.
    pub same_ms: f64,
    /// One way between zones.
    pub cross_ms: f64,
    /// One way between clients and gateways.
    pub client_ms: f64,
    /// Coefficient of variation of these.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { same_ms: 0.2, cross_ms: 1.0, client_ms: 0.7, jitter: 0.15 }
    }
}

/// Discovery.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Whether it must be asked; else it tells by itself.
    pub ask: bool,
    /// How late it learns that a process has ended, drains, or has come.
    pub notice_ms: f64,
    /// How late it learns that a host has gone silent.
    pub silent_notice_ms: f64,
    /// How often news goes out.
    pub period_ms: f64,
    /// News reaches gateways spread over so long.
    pub spread_ms: f64,
    /// Calls it handles at once.
    pub capacity: u32,
    /// How long a call takes it.
    pub call_ms: f64,
    /// A call that waits longer fails.
    pub timeout_ms: f64,
    /// How many changes it remembers: who is further behind gets the whole list.
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

/// What gateways are permitted, and told.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Gateway {
    /// Most attempts for a message.
    pub max_attempts: u32,
    /// A connection not up by then has failed.
    pub dial_timeout_ms: f64,
    /// Whether an attempt may be given up early.
    pub may_cancel: bool,
    /// Shortest time between two looks of the module.
    pub tick_ms: f64,
    /// Nothing new to a host so long after its drain or removal was told.
    pub drain_grace_ms: f64,
    /// Discovery must have been asked so recently.
    pub ask_within_ms: f64,
    /// What an answer may come late by.
    pub slack_ms: f64,
    /// How far the list's sizes are off: coefficient of variation. Negative where it gives none.
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

/// Checks one figure; the error says what was expected.
pub(crate) fn need(ok: bool, key: impl Into<String>, wanted: &str) -> Result<(), String> {
    if ok {
        Ok(())
    } else {
        Err(format!("{}: {wanted}", key.into()))
    }
}

fn whole_span(span: Span, key: String, least: f64) -> Result<(), String> {
    let (low, high) = span.bounds();
    need(
        low.is_finite() && high.is_finite() && low >= least && low <= high,
        key,
        &format!("expected a number from {least} up, or a range [low, high] of such"),
    )
}

impl World {
    /// Tells the first key, by its path, that cannot be worked with, and what was expected.
    pub fn check(&self) -> Result<(), String> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let at_least_0 = |x: f64| x.is_finite() && x >= 0.0;
        need(self.gateways >= 1 && self.gateways <= 10_000, "gateways", "expected 1 to 10000")?;
        need(self.hosts >= 1 && self.hosts <= 100_000, "hosts", "expected 1 to 100000")?;
        need(!self.zones.is_empty(), "zones", "expected at least one name")?;
        need(positive(self.load), "load", "expected a number above 0")?;
        need(self.rate_per_s.is_none_or(positive), "rate_per_s", "expected a number above 0")?;
        need(self.first_zone_share.is_none_or(share), "first_zone_share", "expected 0 to 1")?;
        need(self.first_zone_hosts.is_none_or(share), "first_zone_hosts", "expected 0 to 1")?;
        need((0.0..1.0).contains(&self.swing), "swing", "expected 0 or more, and under 1")?;
        need(positive(self.swing_s), "swing_s", "expected a number above 0")?;
        need(self.keys >= 1, "keys", "expected 1 or more")?;
        need(at_least_0(self.key_zipf), "key_zipf", "expected 0 or more")?;
        need(share(self.over_quota_worth), "over_quota_worth", "expected 0 to 1")?;
        need(!self.classes.is_empty(), "classes", "expected at least one")?;
        for (n, c) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes[{n}].{name}");
            need(positive(c.part), key("part"), "expected a number above 0")?;
            need(positive(c.work_ms), key("work_ms"), "expected a number above 0")?;
            for (name, shape) in [("work", c.work), ("wait", c.wait)] {
                if let Some(problem) = shape.problem() {
                    return Err(format!("{}: {problem}", key(name)));
                }
            }
            need(at_least_0(c.attempt_noise), key("attempt_noise"), "expected 0 or more")?;
            need(at_least_0(c.wait_ms), key("wait_ms"), "expected 0 or more")?;
            need(positive(c.aim_ms), key("aim_ms"), "expected a number above 0")?;
            need(
                positive(c.deadline_ms) && c.deadline_ms >= c.aim_ms,
                key("deadline_ms"),
                "expected aim_ms or more",
            )?;
            need(positive(c.worth), key("worth"), "expected a number above 0")?;
            need(share(c.late_worth), key("late_worth"), "expected 0 to 1")?;
            need(at_least_0(c.window_ms), key("window_ms"), "expected 0 or more")?;
        }
        need(
            self.tenants.len() + self.crowd_tenants as usize > 0,
            "tenants",
            "expected at least one, or crowd_tenants",
        )?;
        for (n, t) in self.tenants.iter().enumerate() {
            need(positive(t.part), format!("tenants[{n}].part"), "expected a number above 0")?;
            need(at_least_0(t.quota), format!("tenants[{n}].quota"), "expected 0 or more")?;
        }
        need(share(self.crowd_share), "crowd_share", "expected 0 to 1")?;
        need(
            (self.crowd_share > 0.0) == (self.crowd_tenants > 0),
            "crowd_share",
            "expected above 0 just where crowd_tenants is",
        )?;
        need(!self.kinds.is_empty(), "kinds", "expected at least one")?;
        for (n, kind) in self.kinds.iter().enumerate() {
            kind.check(&format!("kinds[{n}]"))?;
        }
        let c = &self.clients;
        need(c.retries <= 100, "clients.retries", "expected 0 to 100")?;
        need(c.try_share > 0.0 && c.try_share <= 1.0, "clients.try_share", "expected above 0, at most 1")?;
        need(at_least_0(c.back_off_ms), "clients.back_off_ms", "expected 0 or more")?;
        need(share(c.heed), "clients.heed", "expected 0 to 1")?;
        need(at_least_0(c.heed_most_ms), "clients.heed_most_ms", "expected 0 or more")?;
        need(share(c.leave), "clients.leave", "expected 0 to 1")?;
        need(at_least_0(self.front.notice_ms), "front.notice_ms", "expected 0 or more")?;
        let n = &self.network;
        for (name, x) in [("same_ms", n.same_ms), ("cross_ms", n.cross_ms), ("client_ms", n.client_ms)] {
            need(at_least_0(x), format!("network.{name}"), "expected 0 or more")?;
        }
        need(at_least_0(n.jitter), "network.jitter", "expected 0 or more")?;
        let d = &self.discovery;
        for (name, x) in [("notice_ms", d.notice_ms), ("silent_notice_ms", d.silent_notice_ms)] {
            need(at_least_0(x), format!("discovery.{name}"), "expected 0 or more")?;
        }
        need(at_least_0(d.spread_ms), "discovery.spread_ms", "expected 0 or more")?;
        need(d.period_ms >= 1.0, "discovery.period_ms", "expected 1 or more")?;
        need(d.capacity >= 1, "discovery.capacity", "expected 1 or more")?;
        need(at_least_0(d.call_ms), "discovery.call_ms", "expected 0 or more")?;
        need(positive(d.timeout_ms), "discovery.timeout_ms", "expected a number above 0")?;
        let g = &self.gateway;
        need(g.max_attempts >= 1, "gateway.max_attempts", "expected 1 or more")?;
        need(positive(g.dial_timeout_ms), "gateway.dial_timeout_ms", "expected a number above 0")?;
        need(positive(g.tick_ms), "gateway.tick_ms", "expected a number above 0")?;
        need(at_least_0(g.drain_grace_ms), "gateway.drain_grace_ms", "expected 0 or more")?;
        need(positive(g.ask_within_ms), "gateway.ask_within_ms", "expected a number above 0")?;
        need(at_least_0(g.slack_ms), "gateway.slack_ms", "expected 0 or more")?;
        need(g.size_noise.is_finite(), "gateway.size_noise", "expected a number")
    }
}

impl Kind {
    fn check(&self, path: &str) -> Result<(), String> {
        let key = |name: &str| format!("{path}.{name}");
        let positive = |x: f64| x.is_finite() && x > 0.0;
        need(positive(self.part), key("part"), "expected a number above 0")?;
        need(self.cores >= 1, key("cores"), "expected 1 or more")?;
        whole_span(self.speed, key("speed"), 1e-6)?;
        whole_span(self.slots, key("slots"), 1.0)?;
        whole_span(self.room, key("room"), 0.0)?;
        whole_span(self.error_part, key("error_part"), 0.0)?;
        need(self.error_part.bounds().1 <= 1.0, key("error_part"), "expected 0 to 1")?;
        whole_span(self.cold.share, key("cold.share"), 1e-3)?;
        need(self.cold.share.bounds().1 <= 1.0, key("cold.share"), "expected at most 1")?;
        whole_span(self.cold.warm_ms, key("cold.warm_ms"), 0.0)?;
        need(self.cold.fall_multiple >= 0.0, key("cold.fall_multiple"), "expected 0 or more")?;
        need(positive(self.cold.fall_ms), key("cold.fall_ms"), "expected a number above 0")?;
        if let Some(c) = self.crowding {
            need(positive(c.at), key("crowding.at"), "expected a number above 0")?;
            need(c.slower >= 1.0, key("crowding.slower"), "expected 1 or more")?;
            need(c.below > 0.0 && c.below < 1.0, key("crowding.below"), "expected between 0 and 1")?;
            for (name, x) in [("over_ms", c.over_ms), ("rest_ms", c.rest_ms), ("most_ms", c.most_ms)] {
                need(positive(x), key(&format!("crowding.{name}")), "expected a number above 0")?;
            }
        }
        if let Some(p) = self.pause {
            need(positive(p.every_ms), key("pause.every_ms"), "expected a number above 0")?;
            need(p.length_ms >= 0.0, key("pause.length_ms"), "expected 0 or more")?;
        }
        let c = &self.connections;
        need(c.most >= 1, key("connections.most"), "expected 1 or more")?;
        need(c.handshake_ms >= 0.0, key("connections.handshake_ms"), "expected 0 or more")?;
        need(positive(c.idle_ms), key("connections.idle_ms"), "expected a number above 0")?;
        if let Some(m) = self.memory {
            need(m.keys >= 1, key("memory.keys"), "expected 1 or more")?;
            need(m.keep_ms >= 0.0, key("memory.keep_ms"), "expected 0 or more")?;
            need((0.0..1.0).contains(&m.saves), key("memory.saves"), "expected 0 or more, and under 1")?;
        }
        need(self.report.period_ms >= 1.0, key("report.period_ms"), "expected 1 or more")?;
        need(self.report.delay_ms >= 0.0, key("report.delay_ms"), "expected 0 or more")?;
        need(self.report.noise >= 0.0, key("report.noise"), "expected 0 or more")
    }
}
