//! Experiments: a TOML file names the world, its size, what goes wrong, the seeds, and the variants that are
//! compared. What is not understood is refused, with file, line and key; nothing is guessed.
use crate::drive::{play, Focus, Played, Setup};
use crate::judge::Findings;
use crate::policy::{Metered, Which};
use crate::trouble::Trouble;
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

/// An experiment as its file gives it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is to show.
    pub about: String,
    /// How many seeds, from 1 up.
    #[serde(default = "twenty")]
    pub seeds: u32,
    /// For how long messages begin.
    #[serde(default = "minute")]
    pub length_s: f64,
    /// What begins before counts for no service.
    #[serde(default = "two")]
    pub warm_up_s: f64,
    /// The world.
    #[serde(default)]
    pub world: World,
    /// What goes wrong.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
    /// What is compared; all policies with and without a retry budget where there is none.
    #[serde(default)]
    pub variant: Vec<Variant>,
    /// Keys, by path, and the values that each takes in turn.
    #[serde(default)]
    pub sweep: BTreeMap<String, Vec<Value>>,
}

fn twenty() -> u32 {
    20
}

fn minute() -> f64 {
    60.0
}

fn two() -> f64 {
    2.0
}

/// One of the things compared.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Who decides.
    #[serde(default)]
    pub policy: Which,
    /// The part of first attempts that a comparison policy may repeat; no limit where absent.
    #[serde(default)]
    pub budget: Option<f64>,
    /// Keys, by path, that are different from the experiment's.
    #[serde(default)]
    pub set: BTreeMap<String, Value>,
}

/// A variant at one point of the sweep, ready to be played.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// The variant's name and the swept values.
    pub name: String,
    /// Who decides.
    pub policy: Which,
    /// Its retry budget.
    pub budget: Option<f64>,
    /// Its world.
    pub world: World,
    /// Its troubles.
    pub troubles: Vec<Trouble>,
}

/// One step on a path: a key or a place in a list.
fn steps(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|step| !step.is_empty())
}

