//! The judge detects the rule that a faulty policy breaks, and finds no violation of a policy that keeps the
//! rules.
use std::collections::BTreeMap;
use ternstack_balancer::{
    Action, AttemptEnd, Balancer, EndpointId, EndpointRecord, Event, Outcome, RequestId, Settings,
};
use ternstack_fleet_simulator::experiment::Experiment;
use ternstack_fleet_simulator::judge::Rule;
use ternstack_fleet_simulator::policy::{Policy, PolicyKind};
use ternstack_fleet_simulator::simulation::{simulate, RunOutcome, Setup};
use ternstack_fleet_simulator::world::us;

/// Fault of a policy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// No fault, as a control.
    None,
    /// Gives every tenth try no final response.
    Unanswered,
    /// Repeats a message of an unsafe class that may have run.
    RetriesUnsafe,
    /// Rejects a message of an unsafe class that may have run.
    RejectsAfterRun,
    /// Keeps sending to drained and removed hosts.
    IgnoresRemoval,
    /// Sends every request to the host that started last.
    OverloadsNewest,
    /// Gives two final responses.
    AnswersTwice,
}

/// Round-robin policy without retries, with one fault.
struct FaultyPolicy {
    fault: Fault,
    endpoints: BTreeMap<EndpointId, EndpointRecord>,
    classes: usize,
    sent_count: u64,
    open_requests: BTreeMap<RequestId, (usize, f64)>,
}

impl FaultyPolicy {
    fn new(fault: Fault, settings: &Settings) -> Self {
        let classes = settings.classes.len();
        FaultyPolicy {
            fault,
            endpoints: BTreeMap::new(),
            classes,
            sent_count: 0,
            open_requests: BTreeMap::new(),
        }
    }

    fn host(&self) -> Option<EndpointId> {
        let is_eligible = |m: &&EndpointRecord| {
            self.fault == Fault::IgnoresRemoval || m.readiness == ternstack_balancer::Readiness::Active
        };
        let eligible: Vec<&EndpointRecord> = self.endpoints.values().filter(is_eligible).collect();
        if self.fault == Fault::OverloadsNewest {
            let last = eligible.iter().max_by(|a, b| a.started_at_ms.total_cmp(&b.started_at_ms));
            return last.map(|m| m.endpoint);
        }
        eligible.get(self.sent_count as usize % eligible.len().max(1)).map(|m| m.endpoint)
    }

    fn send(&mut self, request: RequestId, give_up_at_ms: f64, actions: &mut Vec<Action>) {
        self.sent_count += 1;
        match self.host() {
            Some(endpoint) => actions.push(Action::Send { request, endpoint, give_up_at_ms }),
            None => actions.push(Action::Fail { request }),
        }
    }

    fn on_attempt_end(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let request = end.request;
        if end.request_complete {
            self.open_requests.remove(&request);
            return;
        }
        let Some(&(class, give_up_at_ms)) = self.open_requests.get(&request) else { return };
        let unsafe_class = class + 1 == self.classes;
        match self.fault {
            Fault::RetriesUnsafe if unsafe_class && end.attempt == 0 && now + 50.0 < give_up_at_ms => {
                self.send(request, give_up_at_ms, actions);
            }
            Fault::RejectsAfterRun if unsafe_class && !end.outcome.never_ran() => {
                let reason = ternstack_balancer::RejectionReason::AttemptsFailed;
                actions.push(Action::Reject { request, reason, retry_after_ms: 0.0 });
            }
            _ => actions.push(Action::Fail { request }),
        }
        if self.fault == Fault::AnswersTwice {
            actions.push(Action::Fail { request });
        }
    }
}

impl Policy for FaultyPolicy {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints: records } => {
                if kind == ternstack_balancer::UpdateKind::Cached {
                    actions.push(Action::WatchEndpoints);
                }
                for record in records {
                    self.endpoints.insert(record.endpoint, record);
                }
            }
            Event::Request(arrival) => {
                let give_up_at_ms = now + arrival.client_timeout_ms - 10.0;
                self.open_requests.insert(arrival.request, (arrival.class, give_up_at_ms));
                if self.fault == Fault::Unanswered && arrival.request.0 % 10 == 0 {
                    return;
                }
                self.send(arrival.request, give_up_at_ms, actions);
            }
            Event::AttemptEnd(end) => {
                assert!(end.outcome != Outcome::NotSent || end.request_complete);
                self.on_attempt_end(now, &end, actions);
            }
            Event::ClientDisconnected { request } => {
                self.open_requests.remove(&request);
            }
            _ => {}
        }
    }
}

/// A world in which every rule can be broken: hosts are replaced with a drain period long enough to receive
/// attempts, a tenth of all attempts fail, and the last class must never run twice.
const EXPERIMENT: &str = r#"
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

fn run_policy(make_policy: &dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, String>) -> RunOutcome {
    let experiment = Experiment::read(EXPERIMENT).expect("the experiment is valid");
    let case = experiment.cases().expect("the cases are valid").remove(0);
    let (warm_up, length) = (us(2000.0), us(20_000.0));
    let setup = Setup {
        world: &case.world,
        disturbances: &case.disturbances,
        seed: 3,
        warm_up,
        length,
        make_policy,
        trace_target: None,
    };
    simulate(&setup).expect("the simulation completes")
}

fn broken_rules(fault: Fault) -> Vec<Rule> {
    let outcome =
        run_policy(&|settings, _| Ok(Box::new(FaultyPolicy::new(fault, &settings)) as Box<dyn Policy>));
    assert!(outcome.findings.broken.iter().all(|o| o.count > 0 && !o.first.is_empty()));
    outcome.findings.broken.iter().map(|o| o.rule).collect()
}

#[test]
fn judge_detects_the_rule_that_each_fault_breaks() {
    assert_eq!(broken_rules(Fault::None), []);
    assert_eq!(broken_rules(Fault::Unanswered), [Rule::Answered]);
    assert_eq!(broken_rules(Fault::AnswersTwice), [Rule::Answered]);
    assert_eq!(broken_rules(Fault::RetriesUnsafe), [Rule::Effects]);
    assert_eq!(broken_rules(Fault::RejectsAfterRun), [Rule::Effects]);
    assert_eq!(broken_rules(Fault::IgnoresRemoval), [Rule::Drains]);
    assert_eq!(broken_rules(Fault::OverloadsNewest), [Rule::Cold]);
}

#[test]
fn balancer_and_baselines_keep_the_rules() {
    let module = run_policy(&|settings, seed| {
        Ok(Box::new(Balancer::new(settings, seed).map_err(|e| e.to_string())?) as Box<dyn Policy>)
    });
    assert_eq!(module.findings.broken, []);
    assert!(module.findings.service > 0.8, "{}", module.findings.service);
    // Baselines keep the rules on responses, repeats and drains, but know no slow start.
    for kind in PolicyKind::ALL {
        let baseline = run_policy(&|settings, seed| kind.create(settings, seed, None));
        let others = baseline.findings.broken.iter().filter(|o| o.rule != Rule::Cold).count();
        assert_eq!(others, 0, "{kind:?}: {:?}", baseline.findings.broken);
    }
}
