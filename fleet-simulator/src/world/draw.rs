//! Random streams and distributions. Each purpose draws from a stream of its own, so that nothing that one
//! part draws, or leaves out, changes what another part sees: variants of an experiment meet the same arrivals.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use serde::{Deserialize, Serialize};

/// What a stream of random numbers is for. The number is part of the seed: it must never change its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Sizes, speeds and limits of the hosts.
    Fleet = 1,
    /// When messages arrive, and what they are.
    Arrivals = 2,
    /// What happens at a host: pauses, errors, noise of its reports. One stream a host.
    Host = 3,
    /// Latency of the network.
    Network = 4,
    /// Delays of discovery.
    Discovery = 5,
    /// Which parts of the world a trouble strikes. One stream a trouble.
    Trouble = 6,
    /// The seeds that gateways are started with. One stream a gateway.
    Gateway = 7,
}

/// The stream of a purpose, of one of its parts (a host, a trouble), under a run's seed.
pub fn stream(seed: u64, purpose: Purpose, part: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(((purpose as u64) << 48) | part);
    rng
}

/// A figure, or a range from which each run draws it evenly.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Span {
    /// The same in every run.
    Fixed(f64),
    /// From the first to the second.
    Range([f64; 2]),
}

impl Span {
    /// Draws the figure.
    pub fn draw(&self, rng: &mut impl RngExt) -> f64 {
        match *self {
            Span::Fixed(x) => x,
            Span::Range([low, high]) => low + (high - low) * rng.random::<f64>(),
        }
    }

    /// The least and the greatest that may be drawn.
    pub fn bounds(&self) -> (f64, f64) {
        match *self {
            Span::Fixed(x) => (x, x),
            Span::Range([low, high]) => (low, high),
        }
    }
}

/// The shape of a distribution with a given mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Shape {
    /// Always the mean.
    Constant,
    /// Memoryless.
    #[default]
    Exponential,
    /// Log-normal with this coefficient of variation.
    Lognormal {
        /// Standard deviation over mean.
        cv: f64,
    },
    /// Pareto with this tail index, above 1: at 2 and less the variance has no bound.
    Pareto {
        /// The power of the tail.
        tail: f64,
    },
}

impl Shape {
    /// A draw whose mean over many is 1.
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

    /// What is wrong with the shape, if anything is.
    pub fn problem(&self) -> Option<&'static str> {
        match *self {
            Shape::Lognormal { cv } if !(cv.is_finite() && cv >= 0.0) => Some("cv must be 0 or more"),
            Shape::Pareto { tail } if !(tail.is_finite() && tail > 1.0) => Some("tail must be above 1"),
            _ => None,
        }
    }
}

/// A log-normal draw of mean 1 with the given coefficient of variation; 1 for none.
pub fn spread(cv: f64, rng: &mut impl RngExt) -> f64 {
    if cv <= 0.0 {
        return 1.0;
    }
    let variance = (1.0 + cv * cv).ln();
    LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |lognormal| lognormal.sample(rng))
}
