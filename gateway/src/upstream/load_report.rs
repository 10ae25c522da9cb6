//! Parsing of endpoints' load reports.
use serde_json::{Map, Value};
use ternstack_balancer::LoadReport;

/// Parses a load report: `util=0.5,qps=20`, or the same as a JSON object, as a health check's response may carry it.
///
/// Each value goes by the settings' name (`utilization`) or the platform's (`util`). A value that is malformed or not a
/// number from 0 up is left out: a report is advice, and a bad one is no fault.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    if let Ok(object) = serde_json::from_str::<Map<String, Value>>(text) {
        object.iter().for_each(|(name, value)| set(&mut report, name, value.as_f64()));
    } else {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs.for_each(|(name, value)| set(&mut report, name.trim(), value.trim().parse().ok()));
    }
    report
}

fn set(report: &mut LoadReport, name: &str, value: Option<f64>) {
    let value = value.filter(|v| v.is_finite() && *v >= 0.0);
    match name {
        "utilization" | "util" => report.utilization = value,
        "throughput" | "qps" => report.throughput_per_s = value,
        "backlog" | "queue" => report.queue_length = value,
        _ => {}
    }
}
