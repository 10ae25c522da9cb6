//! Planted offenders: a policy that breaks a rule is caught, by that rule; one that keeps them is not.
use std::collections::BTreeMap;
use ternstack_balancer::{
    Action, AttemptEnd, Balancer, EndpointId, EndpointRecord, Event, Outcome, RequestId, Settings,
};
use ternstack_fleet_simulator::drive::{play, Played, Setup};
use ternstack_fleet_simulator::experiment::Experiment;
use ternstack_fleet_simulator::judge::Rule;
use ternstack_fleet_simulator::policy::{Policy, Which};
use ternstack_fleet_simulator::world::us;

/// How an offender offends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bad {
    /// It keeps the rules, as a control.
    Not,
    /// It leaves every tenth message without an answer.
    Silent,
    /// It sends what may have run again.
    Repeats,
    /// It refuses what may have run.
    Refuses,
    /// It goes on sending to whatever was ever listed.
    Forgets,
    /// It sends all to the host that started last.
    Crowds,
    /// It answers twice.
    Twice,
}

/// Sends each message to one host in turn, with one fault.
struct Offender {
    bad: Bad,
    hosts: BTreeMap<EndpointId, EndpointRecord>,
    classes: usize,
    count: u64,
    class_of: BTreeMap<RequestId, (usize, f64)>,
}

impl Offender {
    fn new(bad: Bad, settings: &Settings) -> Self {
        let classes = settings.classes.len();
        Offender { bad, hosts: BTreeMap::new(), classes, count: 0, class_of: BTreeMap::new() }
    }

    fn host(&self) -> Option<EndpointId> {
        let fits = |m: &&EndpointRecord| {
            self.bad == Bad::Forgets || m.readiness == ternstack_balancer::Readiness::Active
        };
        let fit: Vec<&EndpointRecord> = self.hosts.values().filter(fits).collect();
        if self.bad == Bad::Crowds {
            let last = fit.iter().max_by(|a, b| a.started_at_ms.total_cmp(&b.started_at_ms));
            return last.map(|m| m.endpoint);
        }
        fit.get(self.count as usize % fit.len().max(1)).map(|m| m.endpoint)
    }

    fn send(&mut self, request: RequestId, until: f64, actions: &mut Vec<Action>) {
        self.count += 1;
        match self.host() {
            Some(server) => actions.push(Action::Send { request, endpoint: server, give_up_at_ms: until }),
            None => actions.push(Action::Fail { request }),
        }
    }

    fn on_end(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let request = end.request;
        if end.request_complete {
            self.class_of.remove(&request);
            return;
        }
        let Some(&(class, until)) = self.class_of.get(&request) else { return };
        let unsafe_class = class + 1 == self.classes;
        match self.bad {
            Bad::Repeats if unsafe_class && end.attempt == 0 && now + 50.0 < until => {
                self.send(request, until, actions);
            }
            Bad::Refuses if unsafe_class && !end.outcome.never_ran() => {
                let cause = ternstack_balancer::RejectionReason::AttemptsFailed;
                actions.push(Action::Reject { request, reason: cause, retry_after_ms: 0.0 });
            }
            _ => actions.push(Action::Fail { request }),
        }
        if self.bad == Bad::Twice {
            actions.push(Action::Fail { request });
        }
    }
}

impl Policy for Offender {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints: members } => {
                if kind == ternstack_balancer::UpdateKind::Cached {
                    actions.push(Action::WatchEndpoints);
                }
                for member in members {
                    self.hosts.insert(member.endpoint, member);
                }
            }
            Event::Request(arrival) => {
                let until = now + arrival.client_timeout_ms - 10.0;
                self.class_of.insert(arrival.request, (arrival.class, until));
                if self.bad == Bad::Silent && arrival.request.0 % 10 == 0 {
                    return;
                }
                self.send(arrival.request, until, actions);
            }
            Event::AttemptEnd(end) => {
                assert!(end.outcome != Outcome::NotSent || end.request_complete);
                self.on_end(now, &end, actions);
            }
            Event::ClientDisconnected { request } => {
                self.class_of.remove(&request);
            }
            _ => {}
        }
    }
}

/// Hosts that are replaced, slowly enough to be sent to while they drain; a tenth of all attempts are errors; the
/// last class must never run twice.
const WORLD: &str = r#"
name = "offenders"
about = "A world in which each rule can be broken."
length_s = 20.0

[world]
load = 0.6
hosts = 6
gateways = 2

[[world.kinds]]
error_part = 0.1

[[world.classes]]
name = "read"

[[world.classes]]
name = "pay"
effect = "unsafe"

[[trouble]]
at_s = 4.0
for_s = 12.0
what.replacement = { every_s = 4.0, drain_s = 8.0 }
"#;

fn played(make: &dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, String>) -> Played {
    let experiment = Experiment::read(WORLD).expect("a sound experiment");
    let case = experiment.cases().expect("cases").remove(0);
    let (warm_up, length) = (us(2000.0), us(20_000.0));
    let setup =
        Setup { world: &case.world, troubles: &case.troubles, seed: 3, warm_up, length, make, focus: None };
    play(&setup).expect("it plays")
}

fn broken(bad: Bad) -> Vec<Rule> {
    let played = played(&|settings, _| Ok(Box::new(Offender::new(bad, &settings)) as Box<dyn Policy>));
    assert!(played.findings.broken.iter().all(|o| o.count > 0 && !o.first.is_empty()));
    played.findings.broken.iter().map(|o| o.rule).collect()
}

#[test]
fn each_offender_is_caught_by_its_own_rule() {
    assert_eq!(broken(Bad::Not), []);
    assert_eq!(broken(Bad::Silent), [Rule::Answered]);
    assert_eq!(broken(Bad::Twice), [Rule::Answered]);
    assert_eq!(broken(Bad::Repeats), [Rule::Effects]);
    assert_eq!(broken(Bad::Refuses), [Rule::Effects]);
    assert_eq!(broken(Bad::Forgets), [Rule::Drains]);
    assert_eq!(broken(Bad::Crowds), [Rule::Cold]);
}

#[test]
fn the_module_keeps_the_rules_there() {
    let module = played(&|settings, seed| {
        Ok(Box::new(Balancer::new(settings, seed).map_err(|e| e.to_string())?) as Box<dyn Policy>)
    });
    assert_eq!(module.findings.broken, []);
    assert!(module.findings.service > 0.8, "{}", module.findings.service);
    // The comparison policies keep the rules on answers, effects and drains; slow start they do not know.
    for which in Which::ALL {
        let rival = played(&|settings, seed| which.make(settings, seed, None));
        let others = rival.findings.broken.iter().filter(|o| o.rule != Rule::Cold).count();
        assert_eq!(others, 0, "{which:?}: {:?}", rival.findings.broken);
    }
}
