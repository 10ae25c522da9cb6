//! Experiments: a TOML file describes the world, its disturbances, the seeds, and the variants to compare.
//! Unknown keys and invalid values are rejected with file, line and key.
use crate::disturbance::Disturbance;
use crate::judge::Findings;
use crate::policy::{PolicyKind, TimedPolicy};
use crate::simulation::{simulate, RunOutcome, Setup, TraceTarget};
use crate::world::spec::World;
use crate::world::us;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use toml::de::{DeArray, DeTable, DeValue};
use toml::{Spanned, Value};

/// An experiment, as described by its file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, also the name of the result files.
    pub name: String,
    /// What the experiment shows.
    pub about: String,
    /// Number of seeds, which run from 1 up.
    #[serde(default = "default_seeds")]
    pub seeds: u32,
    /// Time at which arrivals end, in seconds.
    #[serde(default = "default_length_s")]
    pub length_s: f64,
    /// Length of the warm-up in seconds; messages that begin earlier are left out of the service figures.
    #[serde(default = "default_warm_up_s")]
    pub warm_up_s: f64,
    /// World of all variants.
    #[serde(default)]
    pub world: World,
    /// Disturbances during each run.
    #[serde(default)]
    pub trouble: Vec<Disturbance>,
    /// Variants to compare; if empty, all policies, the baselines with and without a retry budget.
    #[serde(default)]
    pub variant: Vec<Variant>,
    /// Paths of keys and the values that each key takes in turn.
    #[serde(default)]
    pub sweep: BTreeMap<String, Vec<Value>>,
}

fn default_seeds() -> u32 {
    20
}

fn default_length_s() -> f64 {
    60.0
}

fn default_warm_up_s() -> f64 {
    2.0
}

/// One of the compared variants.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name, unique within the experiment.
    pub name: String,
    /// Policy of the gateways.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Retry budget of a baseline policy as a share of the first attempts; unlimited if absent.
    #[serde(default)]
    pub budget: Option<f64>,
    /// Paths of keys that differ from the experiment, with their values.
    #[serde(default)]
    pub set: BTreeMap<String, Value>,
}

/// A variant at one point of the sweep, ready to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Name of the variant, followed by the swept values.
    pub name: String,
    /// Policy of the gateways.
    pub policy: PolicyKind,
    /// Retry budget of a baseline policy as a share of the first attempts; unlimited if `None`.
    pub budget: Option<f64>,
    /// World with the variant's and the sweep's values.
    pub world: World,
    /// Disturbances with the variant's and the sweep's values.
    pub disturbances: Vec<Disturbance>,
}

/// Splits a path into its keys and list indexes.
fn path_steps(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|step| !step.is_empty())
}

