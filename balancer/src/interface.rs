//! What goes into and comes out of a [`Balancer`](crate::Balancer): settings, ids, events and actions.
//!
//! Times are milliseconds on the gateway's own clock, which may start anywhere and only moves forward.

use std::fmt;

/// A request, as numbered by the gateway. An id is used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server, as numbered by the gateway. It stays the same when the server's process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// How far a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key: the servers of one group drop repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which servers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those in the zone of the server that may have run it.
    Zone,
    /// Those in the cell of the server that may have run it.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, for log lines only.
    pub name: String,
    /// An answer within this time earns the full worth.
    pub aim_ms: f64,
    /// How long a client waits in all.
    pub deadline_ms: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// How far it may be repeated.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub group: Group,
    /// For keyed classes: for how long, from sending the first attempt that may have run.
    pub window_ms: f64,
}

impl Class {
    /// Whether a client may be told that trying again is harmless, given that an attempt may have run.
    pub fn may_refuse(&self, may_have_run: bool) -> bool {
        let dropped = self.effect == Effect::Keyed && self.group == Group::All;
        !may_have_run || self.effect == Effect::Safe || dropped
    }
}

/// A tenant and its fleet-wide quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for log lines only.
    pub name: String,
    /// Requests a second over all gateways; 0 or less means no limit.
    pub quota_per_s: f64,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With every answer and probe result.
    Inline,
    /// With probe results only.
    OnProbe,
    /// Not at all.
    Off,
}

/// What [`Balancer::new`](crate::Balancer::new) needs to know of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of gateways, this one included.
    pub instances: u32,
    /// Number of this gateway among them, from 0.
    pub me: u32,
    /// Zone of this gateway, in the gateway's own numbering.
    pub zone: u32,
    /// Shortest time between two batches of events.
    pub tick_ms: f64,
    /// The list's weights are sizes divided by 1 + requests held a core.
    pub live_weights: bool,
    /// Price of an attempt that crosses zones, in parts of the worth of a request.
    pub cross_price: f64,
    /// An idle connection closes after this.
    pub idle_ms: f64,
    /// How load reports arrive.
    pub reports: Reports,
    /// The server list must be asked for.
    pub ask_discovery: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Probes are permitted.
    pub may_probe: bool,
    /// Cancelling an attempt is permitted.
    pub may_cancel: bool,
    /// Longest retry-after that clients heed; 0 where they take none.
    pub max_retry_after_ms: f64,
    /// A subscription, or a question, must be at most this old.
    pub ask_within_ms: f64,
    /// A server starts with this share of its capacity or more.
    pub cold_share: f64,
    /// A server is warm after this.
    pub cold_ms: f64,
    /// A cold server falls over when sent more than this multiple of what it can do at that moment.
    pub tip_multiple: f64,
    /// Only a drain that the list has shown binds: a server called gone without one may still be sent to.
    pub removal_not_binding: bool,
    /// Weight of the nines in the site's result: how many tenfold steps the unserved share lies below all.
    pub nines: f64,
    /// The nines that earn that weight in full, where the site gives them.
    pub top_nines: Option<f64>,
}

