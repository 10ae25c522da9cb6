//! Counts of replication messages and bytes, by cause.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A number of messages and their bytes. Both are fractional because they are also used as rates and means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MessageTotals {
    /// Number of messages.
    pub messages: f64,
    /// Bytes of the messages' frames.
    pub bytes: f64,
}

/// The messages that one or several processes read and wrote, by the cause of a message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages read from peers, by cause.
    pub read: BTreeMap<String, MessageTotals>,
    /// Messages written to peers, by cause.
    pub written: BTreeMap<String, MessageTotals>,
}

impl Traffic {
    /// Combines the totals of each cause; a cause that one side lacks counts as 0 there.
    fn combine(&self, other: &Traffic, operation: impl Fn(f64, f64) -> f64) -> Traffic {
        let combine_maps = |left: &BTreeMap<String, MessageTotals>,
                            right: &BTreeMap<String, MessageTotals>| {
            let causes = left.keys().chain(right.keys());
            let totals = causes.map(|cause| {
                let totals_in =
                    |map: &BTreeMap<String, MessageTotals>| map.get(cause).copied().unwrap_or_default();
                let (left, right) = (totals_in(left), totals_in(right));
                let combined = MessageTotals {
                    messages: operation(left.messages, right.messages),
                    bytes: operation(left.bytes, right.bytes),
                };
                (cause.clone(), combined)
            });
            totals.collect()
        };
        Traffic {
            read: combine_maps(&self.read, &other.read),
            written: combine_maps(&self.written, &other.written),
        }
    }

    /// Returns the sum of two traffics, cause by cause.
    pub fn plus(&self, other: &Traffic) -> Traffic {
        self.combine(other, |a, b| a + b)
    }

    /// Returns the increase since an earlier reading. A process restarted in between counts from 0 again, so
    /// a decrease is taken as 0.
    pub fn since(&self, before: &Traffic) -> Traffic {
        self.combine(before, |a, b| (a - b).max(0.0))
    }

    /// Returns the traffic with all totals divided by `divisor`, as for a rate or a mean.
    pub fn divided_by(&self, divisor: f64) -> Traffic {
        self.combine(&Traffic::default(), |a, _| a / divisor)
    }

    /// Returns the totals of all messages read.
    pub fn total_read(&self) -> MessageTotals {
        total(&self.read)
    }

    /// Returns the totals of all messages written.
    pub fn total_written(&self) -> MessageTotals {
        total(&self.written)
    }
}

fn total(by_cause: &BTreeMap<String, MessageTotals>) -> MessageTotals {
    by_cause.values().fold(MessageTotals::default(), |a, b| MessageTotals {
        messages: a.messages + b.messages,
        bytes: a.bytes + b.bytes,
    })
}