/// Returns the line, from 1, of a byte offset.
fn line_at(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// Returns the line, from 1, of the deepest part of a path that exists in the text.
fn line_of(text: &str, path: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else { return 1 };
    let root = root.into_inner();
    let (mut found, mut table, mut list): (usize, Option<&DeTable>, Option<&DeArray>) =
        (0, Some(&root), None);
    for step in path_steps(path) {
        let next: Option<&Spanned<DeValue>> = match (table, list) {
            (Some(t), _) => {
                let entry = t.iter().find(|(key, _)| key.get_ref().as_ref() == step);
                if let Some((key, _)) = entry {
                    found = key.span().start;
                }
                entry.map(|e| e.1)
            }
            (_, Some(l)) => step.parse::<usize>().ok().and_then(|n| l.get(n)),
            _ => None,
        };
        let Some(value) = next else { break };
        if list.is_some() {
            found = value.span().start.max(found);
        }
        match value.get_ref() {
            DeValue::Table(t) => (table, list) = (Some(t), None),
            DeValue::Array(a) => (table, list) = (None, Some(a)),
            _ => break,
        }
    }
    line_at(text, found)
}

/// Sets the value at a path.
fn set_at_path(root: &mut Value, path: &str, value: Value) -> Result<(), String> {
    let path_steps: Vec<&str> = path_steps(path).collect();
    let Some((last, parents)) = path_steps.split_last() else { return Err("expected a path of keys".into()) };
    let mut at = root;
    for step in parents {
        at = match at {
            Value::Table(t) => t.get_mut(*step),
            Value::Array(a) => step.parse::<usize>().ok().and_then(|n| a.get_mut(n)),
            _ => None,
        }
        .ok_or_else(|| format!("{step}: no such key"))?;
    }
    match at {
        Value::Table(t) => {
            t.insert((*last).to_string(), value);
            Ok(())
        }
        Value::Array(a) => {
            let place = last.parse::<usize>().ok().and_then(|n| a.get_mut(n));
            *place.ok_or_else(|| format!("{last}: no such key"))? = value;
            Ok(())
        }
        _ => Err(format!("{last}: no such key")),
    }
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    ///
    /// Names file, line and key, and what was expected.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::read(&text).map_err(|e| format!("{}:{e}", path.display()))
    }

    /// Parses the text of an experiment file.
    ///
    /// # Errors
    ///
    /// The message begins with the line.
    pub fn read(text: &str) -> Result<Self, String> {
        let experiment: Experiment = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            format!("{}: {}", line_at(text, at), e.to_string().trim_end())
        })?;
        experiment
            .check()
            .map_err(|(path, problem)| format!("{}: {path}: {problem}", line_of(text, &path)))?;
        Ok(experiment)
    }

    /// Checks all values; the error holds the path of the first invalid key, and what was expected.
    fn check(&self) -> Result<(), (String, String)> {
        let ensure = |ok: bool, key: &str, expected: &str| {
            if ok {
                Ok(())
            } else {
                Err((key.to_string(), expected.to_string()))
            }
        };
        ensure(!self.name.is_empty(), "name", "expected a name")?;
        ensure((1..=10_000).contains(&self.seeds), "seeds", "expected 1 to 10000")?;
        ensure(
            self.length_s > 0.0 && self.length_s <= 86_400.0,
            "length_s",
            "expected above 0 and at most 86400",
        )?;
        ensure(
            self.warm_up_s >= 0.0 && self.warm_up_s < self.length_s,
            "warm_up_s",
            "expected 0 or more, and less than length_s",
        )?;
        for (n, variant) in self.variant.iter().enumerate() {
            let key = |name: &str| format!("variant[{n}].{name}");
            ensure(!variant.name.is_empty(), &key("name"), "expected a name")?;
            let other = self.variant[..n].iter().any(|v| v.name == variant.name);
            ensure(!other, &key("name"), "expected a name that no other variant has")?;
            ensure(
                variant.budget.is_none_or(|b| (0.0..=1.0).contains(&b)),
                &key("budget"),
                "expected 0 to 1",
            )?;
            ensure(
                variant.budget.is_none() || variant.policy != PolicyKind::Module,
                &key("budget"),
                "expected no budget, because the module has its own",
            )?;
        }
        for (path, values) in &self.sweep {
            ensure(!values.is_empty(), &format!("sweep.{path}"), "expected at least one value")?;
        }
        self.cases().map(|_| ())
    }

    fn case(&self, variant: &Variant, swept: &[(String, Value)], n: usize) -> Result<Case, (String, String)> {
        let mut root = toml::Table::new();
        let world_error = |e: toml::ser::Error| ("world".to_string(), e.to_string());
        root.insert("world".into(), Value::try_from(&self.world).map_err(world_error)?);
        root.insert("trouble".into(), Value::try_from(&self.trouble).map_err(world_error)?);
        let mut root = Value::Table(root);
        let set = variant.set.iter().map(|(path, value)| (format!("variant[{n}].set.{path}"), path, value));
        let sweep = swept.iter().map(|(path, value)| (format!("sweep.{path}"), path, value));
        let mut last = None;
        for (key, path, value) in sweep.chain(set) {
            set_at_path(&mut root, path, value.clone()).map_err(|e| (key.clone(), e))?;
            last = Some(key);
        }
        let key = |own_key: String| last.clone().unwrap_or(own_key);
        #[derive(Deserialize)]
        struct Patched {
            world: World,
            trouble: Vec<Disturbance>,
        }
        let patched: Patched =
            root.try_into().map_err(|e: toml::de::Error| (key("world".into()), e.to_string()))?;
        patched.world.check().map_err(|e| {
            let (own_key, problem) = e.split_once(": ").unwrap_or(("", &e));
            (key(format!("world.{own_key}")), if last.is_some() { e.clone() } else { problem.to_string() })
        })?;
        for (n, disturbance) in patched.trouble.iter().enumerate() {
            disturbance.check(&patched.world).map_err(|e| {
                let (own_key, problem) = e.split_once(": ").unwrap_or(("", &e));
                (
                    key(format!("trouble[{n}].{own_key}")),
                    if last.is_some() { e.clone() } else { problem.to_string() },
                )
            })?;
        }
        let values: Vec<String> = swept.iter().map(|(path, value)| format!("{path}={value}")).collect();
        let name = [variant.name.clone()].into_iter().chain(values).collect::<Vec<_>>().join(" ");
        let Variant { policy, budget, .. } = *variant;
        Ok(Case { name, policy, budget, world: patched.world, disturbances: patched.trouble })
    }

    /// Keeps only the variants whose names contain `text`. Returns whether any remain.
    pub fn retain_variants(&mut self, text: &str) -> bool {
        if self.variant.is_empty() {
            self.variant = all_policies();
        }
        self.variant.retain(|v| v.name.contains(text));
        !self.variant.is_empty()
    }

    /// Returns all variants at all points of the sweep.
    ///
    /// # Errors
    ///
    /// Returns the path of the first key that cannot be set or whose value is invalid, and the problem.
    pub fn cases(&self) -> Result<Vec<Case>, (String, String)> {
        let variants = if self.variant.is_empty() { all_policies() } else { self.variant.clone() };
        let mut points: Vec<Vec<(String, Value)>> = vec![Vec::new()];
        for (path, values) in &self.sweep {
            let longer = |point: &Vec<(String, Value)>, value: &Value| {
                point.iter().cloned().chain([(path.clone(), value.clone())]).collect()
            };
            points = points.iter().flat_map(|p| values.iter().map(move |v| longer(p, v))).collect();
        }
        let mut cases = Vec::new();
        for point in &points {
            for (n, variant) in variants.iter().enumerate() {
                cases.push(self.case(variant, point, n)?);
            }
        }
        Ok(cases)
    }

    /// Simulates one case with one seed.
    ///
    /// # Errors
    ///
    /// Fails if the simulation cannot be set up.
    pub fn run_case(
        &self, case: &Case, seed: u64, trace_target: Option<TraceTarget>,
    ) -> Result<(RunOutcome, WallTime), String> {
        let policy_time = Rc::new(Cell::new(Duration::ZERO));
        let started = Instant::now();
        let make_policy = |settings, seed| {
            let policy = case.policy.create(settings, seed, case.budget)?;
            Ok(Box::new(TimedPolicy::new(policy, Rc::clone(&policy_time))) as Box<dyn crate::policy::Policy>)
        };
        let outcome = simulate(&Setup {
            world: &case.world,
            disturbances: &case.disturbances,
            seed,
            warm_up: us(self.warm_up_s * 1000.0),
            length: us(self.length_s * 1000.0),
            make_policy: &make_policy,
            trace_target,
        })?;
        Ok((outcome, WallTime { total: started.elapsed(), policies: policy_time.get() }))
    }

    /// Simulates all cases with all seeds, `jobs` runs at once; 0 for one per core. Calls `on_run_end` after
    /// each run. The results do not depend on `jobs`; the times spent do, and are therefore returned
    /// separately.
    ///
    /// # Errors
    ///
    /// Fails if a case is invalid, the thread pool cannot start or a run fails.
    pub fn run(
        &self, jobs: usize, on_run_end: &(dyn Fn() + Sync),
    ) -> Result<(Results, Vec<WallTime>), String> {
        let cases = self.cases().map_err(|(path, e)| format!("{path}: {e}"))?;
        let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build().map_err(|e| e.to_string())?;
        let all: Vec<(usize, u64)> =
            (0..cases.len()).flat_map(|c| (1..=u64::from(self.seeds)).map(move |s| (c, s))).collect();
        let outcomes: Result<Vec<_>, String> = pool.install(|| {
            all.par_iter()
                .map(|(c, seed)| {
                    let outcome = self.run_case(&cases[*c], *seed, None);
                    on_run_end();
                    outcome.map(|(outcome, wall_times)| {
                        (*c, Run { seed: *seed, findings: outcome.findings }, wall_times)
                    })
                })
                .collect()
        });
        let mut variants: Vec<VariantResults> = cases
            .iter()
            .map(|c| VariantResults { name: c.name.clone(), policy: c.policy, runs: Vec::new() })
            .collect();
        let mut wall_times = vec![WallTime::default(); cases.len()];
        for (c, run, run_time) in outcomes? {
            variants[c].runs.push(run);
            wall_times[c].total += run_time.total;
            wall_times[c].policies += run_time.policies;
        }
        let spans = self.trouble.iter().map(|t| DisturbanceSpan {
            name: t.name().into(),
            at_s: t.at_s,
            end_s: t.at_s + t.for_s,
        });
        let results = Results {
            experiment: self.name.clone(),
            about: self.about.clone(),
            length_s: self.length_s,
            warm_up_s: self.warm_up_s,
            hosts: self.world.hosts,
            gateways: self.world.gateways,
            troubles: spans.collect(),
            variants,
        };
        Ok((results, wall_times))
    }
}

