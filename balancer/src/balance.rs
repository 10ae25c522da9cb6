//! All decisions of the balancer. Its types, events and actions are in `src/interface.rs`.
//!
//! Reading order: tenant limiter, server health and weight, pick, request life, probes. The mechanism is
//! that of "Teaching Abusive Users a Lesson with Recent Average Rate Limiters" with a weighted random pick.
use crate::interface::*;
use crate::state::*;

const HALFLIFE_MS: f64 = 2000.0; // Of the rate estimates: past chance clusters, yet soon enough for a burst.
const UTIL_FLOOR: f64 = 0.2; // Reported utilisation counts as this at least, as the design has it.
const UTIL_SEEN: f64 = 0.03; // The least utilisation that tells a capacity apart from noise.
const UTIL_SURE: f64 = 0.5; // From this utilisation on a report tells the whole of a capacity.
const WEIGHT_FLOOR: f64 = 0.25; // A server's weight is at least this part of the mean weight.
const REPORT_GAIN: f64 = 0.3; // Part of a new report that enters a server's smoothed weight.
const LATENCY_GAIN: f64 = 0.05; // Part of a new latency that enters a class's smoothed latency.
const QUEUE_PART: f64 = 0.25; // What is out at a server may take this part of the shortest aim to drain.
const USERS: f64 = 4.0; // So many gateways share a server, lest each know many servers badly: with one
const FEW: f64 = 2.0; // request out from each of 12 a server is full. Each gateway uses so many at least.
pub(crate) const TRUST: f64 = 1.0; // A crowd that is told of counts as so many own requests.
pub(crate) const HELD_FULL: f64 = 4.0; // A server is full that holds so many requests a core.
pub(crate) const CROWD_GAIN: f64 = 0.5; // Part of a new sample that enters a server's smoothed crowd.
pub(crate) const FIRST_SPILL: f64 = 0.3; // The part that spills before the load of zones is known.
const SPILL_AIMS: f64 = 3.75; // An own zone busier by one than its target spills all after so many aims.
const SPILL: f64 = 0.6; // The own zone is preferred while a server there is filled less than this.
const BLIND_BOUND: f64 = 8.0; // What all gateways may have out at a server of which nothing is known.
const ROOM: f64 = 0.85; // A limit is not enforced while the fleet is filled less than this.
const LATE_ROOM: f64 = 0.65; // What can earn nothing is refused while the fleet is filled this much.
const FRACTION_GAIN: f64 = 0.01; // Part of a new sample that enters the smoothed fraction of the traffic.
const NOT_WARM: f64 = 0.25; // The weight of a server whose connections have closed counts this part.
const RETRY_JITTER: f64 = 0.5; // A retry-after is the limit's recovery time, times 1 to 1 + this.
const FAULT_GAIN: f64 = 0.2; // Part of a new outcome that enters the part of attempts that fail.
const TENANT_GAIN: f64 = 0.4; // The same of a tenant, of which a gateway sees little.
const STALL_PART: f64 = 0.5; // An attempt given this part of its aim that got no answer has stalled.
const STALL_SHED: f64 = 0.95; // At most so much of what stalls everywhere is refused: the rest is a trial.
const EJECT_PART: f64 = 0.45; // A server is ejected that fails so much more than the mean: three in a row.
const TRUST_AGAIN: f64 = 0.5; // The same of a served one, in the part of a class's answers that are errors.
const ERROR_PART: f64 = 0.6; // A class is left out at a server that fails so much more of it than the best.
const LEFT_OUT_LEAN: f64 = 4.0; // Its weight counts so many times for the classes that it serves.
const TRIAL_AIMS: f64 = 4.0; // A server that fails a class is tried with one of it this often.
const FAULT_AIMS: f64 = 5.0; // A part comes half as near to the mean in so many aims without outcomes.
const FAULT_POWER: i32 = 4; // Weights fall with this power of the part that does not fail.
const EJECT_AIMS: f64 = 1.25; // Until an ejected server's first trial; doubles up to MAX_EJECT_AIMS.
const MAX_EJECT_AIMS: f64 = 5.0;
const COLD_AFTER_MS: f64 = 8000.0; // A server back after so long a silence counts as cold.
const COLD_PART: f64 = 0.25; // Slow start uses this part of the multiple at which a cold server falls over.
const SILENT_AFTER: f64 = 3.0; // Typical latencies after which an attempt or a server counts as silent.
const RETRY_PART: f64 = 0.15; // Further attempts may be this part of the first ones, plus RETRY_BURST.
pub(crate) const RETRY_BURST: f64 = 10.0;
const SQUEEZE_CUT: f64 = 0.7; // A late answer or a time-out cuts a server's squeeze to this part.
const SQUEEZE_GAIN: f64 = 0.05; // A good answer gives back this.
const GOOD_PART: f64 = 0.75; // An answer within this part of its aim is good.
const SQUEEZE_FLOOR: f64 = 0.4; // When all servers are slow at once their cores must not stand idle.
const TURNS: f64 = 0.7; // A gateway late at a server lets pass this part of the turns of the others there.
const FULL_AIMS: f64 = 0.25; // A full server is left alone for this long.
pub(crate) const PROBE_MS: f64 = 1500.0; // Interval of probes to a server, where reports come by probe only.
const PROBE_PART: f64 = 0.15; // Probes may be this part of the requests, lest many gateways' load servers.
const ODD_PATIENCE: f64 = 0.05; // A patience further than this part of the deadline from the usual is odd.
const TRIES: f64 = 3.0; // So many usual waits a client has behind it at most, before its last try.
const USUAL_VOTES: f64 = 50.0; // The usual patience yields once odd ones outnumber it by so many.
pub(crate) const WAKE_MS: f64 = 10.0; // Held requests and probes are looked after this often.
pub(crate) const LOG_MS: f64 = 5000.0; // Refusals are summed up in a log line at most this often.

