//! Capacity planning: what each role needs at a given size, computed from a file of sizes, budgets and
//! measured slopes.
//!
//! A row is `slope x sizes`, compared with a budget. A slope is a single value, or a table of points measured
//! over one size, which is interpolated between the points and extrapolated beyond the last by a power of the
//! size. [`tables`] formats the tables of the page, [`page`] replaces them between the page's markers,
//! [`limits`] compares ways to enforce a tenant's limit, and [`measure`] measures the slopes.
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

/// A name that refers to a figure, with its position in the file.
pub type NameRef = Spanned<String>;

/// Mechanism of a row that has no implementation yet.
pub const MISSING: &str = "missing";

/// A given figure: a size, a budget or an assumption.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    /// Name by which rows and other figures refer to the figure.
    pub name: NameRef,
    /// Value; must be above 0.
    pub value: f64,
    /// Unit.
    pub unit: String,
    /// Source of the value.
    #[serde(default)]
    pub from: String,
}

/// A figure computed from other figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Derived {
    /// Name by which rows and later figures refer to the figure.
    pub name: NameRef,
    /// Constant factor.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// Figures to multiply by.
    #[serde(default)]
    pub times: Vec<NameRef>,
    /// Figures to divide by.
    #[serde(default)]
    pub over: Vec<NameRef>,
    /// Unit.
    pub unit: String,
    /// Reason for the formula.
    #[serde(default)]
    pub from: String,
}

/// Measured cost as a function of one size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Name by which rows refer to the slope.
    pub name: NameRef,
    /// What was measured.
    pub what: String,
    /// Unit of the values.
    pub unit: String,
    /// Size that the points were measured over.
    #[serde(default)]
    pub per: String,
    /// Measured points `[size, value]`, by ascending size; all numbers above 0.
    #[serde(default)]
    pub points: Vec<[f64; 2]>,
    /// Single value instead of points.
    pub value: Option<f64>,
    /// Command that measured the values.
    #[serde(default)]
    pub command: String,
    /// Commit that was measured.
    #[serde(default)]
    pub commit: String,
    /// Remark for the reader.
    #[serde(default)]
    pub note: String,
}

/// Need of a role for one resource at one moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Role that has the need.
    pub role: String,
    /// Moment of the need: `ordinary`, `worst` or `start`.
    pub moment: Moment,
    /// Description of the need.
    pub need: String,
    /// Slope; without a slope the row is a product of figures.
    pub slope: Option<NameRef>,
    /// Figure at which the slope is evaluated; required if the slope has points.
    pub at: Option<NameRef>,
    /// Constant factor.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// Figures to multiply by.
    #[serde(default)]
    pub times: Vec<NameRef>,
    /// Figures to divide by.
    #[serde(default)]
    pub over: Vec<NameRef>,
    /// Unit of the product.
    pub unit: String,
    /// Budget that the product is compared with, in the same unit.
    pub budget: Option<NameRef>,
    /// Source file that implements the mechanism, or `missing`.
    pub mechanism: String,
    /// Whether the row counts in the sum of its role, moment and budget.
    #[serde(default)]
    pub adds: bool,
    /// Whether the row describes the mechanism that a change replaces; such rows are shown, but never counted
    /// as missing.
    #[serde(default)]
    pub before: bool,
    /// Remark for the reader.
    #[serde(default)]
    pub note: String,
}

/// Moment at which a need arises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Moment {
    /// Any second of normal operation.
    Ordinary,
    /// The loss of a zone, a rollout or the return of a region.
    Worst,
    /// The start of the role's process.
    Start,
}

fn default_factor() -> f64 {
    1.0
}

/// Contents of a capacity file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Sizes of the platform.
    pub size: Vec<Figure>,
    /// Assumptions.
    #[serde(default)]
    pub assumed: Vec<Figure>,
    /// Figures computed from the others.
    #[serde(default)]
    pub derived: Vec<Derived>,
    /// Budgets.
    pub budget: Vec<Figure>,
    /// Measured costs.
    #[serde(default)]
    pub slope: Vec<Slope>,
    /// Needs of the roles.
    pub row: Vec<Row>,
    /// Parameters for the enforcement of a tenant's limit.
    pub limits: limits::LimitTerms,
}

/// Growth of a cost with its size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Growth {
    /// Exponent between the first and the last point.
    pub power: f64,
    /// Exponent between the last two points, where constant costs weigh least.
    pub end: f64,
    /// Growth in words, such as `n log n`.
    pub word: &'static str,
}

