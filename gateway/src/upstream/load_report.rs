//! Parsing of load reports, which endpoints send in responses to requests and to health checks.
use serde_json::{Map, Value};
use ternstack_balancer::LoadReport;

/// Parses a load report, either as text (`util=0.5,qps=20`) or as a JSON object, which the response to a
/// health check may contain.
///
/// Each value has the name that the settings use (`utilization`) or the platform's name (`util`). A value
/// that is not a finite number of at least 0 is left out, because load reports are advisory.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    if let Ok(object) = serde_json::from_str::<Map<String, Value>>(text) {
        object.iter().for_each(|(name, value)| set_value(&mut report, name, value.as_f64()));
    } else {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs.for_each(|(name, value)| set_value(&mut report, name.trim(), value.trim().parse().ok()));
    }
    report
}

fn set_value(report: &mut LoadReport, name: &str, value: Option<f64>) {
    let value = value.filter(|v| v.is_finite() && *v >= 0.0);
    match name {
        "utilization" | "util" => report.utilization = value,
        "throughput" | "qps" => report.throughput_per_s = value,
        "backlog" | "queue" => report.queue_length = value,
        _ => {}
    }
}
