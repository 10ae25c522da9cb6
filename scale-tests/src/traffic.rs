//! Messages and bytes by cause.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Messages.
    pub messages: f64,
    /// Bytes of their frames.
    pub bytes: f64,
}

/// By cause, what was read and what was written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// From others.
    pub read: BTreeMap<String, Sum>,
    /// To others.
    pub written: BTreeMap<String, Sum>,
}

impl Traffic {
    fn each(&self, other: &Traffic, with: impl Fn(f64, f64) -> f64) -> Traffic {
        let one = |a: &BTreeMap<String, Sum>, b: &BTreeMap<String, Sum>| {
            let causes = a.keys().chain(b.keys());
            let sums = causes.map(|cause| {
                let of = |m: &BTreeMap<String, Sum>| m.get(cause).copied().unwrap_or_default();
                let (a, b) = (of(a), of(b));
                let sum = Sum { messages: with(a.messages, b.messages), bytes: with(a.bytes, b.bytes) };
                (cause.clone(), sum)
            });
            sums.collect()
        };
        Traffic { read: one(&self.read, &other.read), written: one(&self.written, &other.written) }
    }

    /// Both together.
    pub fn plus(&self, other: &Traffic) -> Traffic {
        self.each(other, |a, b| a + b)
    }

    /// What came since `before`. Whoever was started anew has counted from zero: that counts as nothing less.
    pub fn since(&self, before: &Traffic) -> Traffic {
        self.each(before, |a, b| (a - b).max(0.0))
    }

    /// A part of it.
    pub fn over(&self, by: f64) -> Traffic {
        self.each(&Traffic::default(), |a, _| a / by)
    }

    /// All that was read.
    pub fn all_read(&self) -> Sum {
        all(&self.read)
    }

    /// All that was written.
    pub fn all_written(&self) -> Sum {
        all(&self.written)
    }
}

fn all(sums: &BTreeMap<String, Sum>) -> Sum {
    sums.values()
        .fold(Sum::default(), |a, b| Sum { messages: a.messages + b.messages, bytes: a.bytes + b.bytes })
}