/// The source's estimate: N requests, taken as all having come at T, decaying with the half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    n: f64,
    t: f64,
}

impl Rate {
    const LAMBDA: f64 = std::f64::consts::LN_2 / HALFLIFE_MS;

    fn add(&mut self, now: f64) {
        self.n = 1.0 + self.n * (Self::LAMBDA * (self.t - now)).exp();
        self.t = now;
    }

    fn per_s(&self, now: f64) -> f64 {
        1000.0 * self.n * Self::LAMBDA * (Self::LAMBDA * (self.t - now)).exp()
    }
}

impl Balancer {
    // ---- tenant limiter ----

    /// This gateway's part of the fleet's traffic: its own rate over the sum of reported throughput.
    /// Learnt only while no limit binds: refusals lower the own rate, and with it the next limit, and so on.
    fn learn_fraction(&mut self, now: f64) {
        let own: f64 = self.fleet.active().map(|s| s.sent.per_s(now)).sum();
        let reported = self.fleet.mean(|s| s.last_report.throughput);
        let Some(mean) = reported.filter(|mean| *mean > 0.0) else { return };
        let fraction = (own / (mean * self.fleet.size() as f64)).clamp(self.even / 4.0, 1.0);
        self.fraction += FRACTION_GAIN * (fraction - self.fraction);
        if self.wanted() > self.fleet.used[0].len() {
            self.refill(now);
        }
    }

    /// How full the own zone is: what is out by what may be; at least 1 while requests are held.
    pub(crate) fn fill(&self, now: f64) -> f64 {
        let (mean, side) = (self.mean_capacity(), usize::from(self.fleet.used[0].is_empty()));
        let used = || self.fleet.used[side].iter().filter_map(|id| self.fleet.servers.get(id));
        let out: f64 = used().map(|s| f64::from(s.out) + self.trust * s.crowd).sum();
        let may: f64 = used().map(|s| self.bound(now, s, mean).max(1.0 - self.trust) + self.trust).sum();
        // Guards against a part of the traffic too small to show a crowd: where nothing tells of crowds,
        // the reported utilisation does. A busy fleet that keeps its times may be taken for a full one.
        let busy = (1.0 - self.trust) * self.fleet.mean(|s| s.last_report.utilization).unwrap_or(0.0);
        (out / may.max(1.0)).max(busy).max(if self.held.is_empty() { 0.0 } else { 1.0 })
    }

    /// Counts the request for its tenant; the retry-after if it is beyond the limit.
    fn over_limit(&mut self, now: f64, tenant: usize, full: bool) -> Option<f64> {
        let quota = self.settings.tenants.get(tenant)?.quota_per_s;
        self.tenants[tenant].add(now);
        let rate = self.tenants[tenant].per_s(now);
        let limit = quota * self.fraction;
        // While there is room, refusing gains nothing: a limit binds only in a full fleet.
        if !full {
            self.learn_fraction(now);
        }
        // Guards against shutting a bursting tenant out of its own share: of what comes, that part is let in.
        if quota <= 0.0 || rate <= limit || !full || self.rng.rand_float() < limit / rate {
            return None;
        }
        let recovery = (rate / limit).ln() / Rate::LAMBDA;
        Some(recovery * (1.0 + RETRY_JITTER * self.rng.rand_float()))
    }

    // ---- server health and weight ----

    fn mean_capacity(&self) -> f64 {
        self.fleet.mean(|s| s.capacity).unwrap_or(0.0)
    }

    /// How busy the servers of the own zone (side 0) or of the others are.
    fn busy(&self, side: usize) -> Option<f64> {
        if !self.settings.live_weights {
            return self.fleet.mean_of(self.fleet.used[side].iter(), |s| s.last_report.utilization);
        }
        let busy = |s: &Server| Some(1.0 - 1.0 / (1.0 + HELD_FULL * s.crowd));
        self.fleet.mean_of(self.fleet.rows[side].iter(), busy)
    }

