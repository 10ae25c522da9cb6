//! Checkers: one small piece for each promise, which looks at a history from outside and asks no gateway.
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// How far a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// For so many ms after it was first sent.
    Keyed(u64),
    /// Never.
    Unsafe,
}

/// What was promised, as figures of the settings.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The classes.
    pub classes: Vec<(String, Effect)>,
    /// The most relays of a message.
    pub max_attempts: usize,
    /// How much later than its client's patience an answer may come, in ms.
    pub slack_ms: u64,
    /// Nothing new comes to a host later than this after its drain was told, in ms.
    pub grace_ms: u64,
    /// In the first `cold_ms` of its life a host may get so many messages in any `cold_ms`.
    pub cold: Option<(u64, usize)>,
    /// No message comes to a host so much later than its client left, in ms. `None` where links hold back what was sent
    /// before: an arrival tells nothing then.
    pub leave_ms: Option<u64>,
    /// No host is told more time than the client has left by more than this, in ms; `None` as above.
    pub told_slack_ms: Option<u64>,
    /// No two gateways act on rules that contradict each other for longer, in ms.
    pub contradiction_ms: u64,
    /// Never are more members out at once.
    pub most_out: usize,
    /// Of each tenant no more are let through in any window: (tenant, window in ms, most).
    pub limits: Vec<(String, u64, usize)>,
}

/// The promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Each message whose gateway and way to it are sound gets a final answer.
    Answered,
    /// It gets one.
    Once,
    /// In time.
    InTime,
    /// A 200 is the answer that a host made for it, unchanged.
    Unchanged,
    /// What may have run is not sent again beyond its class.
    Effects,
    /// No attempt begins after its client has left.
    Left,
    /// No host is told more time than is left.
    ToldTime,
    /// Nothing new to a host past the grace.
    Drains,
    /// A refusal says when to come back.
    Advice,
    /// No cold host is pushed over.
    Cold,
    /// No two gateways contradict each other for long.
    Agreement,
    /// Never too many out.
    Out,
    /// Never too far over a limit.
    Limits,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Offence {
    /// Which.
    pub promise: Promise,
    /// When, in µs.
    pub at_us: u64,
    /// What was seen.
    pub words: String,
}

/// Looks for broken promises of one kind.
type Checker = fn(&[Event], &Terms, &mut Vec<Offence>);

/// One for each promise.
const CHECKERS: [Checker; 11] =
    [answers, unchanged, effects, left, told_time, drains, advice, cold, agreement, out_at_once, limits];

/// All broken promises of a history, in the order of time.
pub fn check(history: &[Event], terms: &Terms) -> Vec<Offence> {
    let mut found = Vec::new();
    CHECKERS.iter().for_each(|checker| checker(history, terms, &mut found));
    found.sort_by_key(|o| o.at_us);
    found
}

fn offence(promise: Promise, at_us: u64, words: String) -> Offence {
    Offence { promise, at_us, words }
}

/// What the rig ends when it heals a way is seen so much later at most.
const HEALING_US: u64 = 200_000;

/// When each gateway was broken for its clients: stretches of time.
fn broken(history: &[Event]) -> HashMap<usize, Vec<(u64, u64)>> {
    let mut all: HashMap<usize, Vec<(u64, u64)>> = HashMap::new();
    for event in history {
        match event.what {
            What::Broken { gateway, .. } => {
                let stretches = all.entry(gateway).or_default();
                if stretches.last().is_none_or(|s| s.1 != u64::MAX) {
                    stretches.push((event.at_us, u64::MAX));
                }
            }
            What::Healed { gateway } => {
                if let Some(open) = all.entry(gateway).or_default().last_mut().filter(|s| s.1 == u64::MAX) {
                    open.1 = event.at_us;
                }
            }
            _ => {}
        }
    }
    all
}

/// Promises `Answered`, `Once` and `InTime`.
fn answers(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let broken = broken(history);
    let end = history.last().map_or(0, |e| e.at_us);
    let mut answered: HashMap<&str, Vec<u64>> = HashMap::new();
    let mut ended: HashMap<&str, u64> = HashMap::new();
    let mut gone: HashSet<&str> = HashSet::new();
    for event in history {
        match &event.what {
            What::Answered { id, .. } => answered.entry(id).or_default().push(event.at_us),
            What::Unanswered { id, .. } => drop(ended.entry(id).or_insert(event.at_us)),
            What::Left { id } | What::Moved { id } => drop(gone.insert(id.as_str())),
            _ => {}
        }
    }
    for event in history {
        let What::Asked { id, gateway, patience_ms, .. } = &event.what else { continue };
        let due = event.at_us + (patience_ms + terms.slack_ms) * 1000;
        let excused = |until: u64| {
            let stretches = broken.get(gateway).into_iter().flatten();
            stretches.into_iter().any(|(from, to)| *from <= until && event.at_us <= *to)
        };
        match answered.get(id.as_str()).map(Vec::as_slice) {
            None if !excused(due.min(end)) && !gone.contains(id.as_str()) => {
                let at = ended.get(id.as_str()).copied().unwrap_or(due);
                found.push(offence(
                    Promise::Answered,
                    at,
                    format!("{id} at gateway {gateway} got no answer"),
                ));
            }
            Some([at, ..]) if *at > due && !excused(*at) => {
                let late = (at - due) / 1000;
                found.push(offence(Promise::InTime, *at, format!("{id} was answered {late} ms late")));
            }
            _ => {}
        }
        if let Some([_, again, ..]) = answered.get(id.as_str()).map(Vec::as_slice) {
            found.push(offence(Promise::Once, *again, format!("{id} was answered more than once")));
        }
    }
}