/// Returns the balancer, and all baselines with and without a retry budget.
fn all_policies() -> Vec<Variant> {
    let mut variants = vec![Variant { name: "module".into(), ..Variant::default() }];
    for policy in PolicyKind::ALL.into_iter().skip(1) {
        let name = policy.name();
        variants.push(Variant { name: name.into(), policy, ..Variant::default() });
        let budget = Some(0.2);
        variants.push(Variant { name: format!("{name} budget 20%"), policy, budget, ..Variant::default() });
    }
    variants
}

/// Wall-clock time of runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WallTime {
    /// Total time.
    pub total: Duration,
    /// Time within the policies of the gateways; the rest is spent in the simulator.
    pub policies: Duration,
}

/// Time span of a disturbance, as marked in a report.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct DisturbanceSpan {
    /// Kind of the disturbance.
    pub name: String,
    /// Start, in seconds.
    pub at_s: f64,
    /// End, in seconds.
    pub end_s: f64,
}

/// Result of one run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// Seed of the run.
    pub seed: u64,
    /// Findings of the judge.
    pub findings: Findings,
}

/// Results of all runs of a variant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct VariantResults {
    /// Name of the variant, followed by the swept values.
    pub name: String,
    /// Policy of the gateways.
    pub policy: PolicyKind,
    /// Results, by seed.
    pub runs: Vec<Run>,
}

/// Results of an experiment. They depend only on the experiment file, not on the machine or the number of
/// jobs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Results {
    /// Name of the experiment.
    pub experiment: String,
    /// What the experiment shows.
    pub about: String,
    /// Time at which arrivals ended, in seconds.
    pub length_s: f64,
    /// Length of the warm-up in seconds; messages that began earlier are left out of the service figures.
    pub warm_up_s: f64,
    /// Number of hosts at the start.
    pub hosts: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// Disturbances during each run.
    pub troubles: Vec<DisturbanceSpan>,
    /// Results of the variants.
    pub variants: Vec<VariantResults>,
}

impl VariantResults {
    /// Returns a value of each run.
    pub fn values(&self, value: impl Fn(&Findings) -> f64) -> Vec<f64> {
        self.runs.iter().map(|r| value(&r.findings)).collect()
    }

    /// Returns the number of violations in all runs.
    pub fn violation_count(&self) -> u64 {
        self.runs.iter().flat_map(|r| &r.findings.broken).map(|o| o.count).sum()
    }
}