/// A setting that cannot be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting.
    pub setting: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Tells the first setting that cannot be worked with.
    pub fn check(&self) -> Result<(), SettingsError> {
        let need =
            |ok: bool, setting, problem| if ok { Ok(()) } else { Err(SettingsError { setting, problem }) };
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let share = |x: f64| (0.0..=1.0).contains(&x);
        need(!self.classes.is_empty(), "classes", "at least one is needed")?;
        for class in &self.classes {
            need(positive(class.aim_ms), "classes.aim_ms", "must be above 0")?;
            need(positive(class.deadline_ms), "classes.deadline_ms", "must be above 0")?;
            need(share(class.late_value), "classes.late_value", "must be from 0 to 1")?;
            need(class.window_ms >= 0.0, "classes.window_ms", "must be 0 or more")?;
        }
        need(
            self.tenants.iter().all(|t| !t.quota_per_s.is_nan()),
            "tenants.quota_per_s",
            "must be a number",
        )?;
        need(self.instances > 0, "instances", "must be 1 or more")?;
        need(self.cross_price >= 0.0, "cross_price", "must be 0 or more")?;
        need(self.idle_ms >= 0.0, "idle_ms", "must be 0 or more")?;
        need(positive(self.tick_ms), "tick_ms", "must be above 0")?;
        need(self.max_attempts > 0, "max_attempts", "must be 1 or more")?;
        need(self.max_retry_after_ms >= 0.0, "max_retry_after_ms", "must be 0 or more")?;
        need(positive(self.ask_within_ms), "ask_within_ms", "must be above 0")?;
        need(share(self.cold_share), "cold_share", "must be from 0 to 1")?;
        need(self.cold_ms >= 0.0, "cold_ms", "must be 0 or more")?;
        need(positive(self.tip_multiple), "tip_multiple", "must be above 0")?;
        need(self.nines >= 0.0 && self.nines.is_finite(), "nines", "must be 0 or more")?;
        need(self.top_nines.is_none_or(positive), "top_nines", "must be above 0")
    }
}

/// What the list says of a server's readiness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    #[default]
    Active,
    /// Drains: nothing new may go there.
    Leaving,
    /// Gone.
    Left,
}

/// An entry of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// The server.
    pub server: ServerId,
    /// Its zone, in the gateway's own numbering.
    pub zone: u32,
    /// Its cell, for keyed classes.
    pub cell: u32,
    /// The same number at every gateway, and another for each server, such as a hash of its name.
    pub place: u64,
    /// Its size in relation to the others; where weights are live, lowered the more requests it holds.
    pub weight: f64,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// When it last started; 0 for long ago.
    pub started_at: f64,
}

/// Kinds of news from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only changed entries.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as this gateway last had it, maybe old.
    WarmCopy,
    /// A call failed or the subscription broke; the old list stands.
    Lost,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error.
    ServerError,
    /// Rejected unseen.
    TurnedAway,
    /// No answer in time.
    NoAnswer,
    /// No connection in time.
    NoConnection,
    /// The connection broke.
    ConnectionLost,
    /// Called off.
    CalledOff,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// True if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// What a server says of its load; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Share of its CPU that is busy.
    pub utilization: Option<f64>,
    /// Requests served a second.
    pub throughput: Option<f64>,
    /// Requests waiting.
    pub backlog: Option<f64>,
}

/// A request that the gateway has taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: Option<usize>,
    /// How long the client still waits for this try.
    pub patience_ms: f64,
}

/// The end of an attempt; each sent attempt has exactly one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Where it went.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency_ms: f64,
    /// Nothing more is owed for the request.
    pub complete: bool,
    /// The load report that came along.
    pub report: Report,
}

/// Something the gateway has seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    List {
        /// What kind of news.
        kind: ListKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// A request has been taken.
    Request(Arrival),
    /// The answer of a streamed class has begun: the attempt now belongs to the client.
    Begun {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnd(AttemptEnd),
    /// Nobody waits for the request any more.
    Gone {
        /// The request.
        request: RequestId,
    },
    /// A probe has ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: Report,
    },
    /// A timer is due.
    Timer {
        /// As given with [`Action::Timer`].
        token: u64,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its tenant is over its limit.
    OverLimit,
    /// No server has room that it could use in time.
    NoRoom,
    /// It comes too late to earn anything.
    TooLate,
    /// Its attempts have failed, and there is no other to be had.
    Failed,
}

/// Something the gateway is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// When to give the attempt up.
        until: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// End the request unserved; the client may safely come again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        cause: Cause,
        /// Advice to the client; 0 for none.
        retry_after_ms: f64,
    },
    /// End the request as failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// When.
        at: f64,
        /// Comes back as given.
        token: u64,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to the server list.
    Watch,
    /// A line for the operators.
    Log(String),
}