fn unchanged(history: &[Event], _: &Terms, found: &mut Vec<Offence>) {
    let mut made: HashSet<(&str, &str)> = HashSet::new();
    for event in history {
        match &event.what {
            What::Made { id, body, .. } => drop(made.insert((id, body))),
            What::Answered { id, status: 200, body, .. } if !made.contains(&(id.as_str(), body.as_str())) => {
                let words = format!("{id} was served {body:?}, which no host had made for it");
                found.push(offence(Promise::Unchanged, event.at_us, words));
            }
            _ => {}
        }
    }
}

fn effects(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let broken = broken(history);
    let mut classes: HashMap<&str, &str> = HashMap::new();
    // Sent again by a client whose way the rig broke: the gateway may have taken the first one. Where the way was
    // sound it must not have.
    let mut excused: HashSet<&str> = HashSet::new();
    let mut arrived: HashMap<&str, Vec<u64>> = HashMap::new();
    for event in history {
        match &event.what {
            What::Asked { id, class, .. } => drop(classes.insert(id, class)),
            What::Again { id, gateway } => {
                let mut stretches = broken.get(gateway).into_iter().flatten();
                if stretches
                    .any(|(from, to)| *from <= event.at_us && event.at_us <= to.saturating_add(HEALING_US))
                {
                    excused.insert(id);
                }
            }
            What::Arrived { id, ran: true, .. } => arrived.entry(id).or_default().push(event.at_us),
            _ => {}
        }
    }
    for (id, times) in arrived {
        let class = classes.get(id).copied().unwrap_or("");
        let effect = terms.classes.iter().find(|c| c.0 == class).map_or(Effect::Unsafe, |c| c.1);
        let (first, last, count) = (times[0], times[times.len() - 1], times.len());
        let too_late = match effect {
            Effect::Safe => false,
            Effect::Keyed(window_ms) => last > first + (window_ms + terms.slack_ms) * 1000,
            Effect::Unsafe => count > 1,
        };
        if (too_late || count > terms.max_attempts) && !excused.contains(id) {
            let words = format!("{id} of class {class:?} came to hosts {count} times, over {} ms", {
                (last - first) / 1000
            });
            found.push(offence(Promise::Effects, last, words));
        }
    }
}

fn left(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let Some(leave_ms) = terms.leave_ms else { return };
    let mut left: HashMap<&str, u64> = HashMap::new();
    for event in history {
        match &event.what {
            What::Left { id } => drop(left.insert(id, event.at_us)),
            What::Arrived { id, gateway, first_us, .. } => {
                let Some(at) = left.get(id.as_str()) else { continue };
                let late_ms = first_us.saturating_sub(*at) / 1000;
                if late_ms > leave_ms {
                    let words = format!("gateway {gateway} sent {id} {late_ms} ms after its client had left");
                    found.push(offence(Promise::Left, *first_us, words));
                }
            }
            _ => {}
        }
    }
}

fn told_time(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let Some(slack_ms) = terms.told_slack_ms else { return };
    let mut asked: HashMap<&str, (u64, u64)> = HashMap::new();
    for event in history {
        match &event.what {
            What::Asked { id, patience_ms, .. } => drop(asked.insert(id, (event.at_us, *patience_ms))),
            // Its client waits anew, and says so.
            What::Again { id, .. } => {
                asked.get_mut(id.as_str()).into_iter().for_each(|asked| asked.0 = event.at_us)
            }
            What::ToldTime { id, first_us, left_ms } => {
                let Some((at, patience_ms)) = asked.get(id.as_str()) else { continue };
                let left = patience_ms.saturating_sub(first_us.saturating_sub(*at) / 1000);
                if *left_ms > left + slack_ms {
                    let words =
                        format!("{id} was told on with {left_ms} ms, and its client had {left} ms left");
                    found.push(offence(Promise::ToldTime, *first_us, words));
                }
            }
            _ => {}
        }
    }
}