    /// Guards against a zone with more traffic than its servers carry: what spills is learnt from busyness.
    pub(crate) fn learn_spill(&mut self, now: f64) {
        let (Some(own), far) = (self.busy(0), self.busy(1).unwrap_or(SPILL)) else { return };
        let excess = own - far - self.settings.cross_price;
        let part = ((now - self.spill_at) / (SPILL_AIMS * self.aim)).min(1.0);
        (self.spill, self.spill_at) = ((self.spill + excess * part).clamp(0.0, 0.9), now);
    }

    /// The design's weight, in requests a second; equal ones if no server has reported.
    fn weight(&self, now: f64, s: &Server, mean: f64) -> f64 {
        let cold = mean * self.warmth(now, s);
        s.weight.unwrap_or_else(|| cold * self.size(s)).max(WEIGHT_FLOOR * cold).max(1e-6)
    }

    /// A server's listed size by the mean of those in use, where weights are live: until it has reported.
    fn size(&self, s: &Server) -> f64 {
        let mean = if s.nominal > 0.0 { self.fleet.mean(|s| Some(s.nominal)) } else { None };
        mean.map_or(1.0, |mean| s.nominal / mean)
    }

    /// The part of its capacity that a server can be trusted with, by its age.
    pub(crate) fn warmth(&self, now: f64, s: &Server) -> f64 {
        let age = if s.young_since > 0.0 { (now - s.young_since).max(0.0) } else { f64::INFINITY };
        let gained = (age / self.settings.cold_ms.max(1.0)).min(1.0);
        self.settings.cold_share + (1.0 - self.settings.cold_share) * gained
    }

    /// Slow start: the time between sends with which all gateways' together stay within what the server's age
    /// or reports say it can carry, by the part of it that a slower kind, handshakes and chance leave.
    pub(crate) fn pace(&self, now: f64, s: &Server) -> f64 {
        let Some(mine) = self.cold_part(now, s) else { return 0.0 };
        let told = |s: &Server| Some(s.nominal.max(s.listed.weight)).filter(|w| *w > 0.0 && w.is_finite());
        let size = told(s).zip(self.fleet.mean(told)).map_or(1.0, |(size, mean)| size / mean);
        // Where nothing reports, a server carries what the mean one is sent.
        let sent = self.fleet.mean(|s| Some(s.sent.per_s(now) / self.share)).unwrap_or(0.0);
        let by_age = self.fleet.mean(|s| s.capacity).unwrap_or(sent).max(1.0) * size * self.warmth(now, s);
        let carries = (by_age + s.capacity.unwrap_or(0.0).min(by_age)) * mine;
        let carries = carries * (COLD_PART * self.settings.tip_multiple).min(1.0);
        (1000.0 / carries.max(1e-3)).min(self.settings.cold_ms)
    }

    /// This gateway's part of what a cold server is sent, by numbers that all gateways know: so many of them,
    /// next to the server on a ring, share it, and others leave it alone until it is warm; then `None`.
    /// Guards against a share by the mean number of users, which a zone that comes back multiplies.
    fn cold_part(&self, now: f64, s: &Server) -> Option<f64> {
        (self.warmth(now, s) < 1.0).then(|| {
            let (me, all) = (u64::from(self.settings.me), f64::from(self.settings.instances));
            let users = (3.0 * USERS).max(2.0 * FEW * all / self.fleet.size().max(1) as f64).min(all);
            let at = me.wrapping_sub(s.listed.place).wrapping_mul(0x9e3779b97f4a7c15) as f64 / 2f64.powi(64);
            f64::from(u8::from(at * all < users)) / users
        })
    }

    /// How much this gateway may have out at a server: its part of what drains within QUEUE_PART of an aim.
    fn bound(&self, now: f64, s: &Server, mean: f64) -> f64 {
        let capacity = s.capacity.unwrap_or_else(|| mean * self.size(s) * self.warmth(now, s));
        if capacity <= 0.0 {
            return BLIND_BOUND * self.share;
        }
        let reported = s.last_report.throughput.filter(|t| *t > 0.0);
        let part = reported.map_or(self.share, |t| (s.sent.per_s(now) / t).clamp(self.share, 1.0));
        capacity * part * s.squeeze * self.aim * QUEUE_PART / 1000.0
    }

    pub(crate) fn on_report(&mut self, id: ServerId, report: Report) {
        let mean = self.fleet.mean(|s| s.capacity);
        let Some(s) = self.fleet.servers.get_mut(&id) else { return };
        let (Some(u), Some(t)) = (report.utilization, report.throughput) else { return };
        if !u.is_finite() || !t.is_finite() || u < 0.0 || t < 0.0 || report == s.last_report {
            return;
        }
        let new = t / u.clamp(UTIL_FLOOR, 1.0);
        s.weight = Some(s.weight.map_or(new, |w| w + REPORT_GAIN * (new - w)));
        if t > 0.0 {
            // Guards against flooding what is new: hardly used, it looks far larger than it is.
            let (new, sure) = (t / u.clamp(UTIL_SEEN, 1.0), (u / UTIL_SURE).min(1.0));
            let gain = sure * if s.capacity.is_some() { REPORT_GAIN } else { 1.0 };
            s.capacity = Some(s.capacity.or(mean).map_or(new, |w| w + gain * (new - w)));
        }
        if let (Some(backlog), false) = (report.backlog, self.settings.live_weights) {
            let may_wait = s.capacity.unwrap_or(t) * self.aim * QUEUE_PART / 1000.0;
            self.trust = TRUST;
            s.crowd += CROWD_GAIN * ((backlog / may_wait.max(1.0)).min(9.0) - s.crowd);
        }
        s.last_report = report;
    }

