//! Statistics over seeds: mean, deviation, extremes, and paired comparisons of variants.
use crate::experiment::VariantResults;
use crate::judge::Findings;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

/// Summary of a value over the seeds of a variant.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Summary {
    /// Mean.
    pub mean: f64,
    /// Standard deviation; 0 for a single seed.
    pub spread: f64,
    /// Smallest value.
    pub least: f64,
    /// Largest value.
    pub most: f64,
}

impl Summary {
    /// Summarizes values; all zeros for none.
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

/// Verdict of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The second variant is significantly better.
    Better,
    /// The second variant is significantly worse.
    Worse,
    /// The confidence interval includes no difference.
    Noise,
}

/// Paired comparison of one value.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PairedComparison {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean difference, second minus first.
    pub difference: f64,
    /// Half the width of the 95% confidence interval of the difference.
    pub half_width: f64,
    /// Verdict on the second variant, for a value of which more is better.
    pub verdict: Verdict,
}

/// Compares two series pair by pair. Returns `None` for fewer than two pairs, because their variance is
/// unknown.
pub fn compare_pairs(first: &[f64], second: &[f64]) -> Option<PairedComparison> {
    let differences: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    let pairs = differences.len();
    if pairs < 2 {
        return None;
    }
    let difference = (&differences).mean();
    let deviation = (&differences).std_dev();
    let quantile = StudentsT::new(0.0, 1.0, (pairs - 1) as f64).ok()?.inverse_cdf(0.975);
    let half_width = quantile * deviation / (pairs as f64).sqrt();
    let verdict = if difference > half_width {
        Verdict::Better
    } else if difference < -half_width {
        Verdict::Worse
    } else {
        Verdict::Noise
    };
    Some(PairedComparison { pairs, difference, half_width, verdict })
}

/// Compares a value of two variants seed by seed; seeds that only one of them has are left out.
pub fn compare_variants(
    a: &VariantResults, b: &VariantResults, value: impl Fn(&Findings) -> f64,
) -> Option<PairedComparison> {
    let of = |v: &VariantResults, seed| v.runs.iter().find(|r| r.seed == seed).map(|r| value(&r.findings));
    let pairs = a.runs.iter().filter_map(|r| Some((value(&r.findings), of(b, r.seed)?)));
    let (first, second): (Vec<f64>, Vec<f64>) = pairs.unzip();
    compare_pairs(&first, &second)
}
