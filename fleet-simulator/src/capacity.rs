//! The page of sizes: what each role needs at a size, worked out from one file of sizes, budgets and measured slopes.
//!
//! A row is `slope x sizes`, beside its budget. A slope is a table of measured points over one size, read between its points
//! and beyond its last by a power of the size, or one figure. [`tables`] prints the page's tables, [`page`] puts them between
//! the page's markers, [`limits`] weighs ways to hold a tenant's limit, and [`measure`] measures slopes.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use toml::Spanned;

pub mod cli;
pub mod control;
pub mod decision;
pub mod gateway;
pub mod limits;
pub mod load;
pub mod measure;
pub mod page;
pub mod tables;

/// A name that is looked up, and where it stands in the file.
pub type Name = Spanned<String>;

/// Where a row's mechanism is not there yet, this stands in place of its file.
pub const MISSING: &str = "missing";

/// A figure that is told: a size, a budget or an assumption.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    /// By which rows and other figures name it.
    pub name: Name,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: String,
    /// Who says so.
    #[serde(default)]
    pub from: String,
}

/// A figure that is a product and quotient of others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Derived {
    /// By which rows and later figures name it.
    pub name: Name,
    /// A number in the product.
    #[serde(default = "one")]
    pub factor: f64,
    /// Figures in the product.
    #[serde(default)]
    pub times: Vec<Name>,
    /// Figures that divide it.
    #[serde(default)]
    pub over: Vec<Name>,
    /// Of what.
    pub unit: String,
    /// Why so.
    #[serde(default)]
    pub from: String,
}

/// What something costs by one size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// By which rows name it.
    pub name: Name,
    /// What was measured.
    pub what: String,
    /// The unit of its values.
    pub unit: String,
    /// The size that it was measured over, in words.
    #[serde(default)]
    pub per: String,
    /// Measured points, `[size, value]`, in the order of sizes above 0; values above 0.
    #[serde(default)]
    pub points: Vec<[f64; 2]>,
    /// One figure in place of points.
    pub value: Option<f64>,
    /// The command that gave it.
    #[serde(default)]
    pub command: String,
    /// The commit that it ran on.
    #[serde(default)]
    pub commit: String,
    /// What a reader has to know beside it.
    #[serde(default)]
    pub note: String,
}

/// What a role needs of one resource at one moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Whose need.
    pub role: String,
    /// When: `ordinary`, `worst` or `start`.
    pub moment: Moment,
    /// Of what, in words.
    pub need: String,
    /// The slope; without one the row is a product of figures.
    pub slope: Option<Name>,
    /// The figure at which the slope is read; needed where it has points.
    pub at: Option<Name>,
    /// A number in the product.
    #[serde(default = "one")]
    pub factor: f64,
    /// Figures in the product.
    #[serde(default)]
    pub times: Vec<Name>,
    /// Figures that divide it.
    #[serde(default)]
    pub over: Vec<Name>,
    /// The unit of the product.
    pub unit: String,
    /// The budget that it is held against, in the same unit.
    pub budget: Option<Name>,
    /// The file of the mechanism that carries it, or `missing`.
    pub mechanism: String,
    /// Whether it counts in the sum of its role, moment and budget.
    #[serde(default)]
    pub adds: bool,
    /// Whether it is of what a change replaces: shown, and not counted as missing.
    #[serde(default)]
    pub before: bool,
    /// What a reader has to know beside it.
    #[serde(default)]
    pub note: String,
}

/// When a need arises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Moment {
    /// On any second of the day.
    Ordinary,
    /// When a zone goes, a release runs or a region comes back.
    Worst,
    /// While it starts.
    Start,
}

fn one() -> f64 {
    1.0
}

/// The file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// What is told.
    pub size: Vec<Figure>,
    /// What is assumed.
    #[serde(default)]
    pub assumed: Vec<Figure>,
    /// What follows from these.
    #[serde(default)]
    pub derived: Vec<Derived>,
    /// What may be spent.
    pub budget: Vec<Figure>,
    /// What was measured.
    #[serde(default)]
    pub slope: Vec<Slope>,
    /// What is needed.
    pub row: Vec<Row>,
    /// How a tenant's limit is held.
    pub limits: limits::Terms,
}

/// How a cost grows with its size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Growth {
    /// The power of the size between the first point and the last.
    pub power: f64,
    /// The same between the last two, where what does not grow weighs least.
    pub end: f64,
    /// In words.
    pub word: &'static str,
}

/// A row, worked out.
#[derive(Clone, Debug, Serialize)]
pub struct Worked {
    /// Whose need.
    pub role: String,
    /// When.
    pub moment: Moment,
    /// Of what.
    pub need: String,
    /// The slope's value as read, if it is measured, with its unit.
    pub slope: Option<f64>,
    /// The slope's unit.
    pub slope_unit: String,
    /// What it was multiplied with, in words.
    pub sizes: String,
    /// The product, if the slope is measured.
    pub product: Option<f64>,
    /// Its unit.
    pub unit: String,
    /// The budget's value.
    pub budget: Option<f64>,
    /// The budget's name.
    pub budget_name: Option<String>,
    /// The product by the budget.
    pub share: Option<f64>,
    /// What carries it, or `missing`.
    pub mechanism: String,
    /// Whether it counts in its sum.
    pub adds: bool,
    /// Whether it is of what a change replaces.
    pub before: bool,
    /// The row's note.
    pub note: String,
}