    /// What an attempt's end tells of its server.
    pub(crate) fn on_server_news(&mut self, now: f64, end: &AttemptEnd) {
        let typical = 2.0 * self.latency.iter().copied().fold(0.0, f64::max);
        let class = self.requests.get(&end.request).map(|r| r.class);
        let aim = class.map(|class| self.settings.classes[class].aim_ms);
        let patient = aim.map_or(typical, |aim| typical.min(STALL_PART * aim));
        // Guards against a server that answers, but far later than its peers and the aim.
        let slow = end.outcome == Outcome::Served && end.latency_ms > typical.max(self.aim);
        let stalled = slow || (end.outcome == Outcome::NoAnswer && end.latency_ms >= patient);
        let failed = stalled
            || matches!(end.outcome, Outcome::ServerError | Outcome::NoConnection | Outcome::ConnectionLost);
        let tells = failed || matches!(end.outcome, Outcome::Served | Outcome::TurnedAway);
        let excuse = if tells { self.judge(end.request, [failed, stalled]) } else { 0.0 };
        // Guards against ejecting most of the fleet when everything fails or is slow at once.
        let mean = self.mean_fault();
        let tenant = self.requests.get(&end.request).and_then(|r| r.tenant);
        let all = self.faults[self.faults.len() - 1][0];
        let of_tenant = tenant.map_or(0.0, |t| (self.faults[t][0] - all) / (1.0 - all).max(0.2));
        let (aim, half, few) = (self.aim, FAULT_AIMS * self.aim, self.few());
        let busy = |s: &&Server| few < 1.0 && s.last_report.utilization.is_some_and(|u| u >= UTIL_SURE);
        let part = self.fleet.servers.get(&end.server).filter(busy);
        let part = part.map_or(1.0, |s| self.bound(now, s, self.mean_capacity()));
        let Some(s) = self.fleet.servers.get_mut(&end.server) else { return };
        // Guards against a crowd that stays, of one request from each of many gateways: what takes longer
        // than usual at a busy server waits for that much there, so each lets the others have their turns.
        let turns = if part < 1.0 { TURNS * (1.0 / self.share - 1.0) * (1.0 - few) } else { 0.0 };
        let rest = turns * (end.latency_ms - class.map_or(0.0, |class| self.latency[class]));
        s.next_send = s.next_send.max(now + rest.min(MAX_EJECT_AIMS * aim));
        if tells {
            s.fail = (Self::fault(now, s.fail, mean, half), now);
        }
        // Guards against giving up a server, and with it those that then do its work, for a class that
        // it fails: it answered, and serves the rest.
        let error = end.outcome == Outcome::ServerError;
        if let Some(class) = class.filter(|_| error || end.outcome == Outcome::Served) {
            s.errors.resize(self.settings.classes.len(), (0.0, now));
            let part = s.errors[class].0;
            let gain = if error { FAULT_GAIN * (1.0 - of_tenant.max(0.0)) } else { TRUST_AGAIN };
            s.errors[class] = (part + gain * (f64::from(u8::from(error)) - part), now);
        }
        s.out = s.out.saturating_sub(1);
        match end.outcome {
            Outcome::Served | Outcome::TurnedAway if !slow => {
                s.fail.0 -= FAULT_GAIN * s.fail.0;
                // Guards against a black hole: a full server answers fastest and looks the emptiest.
                if end.outcome == Outcome::TurnedAway {
                    s.next_send = now + FULL_AIMS * aim;
                }
                // A machine back from silence may have restarted: cold before the list says so.
                if s.ejected.take().is_some() && now - s.heard_at > COLD_AFTER_MS {
                    (s.young_since, s.weight, s.capacity) = (now, None, None);
                }
                (s.quiet_since, s.heard_at, s.proven) = (now, now, true);
            }
            Outcome::CalledOff | Outcome::NotSent => {}
            // Guards against blaming a server for an attempt that was sent too late to be answered.
            Outcome::NoAnswer if !stalled => {}
            Outcome::ServerError => (s.quiet_since, s.heard_at, s.ejected) = (now, now, None),
            _ => {
                if slow {
                    (s.quiet_since, s.heard_at) = (now, now);
                }
                s.fail.0 += FAULT_GAIN * (1.0 - excuse - s.fail.0);
                // Guards against a list that names what does not exist, or keeps what has died: without its
                // word, or an answer ever, the first failed connection is enough.
                let dead = (!s.proven || s.unlisted.is_some()) && end.outcome == Outcome::NoConnection;
                if dead || Self::outlier(s.fail.0, mean) || s.ejected.is_some() {
                    let longest = MAX_EJECT_AIMS * aim;
                    let wait = s.ejected.map_or(EJECT_AIMS * aim, |(_, wait)| (wait * 2.0).min(longest));
                    s.ejected = Some((now + wait, wait));
                    if s.unlisted.is_some() && wait >= longest {
                        s.listed.readiness = Readiness::Left;
                        self.follow(now);
                    }
                    self.refill(now);
                }
            }
        }
    }

