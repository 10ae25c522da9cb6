//! Which servers there are: how a balancer follows discovery's lists, when it asks for them, and since when a server is cold.
use crate::balance::*;
use crate::interface::*;
use crate::state::*;

const WATCH_MS: f64 = 200.0; // The shortest pause before subscribing anew, jittered.
const CALL_MS: f64 = 50.0; // Discovery is one for all: gateways spread their calls, so far apart,
const CALLS_MS: f64 = 2000.0; // yet all within this time: what is missed counts as told after 6 s.
const UNLISTED_MS: f64 = 60_000.0; // So long a server that the list no longer has is kept without an answer.

impl Balancer {
    /// Within what time all gateways' calls to discovery are spread, where they have one for all.
    fn spread(&self) -> f64 {
        let others = if self.settings.ask_discovery { self.settings.instances - 1 } else { 0 };
        (CALL_MS * f64::from(others)).min(self.settings.ask_within_ms / 2.0).min(CALLS_MS)
    }

    pub(crate) fn on_list(
        &mut self, now: f64, kind: ListKind, members: Vec<Member>, actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Lost {
            let pause = WATCH_MS.max(self.spread()) * (0.5 + 0.5 * self.rng.rand_float());
            self.watch_at = Some(now + pause);
            return;
        }
        if kind == ListKind::WarmCopy && self.settings.ask_discovery {
            // Guards against a line at discovery that no gateway gets through when all start at once.
            match self.spread() * self.rng.rand_float() {
                wait if wait < WATCH_MS => actions.push(Action::Watch),
                wait => self.watch_at = Some(now + wait),
            }
        }
        // Guards against a list that calls running servers gone. Where only drains bind, what has served, or
        // was there from the start, stays in use until it fails or has long been silent; what drained never.
        let not_binding = self.settings.removal_not_binding;
        let remove = |s: &mut Server| {
            if not_binding && s.proven && s.listed.readiness == Readiness::Active {
                s.unlisted = s.unlisted.or(Some(now));
            } else {
                s.listed.readiness = Readiness::Left;
            }
        };
        if kind != ListKind::Changes {
            self.fleet.servers.values_mut().for_each(remove);
        }
        let mut moved = kind != ListKind::Changes;
        // Until the first answer is there, what has started since the warm copy may have started long ago.
        let first_list = self.fleet.servers.is_empty() || !self.follows;
        self.follows = kind != ListKind::WarmCopy;
        for member in members {
            let id = member.server;
            if let (Readiness::Left, Some(s)) = (member.readiness, self.fleet.servers.get_mut(&id)) {
                moved = true;
                remove(s);
                continue;
            }
            let known = self.fleet.servers.remove(&id);
            moved |= known.as_ref().is_none_or(|s| s.listed.readiness != member.readiness);
            let mut s = known.unwrap_or_else(|| {
                let next_probe = now + PROBE_MS * self.rng.rand_float();
                Server { quiet_since: now, heard_at: now, squeeze: 1.0, next_probe, ..Server::default() }
            });
            s.unlisted = None;
            s.proven |= kind == ListKind::WarmCopy;
            if self.settings.live_weights && member.weight > 0.0 && member.weight.is_finite() {
                s.nominal = s.nominal.max(member.weight);
                let crowd = (s.nominal / member.weight - 1.0) / HELD_FULL;
                s.crowd += CROWD_GAIN * (crowd.min(9.0) - s.crowd);
            }
            let started_at = s.learn_start(member.started_at);
            let young = now - member.started_at < self.settings.cold_ms;
            let cold_since = match started_at {
                // Guards against wall clocks, the server's and this machine's, which may have been stepped in between: a
                // start that is told while this gateway follows the list is as new as the news.
                Some(_) if !first_list => Some(now),
                Some(start) if young => Some(start.min(now)),
                _ => None,
            };
            let was_cold = self.warmth(now, &s) < 1.0 && s.young_since > 0.0;
            s.listed = Member { started_at: s.last_start, ..member };
            if let Some(since) = cold_since {
                s.young_since = since;
                moved = true;
            }
            if cold_since.is_some() && !was_cold {
                (s.fail.0, s.ejected, s.weight, s.capacity) = (0.0, None, None, None);
                // Guards against all gateways' first requests at once: they spread over the first pace.
                s.next_send = now + self.pace(now, &s) * self.rng.rand_float();
            }
            self.fleet.servers.insert(id, s);
        }
        if moved {
            // A server that left goes once nothing of this gateway's is out there.
            self.fleet.servers.retain(|_, s| {
                let kept = s.unlisted.is_none_or(|since| now - since.max(s.heard_at) < UNLISTED_MS);
                (kept && s.listed.readiness != Readiness::Left) || s.out > 0
            });
            self.follow(now);
        }
        self.learn_spill(now);
        self.release_held(now, actions);
    }
}