impl Worked {
    /// What the share says.
    pub fn verdict(&self) -> String {
        match (self.product, self.share) {
            (None, _) => "not measured yet".into(),
            (_, None) => "no budget told".into(),
            (_, Some(share)) if share <= 1.0 => "holds".into(),
            (_, Some(share)) => format!("**{} times over**", tables::short(share)),
        }
    }

    /// Whether something has to be built or measured before it holds.
    pub fn lacks(&self) -> bool {
        !self.before
            && (self.product.is_none() || self.mechanism == MISSING || self.share.is_some_and(|s| s > 1.0))
    }
}

impl Slope {
    /// One that has these points, and no name.
    pub fn of(points: &[[f64; 2]]) -> Self {
        let text = |text: &str| text.to_string();
        Slope {
            name: Spanned::new(0..0, text("")),
            what: text(""),
            unit: text(""),
            per: text(""),
            points: points.to_vec(),
            value: None,
            command: text(""),
            commit: text(""),
            note: text(""),
        }
    }

    /// How it grows, where it has two points.
    pub fn growth(&self) -> Option<Growth> {
        let (first, last) = (self.points.first()?, self.points.last()?);
        let before = self.points.len().checked_sub(2).map(|n| self.points[n])?;
        let (power, end) = (power(*first, *last)?, power(before, *last)?);
        let n_log_n = power_of_n_log_n(first[0], last[0]);
        let word = match power {
            p if p < -0.1 => "falls",
            p if p < 0.1 => "flat",
            p if p < 0.9 => "less than n",
            p if p <= 1.05 => "n",
            p if p <= n_log_n + 0.05 => "n log n",
            _ => "faster",
        };
        Some(Growth { power, end, word })
    }

    /// Its value at a size: between two points by a power of the size, beyond the last one by the greater of the last
    /// two points' and the whole's power. `None` where it is not measured.
    pub fn at(&self, size: f64) -> Option<f64> {
        if self.value.is_some() {
            return self.value;
        }
        let (first, last) = (self.points.first()?, self.points.last()?);
        if size <= first[0] {
            return Some(first[1]);
        }
        let next = self.points.iter().position(|p| p[0] >= size);
        let (from, power) = match next {
            Some(n) => (self.points[n - 1], power(self.points[n - 1], self.points[n])?),
            None => {
                let before = self.points.len().checked_sub(2).map(|n| self.points[n])?;
                (*last, power(before, *last)?.max(power(*first, *last)?))
            }
        };
        Some(from[1] * (size / from[0]).powf(power))
    }
}

/// The power of the size by which a cost grows between two points.
fn power(a: [f64; 2], b: [f64; 2]) -> Option<f64> {
    (a[0] < b[0]).then(|| (b[1] / a[1]).ln() / (b[0] / a[0]).ln())
}

/// The power that n log n shows between two sizes.
fn power_of_n_log_n(a: f64, b: f64) -> f64 {
    let (a, b) = (a.max(2.0), b.max(4.0));
    1.0 + (b.ln() / a.ln()).ln() / (b / a).ln()
}

/// A problem, and the byte of the file at which it stands.
type Fault = (usize, String);