/// The line, from 1, of a byte of a text.
fn line_at(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// The line, from 1, of the deepest part of a path that the text has.
fn line_of(text: &str, path: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else { return 1 };
    let root = root.into_inner();
    let (mut found, mut table, mut list): (usize, Option<&DeTable>, Option<&DeArray>) =
        (0, Some(&root), None);
    for step in steps(path) {
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

/// Puts a value at a path.
fn put(root: &mut Value, path: &str, value: Value) -> Result<(), String> {
    let steps: Vec<&str> = steps(path).collect();
    let Some((last, way)) = steps.split_last() else { return Err("expected a path of keys".into()) };
    let mut at = root;
    for step in way {
        at = match at {
            Value::Table(t) => t.get_mut(*step),
            Value::Array(a) => step.parse::<usize>().ok().and_then(|n| a.get_mut(n)),
            _ => None,
        }
        .ok_or_else(|| format!("there is no {step}"))?;
    }
    match at {
        Value::Table(t) => {
            t.insert((*last).to_string(), value);
            Ok(())
        }
        Value::Array(a) => {
            let place = last.parse::<usize>().ok().and_then(|n| a.get_mut(n));
            *place.ok_or_else(|| format!("there is no {last}"))? = value;
            Ok(())
        }
        _ => Err(format!("there is no {last}")),
    }
}

impl Experiment {
    /// Reads a file. The error names file, line and key, and what was expected.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::read(&text).map_err(|e| format!("{}:{e}", path.display()))
    }

    /// Reads the text of a file. The error begins with the line.
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

    /// Tells the first key, by its path, that cannot be worked with.
    fn check(&self) -> Result<(), (String, String)> {
        let need = |ok: bool, key: &str, wanted: &str| {
            if ok {
                Ok(())
            } else {
                Err((key.to_string(), wanted.to_string()))
            }
        };
        need(!self.name.is_empty(), "name", "expected a name")?;
        need((1..=10_000).contains(&self.seeds), "seeds", "expected 1 to 10000")?;
        need(
            self.length_s > 0.0 && self.length_s <= 86_400.0,
            "length_s",
            "expected above 0, at most a day",
        )?;
        need(
            self.warm_up_s >= 0.0 && self.warm_up_s < self.length_s,
            "warm_up_s",
            "expected 0 or more, and less than length_s",
        )?;
        for (n, variant) in self.variant.iter().enumerate() {
            let key = |name: &str| format!("variant[{n}].{name}");
            need(!variant.name.is_empty(), &key("name"), "expected a name")?;
            let other = self.variant[..n].iter().any(|v| v.name == variant.name);
            need(!other, &key("name"), "expected a name that no other variant has")?;
            need(variant.budget.is_none_or(|b| (0.0..=1.0).contains(&b)), &key("budget"), "expected 0 to 1")?;
            need(
                variant.budget.is_none() || variant.policy != Which::Module,
                &key("budget"),
                "expected none: the module has its own",
            )?;
        }
        for (path, values) in &self.sweep {
            need(!values.is_empty(), &format!("sweep.{path}"), "expected at least one value")?;
        }
        self.cases().map(|_| ())
    }

    fn case(&self, variant: &Variant, swept: &[(String, Value)], n: usize) -> Result<Case, (String, String)> {
        let mut root = toml::Table::new();
        let bad = |e: toml::ser::Error| ("world".to_string(), e.to_string());
        root.insert("world".into(), Value::try_from(&self.world).map_err(bad)?);
        root.insert("trouble".into(), Value::try_from(&self.trouble).map_err(bad)?);
        let mut root = Value::Table(root);
        let set = variant.set.iter().map(|(path, value)| (format!("variant[{n}].set.{path}"), path, value));
        let sweep = swept.iter().map(|(path, value)| (format!("sweep.{path}"), path, value));
        let mut last = None;
        for (key, path, value) in sweep.chain(set) {
            put(&mut root, path, value.clone()).map_err(|e| (key.clone(), e))?;
            last = Some(key);
        }
        let key = |own: String| last.clone().unwrap_or(own);
        #[derive(Deserialize)]
        struct Patched {
            world: World,
            trouble: Vec<Trouble>,
        }
        let patched: Patched =
            root.try_into().map_err(|e: toml::de::Error| (key("world".into()), e.to_string()))?;
        patched.world.check().map_err(|e| {
            let (own, problem) = e.split_once(": ").unwrap_or(("", &e));
            (key(format!("world.{own}")), if last.is_some() { e.clone() } else { problem.to_string() })
        })?;
        for (n, trouble) in patched.trouble.iter().enumerate() {
            trouble.check(&patched.world).map_err(|e| {
                let (own, problem) = e.split_once(": ").unwrap_or(("", &e));
                (
                    key(format!("trouble[{n}].{own}")),
                    if last.is_some() { e.clone() } else { problem.to_string() },
                )
            })?;
        }
        let values: Vec<String> = swept.iter().map(|(path, value)| format!("{path}={value}")).collect();
        let name = [variant.name.clone()].into_iter().chain(values).collect::<Vec<_>>().join(" ");
        let Variant { policy, budget, .. } = *variant;
        Ok(Case { name, policy, budget, world: patched.world, troubles: patched.trouble })
    }

    /// Leaves out the variants whose names do not hold a text.
    /// True if any are left.
    pub fn only(&mut self, text: &str) -> bool {
        if self.variant.is_empty() {
            self.variant = all_policies();
        }
        self.variant.retain(|v| v.name.contains(text));
        !self.variant.is_empty()
    }

    /// All variants at all points of the sweep.
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

    /// Plays one case under one seed.
    pub fn play(&self, case: &Case, seed: u64, focus: Option<Focus>) -> Result<(Played, Spent), String> {
        let module = Rc::new(Cell::new(Duration::ZERO));
        let begun = Instant::now();
        let make = |settings, seed| {
            let policy = case.policy.make(settings, seed, case.budget)?;
            Ok(Box::new(Metered::new(policy, Rc::clone(&module))) as Box<dyn crate::policy::Policy>)
        };
        let played = play(&Setup {
            world: &case.world,
            troubles: &case.troubles,
            seed,
            warm_up: us(self.warm_up_s * 1000.0),
            length: us(self.length_s * 1000.0),
            make: &make,
            focus,
        })?;
        Ok((played, Spent { whole: begun.elapsed(), policy: module.get() }))
    }

    /// Plays all cases under all seeds, so many at once. `tick` is called after each run. The outcome does not
    /// depend on `jobs`; what time it took does, and stays apart from it.
    pub fn run(&self, jobs: usize, tick: &(dyn Fn() + Sync)) -> Result<(Results, Vec<Spent>), String> {
        let cases = self.cases().map_err(|(path, e)| format!("{path}: {e}"))?;
        let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build().map_err(|e| e.to_string())?;
        let all: Vec<(usize, u64)> =
            (0..cases.len()).flat_map(|c| (1..=u64::from(self.seeds)).map(move |s| (c, s))).collect();
        let played: Result<Vec<_>, String> = pool.install(|| {
            all.par_iter()
                .map(|(c, seed)| {
                    let played = self.play(&cases[*c], *seed, None);
                    tick();
                    played.map(|(played, spent)| (*c, Run { seed: *seed, findings: played.findings }, spent))
                })
                .collect()
        });
        let mut variants: Vec<VariantResults> = cases
            .iter()
            .map(|c| VariantResults { name: c.name.clone(), policy: c.policy, runs: Vec::new() })
            .collect();
        let mut spent = vec![Spent::default(); cases.len()];
        for (c, run, took) in played? {
            variants[c].runs.push(run);
            spent[c].whole += took.whole;
            spent[c].policy += took.policy;
        }
        let troubles = self.trouble.iter().map(|t| Mark {
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
            troubles: troubles.collect(),
            variants,
        };
        Ok((results, spent))
    }
}

/// The module and all comparison policies, each with and without a retry budget.
fn all_policies() -> Vec<Variant> {
    let mut variants = vec![Variant { name: "module".into(), ..Variant::default() }];
    for policy in Which::ALL.into_iter().skip(1) {
        let name = policy.name();
        variants.push(Variant { name: name.into(), policy, ..Variant::default() });
        let budget = Some(0.2);
        variants.push(Variant { name: format!("{name} budget 20%"), policy, budget, ..Variant::default() });
    }
    variants
}

/// Time on the wall that runs took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    /// In all.
    pub whole: Duration,
    /// In the policies of the gateways; the rest is the laboratory's own.
    pub policy: Duration,
}

/// A trouble as a report marks it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Mark {
    /// Its kind.
    pub name: String,
    /// When it began, in seconds.
    pub at_s: f64,
    /// When it was over, in seconds.
    pub end_s: f64,
}

/// One run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// What it showed.
    pub findings: Findings,
}

/// All runs of a variant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct VariantResults {
    /// Its name.
    pub name: String,
    /// Who decided.
    pub policy: Which,
    /// Its runs, by seed.
    pub runs: Vec<Run>,
}

/// What an experiment showed: the same for the same file, whatever machine and number of jobs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Results {
    /// Its name.
    pub experiment: String,
    /// What it is to show.
    pub about: String,
    /// For how long messages began.
    pub length_s: f64,
    /// What began before counted for no service.
    pub warm_up_s: f64,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// What went wrong.
    pub troubles: Vec<Mark>,
    /// The variants.
    pub variants: Vec<VariantResults>,
}

impl VariantResults {
    /// A figure of all runs.
    pub fn values(&self, value: impl Fn(&Findings) -> f64) -> Vec<f64> {
        self.runs.iter().map(|r| value(&r.findings)).collect()
    }

    /// How many offences against the rules there were in all runs.
    pub fn broken(&self) -> u64 {
        self.runs.iter().flat_map(|r| &r.findings.broken).map(|o| o.count).sum()
    }
}