    fn mean_fault(&self) -> f64 {
        self.fleet.mean(|s| s.ejected.is_none().then_some(s.fail.0)).unwrap_or(0.0)
    }

    /// The least part of a class's answers that are errors: where all servers fail it, none is left out.
    fn least_errors(&self, class: usize) -> f64 {
        self.fleet.active().map(|s| s.errors.get(class).map_or(0.0, |e| e.0)).fold(1.0, f64::min)
    }

    /// A part of failures, nearer to the mean the longer ago it was learnt: the unlucky get a trial.
    fn fault(now: f64, (part, at): (f64, f64), mean: f64, half: f64) -> f64 {
        mean + (part - mean) * 0.5f64.powf((now - at) / half)
    }

    /// Whether a part of failures lies so far over the mean that its server gets nothing but trials.
    fn outlier(part: f64, mean: f64) -> bool {
        (part - mean) / (1.0 - mean).max(0.5) > EJECT_PART
    }

    /// How far a tenant or class, more than all others, accounts for a failure (0) or a stall (1).
    /// Guards against blaming servers for what follows it everywhere. Might excuse one that only it uses.
    fn excuse(&self, tenant: Option<usize>, class: usize, what: usize) -> f64 {
        let all = self.faults[self.faults.len() - 1][what];
        let of_tenant = tenant.map_or(0.0, |t| self.faults[t][what]);
        (of_tenant.max(self.faults[self.settings.tenants.len() + class][what]) - all).max(0.0)
            / (1.0 - all).max(0.2)
    }

    /// Counts an outcome for its tenant, its class and all; how far the server is excused.
    fn judge(&mut self, id: RequestId, seen: [bool; 2]) -> f64 {
        let Some(&Request { tenant, class, .. }) = self.requests.get(&id) else { return 0.0 };
        let excuse = self.excuse(tenant, class, 0);
        let kinds = [Some(self.settings.tenants.len() + class), Some(self.faults.len() - 1), tenant];
        for kind in kinds.into_iter().flatten() {
            let gain = if Some(kind) == tenant { TENANT_GAIN } else { FAULT_GAIN };
            for (part, seen) in self.faults[kind].iter_mut().zip(seen) {
                *part += gain * (f64::from(u8::from(seen)) - *part);
            }
        }
        excuse
    }

    // ---- pick ----

    /// 1 where the gateways are so few that each hears enough of every server, and less the more there are.
    fn few(&self) -> f64 {
        (USERS * self.even).min(1.0)
    }

    /// How many servers this gateway uses, by its part of the traffic: a server has about USERS gateways, and
    /// up to three times as many in a small fleet, where that is all.
    fn wanted(&self) -> usize {
        let users = USERS * (1.0 + 2.0 * self.few());
        (users * self.fleet.size() as f64 * self.fraction).max(FEW).ceil() as usize
    }

    /// Takes one more server into use: a low-discrepancy sequence over all gateways uses servers evenly.
    fn widen(&mut self, now: f64, side: usize) -> Option<ServerId> {
        self.drawn += 1.0;
        let (row, used) = (&self.fleet.rows[side], &self.fleet.used[side]);
        let at = (f64::from(self.settings.me) * 0.618_033_988_75 + self.drawn * 0.414_213_562_37).fract();
        let from = (at * row.len() as f64) as usize;
        let mut ids = (0..row.len()).map(|n| row[(from + n) % row.len()]);
        let others = |s: &Server| self.cold_part(now, s) == Some(0.0);
        let id = ids.find(|id| !used.contains(id) && !self.fleet.servers.get(id).is_some_and(others))?;
        self.fleet.used[side].push(id);
        Some(id)
    }

    /// Keeps enough servers in use that are listed, not ejected and not left to others, and the cold ones
    /// that it shares.
    fn refill(&mut self, now: f64) {
        let wanted = self.wanted();
        for side in 0..2 {
            if wanted >= self.fleet.rows[side].len() {
                self.fleet.used[side].clone_from(&self.fleet.rows[side]);
                continue;
            }
            let (row, used) = (&self.fleet.rows[side], &self.fleet.used[side]);
            let part = |id: &ServerId| self.cold_part(now, &self.fleet.servers[id]);
            let mine = row.iter().filter(|id| part(id) > Some(0.0) && !used.contains(id));
            let used: Vec<_> = used.iter().chain(mine).copied().collect();
            let fit = |id: &&ServerId| part(id) != Some(0.0) && self.fleet.servers[id].ejected.is_none();
            let mut fit = used.iter().filter(fit).count();
            self.fleet.used[side] = used;
            while fit < wanted && self.widen(now, side).is_some() {
                fit += 1;
            }
        }
        self.share = (self.fleet.size() as f64 * self.even / wanted as f64).clamp(self.even, 1.0);
    }

