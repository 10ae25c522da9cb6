//! What a balancer remembers, and how events reach the decisions, which are all in `src/balance.rs`.
use crate::balance::*;
use crate::interface::*;
use oorandom::Rand64;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub listed: Member,
    pub weight: Option<f64>, // The design's: smoothed reported throughput over utilisation, a second.
    pub nominal: f64,        // The greatest weight that a live list gave it.
    pub crowd: f64,          // What all gateways have there, by what may be: by live weights or backlog.
    pub capacity: Option<f64>, // The same without the floor: an idle server must not look small.
    pub last_report: Report,
    pub out: u32, // Own attempts out there, and the rate at which they were sent.
    pub sent: Rate,
    pub quiet_since: f64,            // With work out: since when nothing has been heard.
    pub heard_at: f64,               // When an attempt was last answered.
    pub fail: (f64, f64), // Part of the attempts that it left unanswered, and when that last changed.
    pub errors: Vec<(f64, f64)>, // The same for its answers that were errors, by class.
    pub squeeze: f64,     // Part of the bound in use: falls with late answers, recovers with good ones.
    pub ejected: Option<(f64, f64)>, // While ejected: the next trial's time, and the wait if that fails.
    pub proven: bool,     // Has served, or was listed at the start.
    pub unlisted: Option<f64>, // Kept though the list no longer has it: since when.
    pub last_start: f64,  // As last told; 0 for long ago.
    pub other_start: f64, // The start told before that one.
    pub young_since: f64, // Counts as cold from here on, as listed or as seen by a return from silence.
    pub next_send: f64,   // Where sends are paced: the next one's time.
    pub next_probe: f64,
}

impl Server {
    /// Takes in a start as told; it, if it is another one than those told before. Clocks that are stepped may tell a later
    /// start by an earlier time. Guards against answers of discovery that take turns: neither of two is new again.
    pub fn learn_start(&mut self, told: f64) -> Option<f64> {
        let new = told > 0.0 && told != self.last_start && told != self.other_start;
        if new {
            (self.other_start, self.last_start) = (self.last_start, told);
        }
        new.then_some(told)
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub home: (u32, u32), // Zone and cell, as a keyed repeat must stay inside its group.
    pub sent_at: f64,
    pub out: bool,
    pub may_have_run: bool, // False once an outcome has proved that it never ran.
}

#[derive(Debug)]
pub(crate) struct Request {
    pub class: usize,
    pub tenant: Option<usize>,
    pub useful: f64, // When an answer stops being worth anything.
    pub end: f64,    // When the client leaves, or as useful where late answers earn nothing.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// The first attempt that may have run.
    pub fn ran(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run)
    }
}

/// The servers, which of them take work in the own zone and in the others, and which are in use.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub servers: BTreeMap<ServerId, Server>,
    pub rows: [Vec<ServerId>; 2], // In an order that all gateways share.
    pub used: [Vec<ServerId>; 2],
}

impl Fleet {
    /// Lists anew which servers take work.
    pub fn index(&mut self, zone: u32) {
        for side in 0..2 {
            let ours = |s: &Server| {
                s.listed.readiness == Readiness::Active && (s.listed.zone != zone) == (side == 1)
            };
            let mut row: Vec<_> = self.servers.iter().filter(|(_, s)| ours(s)).collect();
            row.sort_by_key(|(id, s)| (s.listed.place, **id));
            self.rows[side] = row.into_iter().map(|(id, _)| *id).collect();
            let row = &self.rows[side];
            self.used[side].retain(|id| row.contains(id));
        }
    }

    /// How many servers take work.
    pub fn size(&self) -> usize {
        self.rows[0].len() + self.rows[1].len()
    }

    /// The servers in use.
    pub fn active(&self) -> impl Iterator<Item = &Server> {
        self.used.iter().flatten().filter_map(|id| self.servers.get(id))
    }

    /// The mean of a value over the servers in use that have it.
    pub fn mean(&self, value: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        self.mean_of(self.used.iter().flatten(), value)
    }

    /// The mean of a value over those of some servers that have it.
    pub fn mean_of<'a>(
        &self, ids: impl Iterator<Item = &'a ServerId>, value: impl Fn(&Server) -> Option<f64>,
    ) -> Option<f64> {
        let known = ids.filter_map(|id| value(self.servers.get(id)?));
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }
}