fn drains(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let mut told: HashMap<(usize, usize), Option<u64>> = HashMap::new();
    let mut deaf: HashMap<usize, u64> = HashMap::new();
    for event in history {
        match &event.what {
            What::Deaf { gateway } => drop(deaf.insert(*gateway, event.at_us)),
            // What was written meanwhile is told once it can be read.
            What::Hears { gateway } => {
                let since = deaf.remove(gateway).unwrap_or(event.at_us);
                let of_it = told.iter_mut().filter(|(key, _)| key.0 == *gateway);
                of_it.flat_map(|(_, at)| at).filter(|at| **at >= since).for_each(|at| *at = event.at_us);
            }
            What::Told { gateway, host, serving } => {
                let at = told.entry((*gateway, *host)).or_default();
                *at = if *serving { None } else { at.or(Some(event.at_us)) };
            }
            What::Arrived { id, host, gateway, first_us, .. } => {
                let at = told.get(&(*gateway, *host)).copied().flatten();
                if let Some(at) = at.filter(|at| *first_us > at + (terms.grace_ms + 50) * 1000) {
                    let words = format!(
                        "gateway {gateway} sent {id} to host {host} {} ms after its drain was told",
                        { (first_us - at) / 1000 }
                    );
                    found.push(offence(Promise::Drains, *first_us, words));
                }
            }
            _ => {}
        }
    }
}

fn advice(history: &[Event], _: &Terms, found: &mut Vec<Offence>) {
    for event in history {
        if let What::Answered { id, status: 429 | 503, advice: false, .. } = &event.what {
            let words = format!("{id} was refused without a word on when to come back");
            found.push(offence(Promise::Advice, event.at_us, words));
        }
    }
}

/// The first time at which more than `most` of these lie in a window.
fn crowd(times: &[u64], window_us: u64, most: usize) -> Option<u64> {
    times.windows(most + 1).find(|w| w[most] - w[0] < window_us).map(|w| w[most])
}

fn cold(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let Some((cold_ms, most)) = terms.cold else { return };
    let started = history.iter().filter_map(|e| match e.what {
        What::Started { host } => Some((host, e.at_us)),
        _ => None,
    });
    for (host, start) in started {
        let young = start..start + cold_ms * 1000;
        let times: Vec<u64> = history
            .iter()
            .filter(|e| matches!(e.what, What::Arrived { host: at, .. } if at == host))
            .map(|e| e.at_us)
            .filter(|at| young.contains(at))
            .collect();
        if let Some(at) = crowd(&times, cold_ms * 1000, most) {
            let words = format!("host {host} got more than {most} messages while cold");
            found.push(offence(Promise::Cold, at, words));
        }
    }
}

fn agreement(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let mut acts: HashMap<&str, BTreeMap<usize, &str>> = HashMap::new();
    let mut since: HashMap<&str, u64> = HashMap::new();
    let end = history.last().map_or(0, |e| e.at_us);
    let mut judge = |about: &str, since: Option<u64>, until: u64| {
        if let Some(since) = since.filter(|s| until - s > terms.contradiction_ms * 1000) {
            let words =
                format!("gateways contradicted each other about {about:?} for {} ms", (until - since) / 1000);
            found.push(offence(Promise::Agreement, until, words));
        }
    };
    for event in history {
        let What::Acts { gateway, about, rule } = &event.what else { continue };
        let by = acts.entry(about).or_default();
        match rule {
            Some(rule) => drop(by.insert(*gateway, rule)),
            None => drop(by.remove(gateway)),
        }
        let contradicts = by.values().collect::<BTreeSet<_>>().len() > 1;
        if contradicts {
            since.entry(about).or_insert(event.at_us);
        } else {
            judge(about, since.remove(about.as_str()), event.at_us);
        }
    }
    since.into_iter().for_each(|(about, at)| judge(about, Some(at), end));
}

fn out_at_once(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    let mut all: BTreeSet<&str> = BTreeSet::new();
    for event in history {
        let What::Out { member, out } = &event.what else { continue };
        let news = if *out { all.insert(member) } else { all.remove(member.as_str()) };
        if news && *out && all.len() > terms.most_out {
            let words = format!("{} are out at once: {all:?}", all.len());
            found.push(offence(Promise::Out, event.at_us, words));
        }
    }
}

fn limits(history: &[Event], terms: &Terms, found: &mut Vec<Offence>) {
    for (tenant, window_ms, most) in &terms.limits {
        let times: Vec<u64> = history
            .iter()
            .filter(|e| matches!(&e.what, What::Admitted { tenant: t } if t == tenant))
            .map(|e| e.at_us)
            .collect();
        if let Some(at) = crowd(&times, window_ms * 1000, *most) {
            let words = format!("more than {most} messages of {tenant} were let through in {window_ms} ms");
            found.push(offence(Promise::Limits, at, words));
        }
    }
}