    /// Follows the list, and lets go by chance what is more than wanted.
    pub(crate) fn follow(&mut self, now: f64) {
        self.fleet.index(self.settings.zone);
        let wanted = self.wanted();
        for used in &mut self.fleet.used {
            while used.len() > wanted {
                used.swap_remove(self.rng.rand_range(0..used.len() as u64) as usize);
            }
        }
        self.refill(now);
    }

    /// Draws a server for an attempt: at random by weight, own zone first, where there is room.
    fn pick(&mut self, now: f64, request: &Request) -> Option<ServerId> {
        let class = &self.settings.classes[request.class];
        let mean = self.mean_capacity();
        let (fault, half) = (self.mean_fault(), FAULT_AIMS * self.aim);
        let errors = self.least_errors(request.class);
        let typical = self.latency.iter().copied().fold(0.0, f64::max);
        let ran = request.ran();
        let (mut own, mut far, mut spare) = (Vec::new(), Vec::new(), false);
        let keyed = class.effect == Effect::Keyed && class.group != Group::All && ran.is_some();
        for &id in if keyed { &self.fleet.rows } else { &self.fleet.used }.iter().flatten() {
            let Some(s) = self.fleet.servers.get(&id) else { continue };
            let same = match (class.effect, class.group, ran) {
                (Effect::Keyed, Group::Zone, Some(first)) => first.home.0 == s.listed.zone,
                (Effect::Keyed, Group::Cell, Some(first)) => first.home.1 == s.listed.cell,
                _ => true,
            };
            let tried = request.attempts.iter().any(|a| a.server == id) && self.fleet.servers.len() > 1;
            if s.listed.readiness != Readiness::Active || !same || tried {
                continue;
            }
            if let Some((trial_at, wait)) = s.ejected {
                // Half-open trial: one request that may be repeated shows whether the server is back. Guards
                // against as many times the trials at a lost server as all gateways use stand-ins for it.
                let used = self.fleet.used[usize::from(s.listed.zone != self.settings.zone)].len() as f64;
                let lost = f64::from(u8::from(now - s.heard_at > MAX_EJECT_AIMS * self.aim));
                let trial_at = trial_at + lost * wait * (used / self.wanted() as f64 - 1.0).max(0.0);
                let spare = class.effect == Effect::Safe || !self.has_safe;
                if trial_at <= now && s.out == 0 && spare && request.attempts.is_empty() {
                    return Some(id);
                }
                continue;
            }
            // Guards against a hung or silent server: with work out and nothing heard, it gets nothing new.
            let silent = s.out > 0 && now - s.quiet_since > SILENT_AFTER * typical;
            let bound = self.bound(now, s, mean).max(1.0);
            let filled = f64::from(s.out) / bound;
            let (wrong, at) = s.errors.get(request.class).copied().unwrap_or_default();
            // Guards against a part of a request that each of many gateways rounds up to a whole one.
            let full = filled + (1.0 - self.few()) / bound >= 1.0;
            if silent || full || now < s.next_send || self.cold_part(now, s) == Some(0.0) {
                continue;
            }
            if wrong - errors > ERROR_PART {
                if now - at > TRIAL_AIMS * self.aim && request.attempts.is_empty() {
                    return Some(id);
                }
                continue;
            }
            // Guards against filling the rest with a class that a server takes which fails another one.
            let free = if s.errors.iter().any(|e| e.0 > ERROR_PART) { LEFT_OUT_LEAN } else { 1.0 };
            // Guards against a handshake for each request, where idle connections close soon.
            let warm = if now - s.heard_at < self.settings.idle_ms { 1.0 } else { NOT_WARM };
            let healthy = (1.0 - Self::fault(now, s.fail, fault, half)) * (1.0 - wrong);
            let weight = warm * free * self.weight(now, s, mean) * (1.0 - filled) * s.squeeze;
            let weight = weight * healthy.powi(FAULT_POWER) / (1.0 + HELD_FULL * s.crowd);
            if s.listed.zone == self.settings.zone {
                spare |= filled < SPILL;
                own.push((id, weight));
            } else {
                far.push((id, weight));
            }
        }
        // Crossing zones costs less than a crowded own zone.
        let spill = self.rng.rand_float() < self.spill;
        let near = far.is_empty() || (spare && !spill && !own.is_empty());
        let choices = if near { own } else { far };
        let total: f64 = choices.iter().map(|c| c.1).sum();
        let mut at = self.rng.rand_float() * total;
        let drawn = choices.iter().find(|c| {
            at -= c.1;
            at < 0.0
        });
        drawn.or(choices.last()).map(|c| c.0)
    }

    // ---- request life ----