/// Decides for one gateway. See the crate's front page for its use.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rand64,
    pub(crate) tenants: Vec<Rate>,
    pub(crate) fleet: Fleet,
    pub(crate) drawn: f64,  // Draws made so far.
    pub(crate) share: f64,  // The part of a server's work that one of its users sends it.
    pub(crate) probes: f64, // Probes that may be sent now.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) latency: Vec<f64>,     // Smoothed latency of each class's answers.
    pub(crate) faults: Vec<[f64; 2]>, // Parts that failed, and that stalled: by tenant, by class, of all.
    pub(crate) retries: f64,
    pub(crate) wake_at: f64, // When the next timer is due.
    pub(crate) trust: f64,   // TRUST once anything tells of crowds.
    pub(crate) spill: f64,   // The part of the requests that goes to other zones, as last learnt.
    pub(crate) spill_at: f64,
    pub(crate) follows: bool, // A list has come since the warm copy.
    pub(crate) watch_at: Option<f64>,
    pub(crate) refused: [u32; 4], // Since the last line, by cause.
    pub(crate) logged_at: f64,
    pub(crate) usual: Vec<(f64, f64)>, // The usual patience of a try, and the votes for it, by tenant and class.
    pub(crate) even: f64,              // An even part: 1 / gateways.
    pub(crate) fraction: f64,          // This gateway's part of the fleet's traffic.
    pub(crate) aim: f64,               // The shortest aim.
    pub(crate) has_safe: bool,         // Some class may be repeated at will: it gives the half-open trials.
}

impl Balancer {
    /// A balancer that knows nothing yet; the settings are checked first.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let latency = settings.classes.iter().map(|c| c.aim_ms / 3.0).collect();
        Ok(Balancer {
            rng: Rand64::new(u128::from(seed)),
            tenants: vec![Rate::default(); settings.tenants.len()],
            fleet: Fleet::default(),
            drawn: 0.0,
            share: 1.0 / f64::from(settings.instances),
            probes: RETRY_BURST,
            requests: BTreeMap::new(),
            held: Vec::new(),
            latency,
            faults: vec![[0.0; 2]; settings.tenants.len() + settings.classes.len() + 1],
            retries: RETRY_BURST,
            wake_at: f64::INFINITY,
            trust: if settings.live_weights { TRUST } else { 0.0 },
            spill: FIRST_SPILL,
            spill_at: 0.0,
            follows: false,
            watch_at: None,
            refused: [0; 4],
            logged_at: 0.0,
            even: 1.0 / f64::from(settings.instances),
            fraction: 1.0 / f64::from(settings.instances),
            usual: vec![(0.0, 0.0); settings.classes.len() * (settings.tenants.len() + 1)],
            aim: settings.classes.iter().map(|c| c.aim_ms).fold(f64::INFINITY, f64::min),
            has_safe: settings.classes.iter().any(|c| c.effect == Effect::Safe),
            settings,
        })
    }

    /// Whether the balancer still remembers a server.
    pub fn knows(&self, server: ServerId) -> bool {
        self.fleet.servers.contains_key(&server)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.on_list(now, kind, members, actions),
            Event::Request(arrival) => self.on_request(now, arrival, actions),
            Event::Begun { .. } => {} // The attempt is the client's now; its end comes as complete.
            Event::AttemptEnd(end) => {
                self.on_report(end.server, end.report);
                self.on_server_news(now, &end);
                self.on_attempt_end(now, &end, actions);
                self.release_held(now, actions);
            }
            Event::Gone { request } => self.on_gone(request, actions),
            Event::Probed { server, report, .. } => self.on_report(server, report),
            Event::Timer { .. } => self.on_wake(now, actions),
        }
        self.log(now, actions);
        let slow = if self.may_probe() { 20.0 } else { f64::INFINITY };
        let wake = now + (if self.held.is_empty() { slow } else { 1.0 }) * WAKE_MS.max(self.settings.tick_ms);
        let wake = wake.min(self.watch_at.unwrap_or(wake));
        if wake < self.wake_at {
            self.wake_at = wake;
            actions.push(Action::Timer { at: wake, token: 0 });
        }
    }

    /// One line every LOG_MS in which something was refused, with what a reader needs to tell why.
    fn log(&mut self, now: f64, actions: &mut Vec<Action>) {
        let [limit, room, late, failed] = self.refused;
        if now - self.logged_at < LOG_MS || limit + room + late + failed == 0 {
            return;
        }
        let ejected = self.fleet.active().filter(|s| s.ejected.is_some()).count();
        let (fill, fraction, held, spill) = (self.fill(now), self.fraction, self.held.len(), self.spill);
        actions.push(Action::Log(format!(
            "refused: {limit} over limit, {room} no room, {late} too late, {failed} failed; fill {fill:.2}, \
             fraction {fraction:.4}, spill {spill:.2}, held {held}, ejected {ejected}"
        )));
        (self.refused, self.logged_at) = ([0; 4], now);
    }
}
