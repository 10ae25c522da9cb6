//! Random streams and distributions. Each purpose draws from its own stream, so that a draw for one part of
//! the world never changes another part: all variants of an experiment see the same arrivals.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use serde::{Deserialize, Serialize};

/// Purpose of a random stream. The number is part of the stream's seed and must never change its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Sizes, speeds and limits of hosts.
    Fleet = 1,
    /// Times and properties of messages.
    Arrivals = 2,
    /// Events at a host: pauses, errors and the noise of load reports. One stream per host.
    Host = 3,
    /// Network latency.
    Network = 4,
    /// Delays of discovery.
    Discovery = 5,
    /// Hosts and gateways that a disturbance affects. One stream per disturbance.
    Disturbance = 6,
    /// Seeds of the gateways. One stream per gateway.
    Gateway = 7,
}

/// Returns the random stream of a purpose and one of its parts (a host, a disturbance), under the seed of a
/// run.
pub fn stream(seed: u64, purpose: Purpose, part: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(((purpose as u64) << 48) | part);
    rng
}

/// A number, or a range from which a uniform value is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Span {
    /// The same value in every draw.
    Fixed(f64),
    /// Lower and upper bound.
    Range([f64; 2]),
}

impl Span {
    /// Draws a value.
    pub fn draw(&self, rng: &mut impl RngExt) -> f64 {
        match *self {
            Span::Fixed(x) => x,
            Span::Range([low, high]) => low + (high - low) * rng.random::<f64>(),
        }
    }

    /// Returns the lower and the upper bound of the drawn values.
    pub fn bounds(&self) -> (f64, f64) {
        match *self {
            Span::Fixed(x) => (x, x),
            Span::Range([low, high]) => (low, high),
        }
    }
}

/// Shape of a distribution whose mean is given elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Shape {
    /// Always the mean.
    Constant,
    /// Exponential.
    #[default]
    Exponential,
    /// Log-normal.
    Lognormal {
        /// Coefficient of variation.
        cv: f64,
    },
    /// Pareto. The variance is infinite for a tail index of 2 or less.
    Pareto {
        /// Tail index; must be above 1.
        tail: f64,
    },
}

impl Shape {
    /// Draws a value from the distribution with mean 1.
    pub fn draw(&self, rng: &mut impl RngExt) -> f64 {
        match *self {
            Shape::Constant => 1.0,
            Shape::Exponential => Exp1.sample(rng),
            Shape::Lognormal { cv } => spread(cv, rng),
            // A scale of (tail - 1) / tail gives a mean of 1.
            Shape::Pareto { tail } => {
                Pareto::new((tail - 1.0) / tail, tail).map_or(1.0, |pareto| pareto.sample(rng))
            }
        }
    }

    /// Returns what is wrong with the parameters, if anything.
    pub fn problem(&self) -> Option<&'static str> {
        match *self {
            Shape::Lognormal { cv } if !(cv.is_finite() && cv >= 0.0) => Some("cv must be 0 or more"),
            Shape::Pareto { tail } if !(tail.is_finite() && tail > 1.0) => Some("tail must be above 1"),
            _ => None,
        }
    }
}

/// Draws a log-normal value with mean 1 and the given coefficient of variation; returns 1 if that is 0 or
/// less.
pub fn spread(cv: f64, rng: &mut impl RngExt) -> f64 {
    if cv <= 0.0 {
        return 1.0;
    }
    let variance = (1.0 + cv * cv).ln();
    LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |lognormal| lognormal.sample(rng))
}