/// A row with its computed values.
#[derive(Clone, Debug, Serialize)]
pub struct ComputedRow {
    /// Role that has the need.
    pub role: String,
    /// Moment of the need.
    pub moment: Moment,
    /// Description of the need.
    pub need: String,
    /// Value of the slope at the row's size, if the slope is measured.
    pub slope: Option<f64>,
    /// Unit of the slope.
    pub slope_unit: String,
    /// Description of the size and the factors.
    pub sizes: String,
    /// Need in `unit`, if the slope is measured.
    pub product: Option<f64>,
    /// Unit of the product.
    pub unit: String,
    /// Value of the budget.
    pub budget: Option<f64>,
    /// Name of the budget.
    pub budget_name: Option<String>,
    /// Product as a share of the budget.
    pub share: Option<f64>,
    /// Source file that implements the mechanism, or `missing`.
    pub mechanism: String,
    /// Whether the row counts in the sum of its role, moment and budget.
    pub adds: bool,
    /// Whether the row describes the mechanism that a change replaces.
    pub before: bool,
    /// Remark for the reader.
    pub note: String,
}

impl ComputedRow {
    /// Returns the verdict on the share of the budget.
    pub fn verdict(&self) -> String {
        match (self.product, self.share) {
            (None, _) => "not measured yet".into(),
            (_, None) => "no budget told".into(),
            (_, Some(share)) if share <= 1.0 => "holds".into(),
            (_, Some(share)) => format!("**{} times over**", tables::format_number(share)),
        }
    }

    /// Returns whether the need has no implementation, is not measured or exceeds its budget.
    pub fn is_unmet(&self) -> bool {
        !self.before
            && (self.product.is_none() || self.mechanism == MISSING || self.share.is_some_and(|s| s > 1.0))
    }
}

