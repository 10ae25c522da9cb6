//! Figures over seeds: mean, spread, worst, and whether two variants differ by more than noise.
use crate::experiment::VariantResults;
use crate::judge::Findings;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

/// A figure over the seeds of a variant.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Summary {
    /// Its mean.
    pub mean: f64,
    /// Its standard deviation; 0 for one seed.
    pub spread: f64,
    /// The least.
    pub least: f64,
    /// The greatest.
    pub most: f64,
}

impl Summary {
    /// Sums up some values; zeros for none.
    pub fn of(values: &[f64]) -> Self {
        if values.is_empty() {
            return Summary { mean: 0.0, spread: 0.0, least: 0.0, most: 0.0 };
        }
        let spread = if values.len() > 1 { values.std_dev() } else { 0.0 };
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Summary { mean: values.mean(), spread, least, most }
    }
}

/// What a comparison says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The second is better by more than noise.
    Better,
    /// It is worse by more than noise.
    Worse,
    /// The interval holds no difference.
    Noise,
}

/// A paired comparison of one figure.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Paired {
    /// Pairs.
    pub pairs: usize,
    /// Mean difference, the second less the first.
    pub difference: f64,
    /// Half the width of its interval of confidence of 95%.
    pub half_width: f64,
    /// What that says, where more is better.
    pub verdict: Verdict,
}

/// Compares by pairs. `None` for fewer than two pairs: nothing can be told from one.
pub fn paired(first: &[f64], second: &[f64]) -> Option<Paired> {
    let differences: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    let pairs = differences.len();
    if pairs < 2 {
        return None;
    }
    let difference = (&differences).mean();
    let deviation = (&differences).std_dev();
    let t = StudentsT::new(0.0, 1.0, (pairs - 1) as f64).ok()?.inverse_cdf(0.975);
    let half_width = t * deviation / (pairs as f64).sqrt();
    let verdict = if difference > half_width {
        Verdict::Better
    } else if difference < -half_width {
        Verdict::Worse
    } else {
        Verdict::Noise
    };
    Some(Paired { pairs, difference, half_width, verdict })
}

/// Compares a figure of two variants, seed by seed; seeds that only one of them has are left out.
pub fn compare(a: &VariantResults, b: &VariantResults, value: impl Fn(&Findings) -> f64) -> Option<Paired> {
    let of = |v: &VariantResults, seed| v.runs.iter().find(|r| r.seed == seed).map(|r| value(&r.findings));
    let pairs = a.runs.iter().filter_map(|r| Some((value(&r.findings), of(b, r.seed)?)));
    let (first, second): (Vec<f64>, Vec<f64>) = pairs.unzip();
    paired(&first, &second)
}