    pub(crate) fn on_request(&mut self, now: f64, arrival: Arrival, actions: &mut Vec<Action>) {
        let Arrival { request: id, class, tenant, patience_ms, .. } = arrival;
        if !self.settings.live_weights {
            self.learn_spill(now);
        }
        let fill = self.fill(now);
        let full = fill >= ROOM;
        // Worth counts from the first try: what comes too late to earn any needs room.
        let age = self.age(class, tenant, patience_ms);
        let c = &self.settings.classes[class];
        let late = age + self.latency[class].min(c.aim_ms / 2.0) > c.aim_ms;
        let worthless = late && self.rng.rand_float() >= c.late_value
            || full && patience_ms < (2.0 * self.latency[class]).min(c.aim_ms / 2.0);
        // Guards against a jam: given up, what was sent goes on at its server while its client comes again.
        let end = now + patience_ms - 1.5 * self.settings.tick_ms;
        let useful = if late { end } else { end.min(now + c.aim_ms - age) };
        let end = if c.late_value > 0.0 { end } else { useful }; // A cancel may free a host of what waits.
        self.retries = (self.retries + RETRY_PART).min(RETRY_BURST);
        self.probes = (self.probes + PROBE_PART).min(RETRY_BURST);
        // Guards against a crowd of which a gateway sees little, and a squeeze with less than one to cut.
        let crowded = self.fleet.mean(|s| Some(s.crowd)).unwrap_or(0.0) - 1.0;
        let mean = self.mean_capacity();
        let kept = |b: f64, s: &Server| b.min(1.0) / (b / s.squeeze).clamp(1e-6, 1.0);
        let kept = if full { self.fleet.mean(|s| Some(kept(self.bound(now, s, mean), s))) } else { None };
        // Guards against a tenant or class that stalls everywhere, and holds slots of others meanwhile.
        let stalls = (2.2 * self.excuse(tenant, class, 1) - 1.0).min(STALL_SHED);
        let refusal = match tenant.and_then(|t| self.over_limit(now, t, full)) {
            Some(retry_after) => Some((Cause::OverLimit, retry_after)),
            None if self.rng.rand_float() < crowded.max(1.0 - kept.unwrap_or(1.0)).max(stalls) => {
                Some((Cause::NoRoom, f64::INFINITY))
            }
            None => (worthless && fill >= LATE_ROOM).then_some((Cause::TooLate, f64::INFINITY)),
        };
        if let Some((cause, retry_after)) = refusal {
            return self.refuse(id, cause, retry_after, actions);
        }
        let request = Request { class, tenant, useful, end, attempts: Vec::new() };
        self.requests.insert(id, request);
        if !self.held.is_empty() || !self.dispatch(now, id, actions) {
            self.hold(now, id, actions);
        }
    }

    /// How long a client has been at it. Guards against taking the longest patience for a first try's: a
    /// try waits for a usual time, except the last one, which waits for what is left of the deadline, be it
    /// more or less. Whatever is not usual thus tells its age, and what is usual most often is a first try.
    /// A tenant's clients have their own: many impatient ones of one do not make all others' tries late.
    fn age(&mut self, class: usize, tenant: Option<usize>, patience_ms: f64) -> f64 {
        let deadline = self.settings.classes[class].deadline_ms;
        let of_tenant = tenant.map_or(0, |t| t + 1) * self.settings.classes.len();
        let (usual, votes) = &mut self.usual[of_tenant + class];
        let odd = |usual: f64| (patience_ms - usual).abs() > ODD_PATIENCE * deadline;
        match odd(*usual) {
            false => *votes = (*votes + 1.0).min(USUAL_VOTES),
            true if *votes >= 1.0 => *votes -= 1.0,
            true => (*usual, *votes) = (patience_ms, 1.0),
        }
        // Guards against impatient clients that become the usual ones: others are no late tries of theirs.
        let age = (deadline - patience_ms).max(0.0);
        f64::from(u8::from(odd(*usual) && age <= TRIES * *usual)) * age
    }

    /// Holds the request until there is room, if it could then still be in time; else ends it at once.
    /// Guards against a client gone before the next wake: its patience may be shorter than that.
    fn hold(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let late = now + self.latency[request.class].max(2.0 * WAKE_MS) > request.useful;
        if late || !self.may_repeat(now, id) {
            self.end(id, Cause::NoRoom, actions);
        } else {
            self.held.push(id);
        }
    }

    fn refuse(&mut self, request: RequestId, cause: Cause, retry_after: f64, actions: &mut Vec<Action>) {
        self.refused[cause as usize] += 1;
        let retry_after_ms = retry_after.clamp(0.0, self.settings.max_retry_after_ms);
        actions.push(Action::Refuse { request, cause, retry_after_ms });
    }