impl Slope {
    /// Creates an unnamed slope with these points.
    pub fn from_points(points: &[[f64; 2]]) -> Self {
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

    /// Returns the growth; `None` with fewer than two points.
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

    /// Returns the value at a size. Between two points, the value follows a power of the size; beyond the
    /// last point, the larger exponent of the last two points and of the whole range applies, so that one
    /// flat stretch is not extrapolated. Returns `None` if the slope is not measured.
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

/// Returns the exponent of the growth between two points.
fn power(a: [f64; 2], b: [f64; 2]) -> Option<f64> {
    (a[0] < b[0]).then(|| (b[1] / a[1]).ln() / (b[0] / a[0]).ln())
}

/// Returns the exponent that n log n shows between two sizes.
fn power_of_n_log_n(a: f64, b: f64) -> f64 {
    let (a, b) = (a.max(2.0), b.max(4.0));
    1.0 + (b.ln() / a.ln()).ln() / (b / a).ln()
}

/// Position of a problem in the file, in bytes, and the description.
type LocatedError = (usize, String);

impl Capacity {
    /// Reads a capacity file.
    ///
    /// # Errors
    ///
    /// Names file, line and key, and what was expected.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::read(&text).map_err(|e| format!("{}:{e}", path.display()))
    }

    /// Parses the text of a capacity file.
    ///
    /// # Errors
    ///
    /// The message begins with the line.
    pub fn read(text: &str) -> Result<Self, String> {
        let line_of = |at: usize| 1 + text.bytes().take(at).filter(|b| *b == b'\n').count();
        let capacity: Capacity = toml::from_str(text).map_err(|e| {
            format!("{}: {}", line_of(e.span().map_or(0, |s| s.start)), e.to_string().trim_end())
        })?;
        capacity.check().map_err(|(at, problem)| format!("{}: {problem}", line_of(at)))?;
        Ok(capacity)
    }

    /// Checks all values; the error describes the first invalid one.
    fn check(&self) -> Result<(), LocatedError> {
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
        self.compute_rows().map(drop)?;
        self.limits.check().map_err(|problem| (0, format!("limits.{problem}")))?;
        limits::Sizes::of(self).map(drop).map_err(|problem| (0, problem))
    }

    /// Returns all figures by name.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate name, or if a derived figure refers to an unknown or later figure.
    pub fn figures(&self) -> Result<BTreeMap<&str, f64>, LocatedError> {
        let mut all: BTreeMap<&str, f64> = BTreeMap::new();
        for figure in self.size.iter().chain(&self.assumed).chain(&self.budget) {
            insert_figure(&mut all, &figure.name, figure.value)?;
        }
        all.extend(self.limits.named_values());
        for derived in &self.derived {
            let value = product(&all, derived.factor, &derived.times, &derived.over)?;
            insert_figure(&mut all, &derived.name, value)?;
        }
        Ok(all)
    }

    /// Computes all rows.
    ///
    /// # Errors
    ///
    /// Fails on a reference to an unknown figure, slope or budget, and if a slope with points has no `at`.
    pub fn compute_rows(&self) -> Result<Vec<ComputedRow>, LocatedError> {
        let figures = self.figures()?;
        self.row.iter().map(|row| self.compute_row(row, &figures)).collect()
    }

    fn compute_row(&self, row: &Row, figures: &BTreeMap<&str, f64>) -> Result<ComputedRow, LocatedError> {
        let product = product(figures, row.factor, &row.times, &row.over)?;
        let (mut slope_value, mut slope_unit, mut description) = (Some(1.0), String::new(), Vec::new());
        if let Some(name) = &row.slope {
            let slope = self.slope.iter().find(|s| s.name.get_ref() == name.get_ref());
            let slope = slope.ok_or_else(|| unknown(name, "the name of a slope"))?;
            slope_unit = slope.unit.clone();
            slope_value = match (&row.at, slope.points.is_empty()) {
                (Some(at), _) => {
                    description.push(format!("at {}", at.get_ref().replace('_', " ")));
                    slope.at(look_up(figures, at)?)
                }
                (None, true) => slope.value,
                (None, false) => {
                    return Err((
                        name.span().start,
                        "slope: expected `at`, because the slope has points".into(),
                    ))
                }
            };
        }
        let mut factors: Vec<String> = Vec::new();
        if row.factor != 1.0 {
            factors.push(tables::format_number(row.factor));
        }
        factors.extend(row.times.iter().map(|n| n.get_ref().replace('_', " ")));
        factors.extend(row.over.iter().map(|n| format!("1/{}", n.get_ref().replace('_', " "))));
        if !factors.is_empty() {
            description.push(factors.join(" x "));
        }
        let product = slope_value.map(|slope| slope * product);
        let budget = row.budget.as_ref().map(|name| {
            let found = self.budget.iter().find(|b| b.name.get_ref() == name.get_ref());
            found.ok_or_else(|| unknown(name, "the name of a budget"))
        });
        let budget = budget.transpose()?;
        Ok(ComputedRow {
            role: row.role.clone(),
            moment: row.moment,
            need: row.need.clone(),
            slope: slope_value.filter(|_| row.slope.is_some()),
            slope_unit,
            sizes: description.join(", "),
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
    let is_positive = |v: f64| v.is_finite() && v > 0.0;
    if !slope.value.is_none_or(is_positive) || !slope.points.iter().flatten().copied().all(is_positive) {
        return Err("expected numbers above 0".into());
    }
    if slope.points.len() == 1 || !slope.points.windows(2).all(|w| w[0][0] < w[1][0]) {
        return Err("points: expected two or more, in the order of their sizes".into());
    }
    let measured = slope.value.is_some() || !slope.points.is_empty();
    if measured && (slope.command.is_empty() || slope.commit.is_empty()) {
        return Err("command, commit: expected the source of the values".into());
    }
    Ok(())
}

fn unknown(name: &NameRef, expected: &str) -> LocatedError {
    (name.span().start, format!("{}: expected {expected}", name.get_ref()))
}

fn insert_figure<'a>(
    figures: &mut BTreeMap<&'a str, f64>, name: &'a NameRef, value: f64,
) -> Result<(), LocatedError> {
    match figures.insert(name.get_ref(), value) {
        None => Ok(()),
        Some(_) => Err(unknown(name, "a name that no other figure has")),
    }
}

fn look_up(figures: &BTreeMap<&str, f64>, name: &NameRef) -> Result<f64, LocatedError> {
    let found = figures.get(name.get_ref().as_str()).copied();
    found.ok_or_else(|| unknown(name, "the name of a size, an assumption or a figure derived before"))
}

fn product(
    figures: &BTreeMap<&str, f64>, factor: f64, times: &[NameRef], over: &[NameRef],
) -> Result<f64, LocatedError> {
    let mut value = factor;
    for name in times {
        value *= look_up(figures, name)?;
    }
    for name in over {
        value /= look_up(figures, name)?;
    }
    Ok(value)
}