impl Capacity {
    /// Reads a file. The error names file, line and key, and what was expected.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::read(&text).map_err(|e| format!("{}:{e}", path.display()))
    }

    /// Reads the text of a file. The error begins with the line.
    pub fn read(text: &str) -> Result<Self, String> {
        let line = |at: usize| 1 + text.bytes().take(at).filter(|b| *b == b'\n').count();
        let read: Capacity = toml::from_str(text).map_err(|e| {
            format!("{}: {}", line(e.span().map_or(0, |s| s.start)), e.to_string().trim_end())
        })?;
        read.check().map_err(|(at, problem)| format!("{}: {problem}", line(at)))?;
        Ok(read)
    }

    /// Tells the first key that cannot be worked with.
    fn check(&self) -> Result<(), Fault> {
        for figure in self.size.iter().chain(&self.assumed).chain(&self.budget) {
            if !(figure.value.is_finite() && figure.value > 0.0) {
                let name = figure.name.get_ref();
                return Err((figure.name.span().start, format!("{name}: value: expected a number above 0")));
            }
        }
        for slope in &self.slope {
            check_slope(slope).map_err(|problem| {
                (slope.name.span().start, format!("slope {}: {problem}", slope.name.get_ref()))
            })?;
        }
        self.work().map(drop)?;
        self.limits.check().map_err(|problem| (0, format!("limits.{problem}")))?;
        limits::Sizes::of(self).map(drop).map_err(|problem| (0, problem))
    }

    /// All figures by name, in the order in which they follow from each other.
    pub fn figures(&self) -> Result<BTreeMap<&str, f64>, Fault> {
        let mut all: BTreeMap<&str, f64> = BTreeMap::new();
        for figure in self.size.iter().chain(&self.assumed).chain(&self.budget) {
            enter(&mut all, &figure.name, figure.value)?;
        }
        all.extend(self.limits.named());
        for derived in &self.derived {
            let value = product(&all, derived.factor, &derived.times, &derived.over)?;
            enter(&mut all, &derived.name, value)?;
        }
        Ok(all)
    }

    /// All rows, worked out.
    pub fn work(&self) -> Result<Vec<Worked>, Fault> {
        let figures = self.figures()?;
        self.row.iter().map(|row| self.work_row(row, &figures)).collect()
    }

    fn work_row(&self, row: &Row, figures: &BTreeMap<&str, f64>) -> Result<Worked, Fault> {
        let product = product(figures, row.factor, &row.times, &row.over)?;
        let (mut read, mut slope_unit, mut words) = (Some(1.0), String::new(), Vec::new());
        if let Some(name) = &row.slope {
            let slope = self.slope.iter().find(|s| s.name.get_ref() == name.get_ref());
            let slope = slope.ok_or_else(|| unknown(name, "the name of a slope"))?;
            slope_unit = slope.unit.clone();
            read = match (&row.at, slope.points.is_empty()) {
                (Some(at), _) => {
                    words.push(format!("at {}", at.get_ref().replace('_', " ")));
                    slope.at(look_up(figures, at)?)
                }
                (None, true) => slope.value,
                (None, false) => {
                    return Err((name.span().start, "slope: has points, expected `at` beside it".into()))
                }
            };
        }
        let mut factors: Vec<String> = Vec::new();
        if row.factor != 1.0 {
            factors.push(tables::short(row.factor));
        }
        factors.extend(row.times.iter().map(|n| n.get_ref().replace('_', " ")));
        factors.extend(row.over.iter().map(|n| format!("1/{}", n.get_ref().replace('_', " "))));
        if !factors.is_empty() {
            words.push(factors.join(" x "));
        }
        let product = read.map(|slope| slope * product);
        let budget = row.budget.as_ref().map(|name| {
            let found = self.budget.iter().find(|b| b.name.get_ref() == name.get_ref());
            found.ok_or_else(|| unknown(name, "the name of a budget"))
        });
        let budget = budget.transpose()?;
        Ok(Worked {
            role: row.role.clone(),
            moment: row.moment,
            need: row.need.clone(),
            slope: read.filter(|_| row.slope.is_some()),
            slope_unit,
            sizes: words.join(", "),
            product,
            unit: row.unit.clone(),
            budget: budget.map(|b| b.value),
            budget_name: budget.map(|b| b.name.get_ref().clone()),
            share: product.zip(budget).map(|(p, b)| p / b.value),
            mechanism: row.mechanism.clone(),
            adds: row.adds,
            before: row.before,
            note: row.note.clone(),
        })
    }
}

fn check_slope(slope: &Slope) -> Result<(), String> {
    if slope.value.is_some() && !slope.points.is_empty() {
        return Err("expected points or a value, not both".into());
    }
    let sound = |v: f64| v.is_finite() && v > 0.0;
    if !slope.value.is_none_or(sound) || !slope.points.iter().flatten().copied().all(sound) {
        return Err("expected numbers above 0".into());
    }
    if slope.points.len() == 1 || !slope.points.windows(2).all(|w| w[0][0] < w[1][0]) {
        return Err("points: expected two or more, in the order of their sizes".into());
    }
    let measured = slope.value.is_some() || !slope.points.is_empty();
    if measured && (slope.command.is_empty() || slope.commit.is_empty()) {
        return Err("command, commit: expected what gave the figure".into());
    }
    Ok(())
}

fn unknown(name: &Name, expected: &str) -> Fault {
    (name.span().start, format!("{}: expected {expected}", name.get_ref()))
}

fn enter<'a>(figures: &mut BTreeMap<&'a str, f64>, name: &'a Name, value: f64) -> Result<(), Fault> {
    match figures.insert(name.get_ref(), value) {
        None => Ok(()),
        Some(_) => Err(unknown(name, "a name that no other figure has")),
    }
}

fn look_up(figures: &BTreeMap<&str, f64>, name: &Name) -> Result<f64, Fault> {
    let found = figures.get(name.get_ref().as_str()).copied();
    found.ok_or_else(|| unknown(name, "the name of a size, an assumption or a figure derived before"))
}

fn product(figures: &BTreeMap<&str, f64>, factor: f64, times: &[Name], over: &[Name]) -> Result<f64, Fault> {
    let mut value = factor;
    for name in times {
        value *= look_up(figures, name)?;
    }
    for name in over {
        value /= look_up(figures, name)?;
    }
    Ok(value)
}