    /// Sends the request's next attempt if a server has room for it.
    fn dispatch(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut request) = self.requests.remove(&id) else { return true };
        let picked = self.pick(now, &request);
        if let Some(server) = picked {
            let pace = self.fleet.servers.get(&server).map_or(0.0, |s| self.pace(now, s));
            if let Some(s) = self.fleet.servers.get_mut(&server) {
                let home = (s.listed.zone, s.listed.cell);
                request.attempts.push(Attempt { server, home, sent_at: now, out: true, may_have_run: true });
                s.quiet_since = if s.out == 0 { now } else { s.quiet_since };
                s.out += 1;
                s.sent.add(now);
                s.next_send = now + pace;
                s.errors.get_mut(request.class).into_iter().for_each(|errors| errors.1 = now);
                s.ejected = s.ejected.map(|(_, wait)| (now + wait, wait));
            }
            // Guards against a jam: what is given up goes on at its server, and its repeat adds to that.
            actions.push(Action::Send { request: id, server, until: request.end });
        }
        self.requests.insert(id, request);
        picked.is_some()
    }

    pub(crate) fn on_attempt_end(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (id, latency) = (end.request, end.latency_ms);
        let (served, timed_out) = (end.outcome == Outcome::Served, end.outcome == Outcome::NoAnswer);
        let Some(&Request { class, tenant, .. }) = self.requests.get(&id) else { return };
        let blame = 1.0 - self.excuse(tenant, class, 0);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(a) = request.attempts.get_mut(end.attempt as usize) {
            (a.out, a.may_have_run) = (false, !end.outcome.never_ran());
        }
        let good = latency < GOOD_PART * self.settings.classes[class].aim_ms;
        match self.fleet.servers.get_mut(&end.server) {
            Some(s) if served && good => s.squeeze = (s.squeeze + SQUEEZE_GAIN).min(1.0),
            Some(s) if served || (timed_out && !good) => {
                s.squeeze = (s.squeeze * SQUEEZE_CUT.powf(blame)).max(SQUEEZE_FLOOR)
            }
            _ => {}
        }
        // Guards against learning from survivors only: a time-out is a latency of at least its length.
        if served || (timed_out && latency > self.latency[class]) {
            self.latency[class] += blame * LATENCY_GAIN * (latency - self.latency[class]);
        }
        if end.complete {
            self.requests.remove(&id);
            self.held.retain(|h| *h != id);
            return;
        }
        if request.attempts.iter().any(|a| a.out) {
            return;
        }
        let more = (request.attempts.len() as u32) < self.settings.max_attempts && self.retries >= 1.0;
        let in_time = now + 0.5 * self.latency[class] < request.useful;
        if more && in_time && self.rng.rand_float() < blame && self.may_repeat(now, id) {
            self.retries -= 1.0;
            if !self.dispatch(now, id, actions) {
                self.hold(now, id, actions);
            }
        } else {
            self.end(id, Cause::Failed, actions);
        }
    }

    /// Whether another attempt could do no harm (the pick keeps a keyed one inside its group).
    fn may_repeat(&self, now: f64, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[request.class];
        let first = request.ran();
        match (class.effect, first) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed, Some(first)) => now < first.sent_at + class.window_ms,
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    /// Ends a request unserved: refused where that promise is true, else failed.
    fn end(&mut self, id: RequestId, cause: Cause, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        if self.settings.classes[request.class].may_refuse(request.ran().is_some()) {
            // Its worth is gone: the client should not come back soon.
            self.refuse(id, cause, self.settings.max_retry_after_ms, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    pub(crate) fn on_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.held.retain(|h| *h != id);
        for (n, _) in request.attempts.iter().enumerate().filter(|(_, a)| a.out && self.settings.may_cancel) {
            actions.push(Action::Cancel { request: id, attempt: n as u32 });
        }
    }

    /// Sends what is held while there is room, latest end first, and ends what can no longer be in time.
    pub(crate) fn release_held(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut held = std::mem::take(&mut self.held);
        held.retain(|id| self.requests.contains_key(id));
        held.sort_by(|a, b| self.requests[b].useful.total_cmp(&self.requests[a].useful).then(b.cmp(a)));
        let mut misses = 0;
        for id in held {
            let late = now + self.latency[self.requests[&id].class] > self.requests[&id].useful;
            if late || misses >= 4 || !self.may_repeat(now, id) || !self.dispatch(now, id, actions) {
                misses += 1;
                self.hold(now, id, actions);
            }
        }
    }

    // ---- probes ----

    pub(crate) fn may_probe(&self) -> bool {
        self.settings.may_probe && self.settings.reports == Reports::OnProbe
    }

    pub(crate) fn on_wake(&mut self, now: f64, actions: &mut Vec<Action>) {
        // Guards against a timer that fires a rounding early and is waited for ever after.
        let due = self.wake_at <= now + self.settings.tick_ms;
        self.wake_at = if due { f64::INFINITY } else { self.wake_at };
        self.release_held(now, actions);
        if self.watch_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Watch);
        }
        if self.may_probe() {
            for &server in self.fleet.used.iter().flatten() {
                let Some(s) = self.fleet.servers.get_mut(&server) else { continue };
                if s.next_probe <= now && self.probes >= 1.0 {
                    (s.next_probe, self.probes) = (now + PROBE_MS, self.probes - 1.0);
                    actions.push(Action::Probe { server });
                }
            }
        }
    }
}
