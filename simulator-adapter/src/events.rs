//! Converts the fields of event lines to the balancer's events.

use crate::error::FieldError;
use crate::fields::Fields;
use crate::gateway::Gateway;
use crate::protocol::{self, field, report};
use ternstack_balancer::{
    Arrival, AttemptEnd, EndpointRecord, Event, LoadReport, Outcome, Readiness, UpdateKind,
};
use ternstack_settings::stable_hash;

/// Weight of an endpoint whose record has no weight.
const DEFAULT_WEIGHT: f64 = 1.0;

pub fn read_update_kind(fields: &Fields) -> Result<UpdateKind, FieldError> {
    parse_known_value(field::UPDATE_KIND, fields.text(field::UPDATE_KIND)?, protocol::parse_update_kind)
}

pub fn read_endpoint_record(gateway: &mut Gateway, fields: &Fields) -> Result<EndpointRecord, FieldError> {
    let readiness: Readiness =
        parse_known_value(field::READINESS, fields.text(field::READINESS)?, protocol::parse_readiness)?;
    let name = fields.text(field::ENDPOINT)?;
    Ok(EndpointRecord {
        endpoint: gateway.endpoint_id(name),
        hash: stable_hash(name),
        weight: fields.number_or(field::WEIGHT, DEFAULT_WEIGHT)?,
        zone: gateway.names.zone_number(fields.text_or(field::ZONE, "")),
        cell: fields.parsed_or(field::CELL, 0)?,
        readiness,
        started_at_ms: fields.number_or(field::STARTED_AT_MS, 0.0)?,
    })
}

/// Reads the arrival of a request. An unknown tenant reads as no tenant, an unknown class is an error.
pub fn read_arrival(gateway: &mut Gateway, fields: &Fields) -> Result<Event, FieldError> {
    let class_name = fields.text(field::CLASS)?;
    let unknown_class = || FieldError::UnknownClass { name: field::CLASS, class: class_name.to_string() };
    Ok(Event::Request(Arrival {
        class: gateway.names.class_index(class_name).ok_or_else(unknown_class)?,
        tenant: gateway.names.tenant_index(fields.text_or(field::TENANT, "")),
        client_timeout_ms: fields.number(field::CLIENT_TIMEOUT_MS)?,
        request: gateway.request_id(fields.text(field::REQUEST)?),
    }))
}

/// Reads the start of a streamed response.
pub fn read_response_start(gateway: &mut Gateway, fields: &Fields) -> Result<Event, FieldError> {
    Ok(Event::ResponseStarted { request: gateway.request_id(fields.text(field::REQUEST)?) })
}

pub fn read_attempt_end(gateway: &mut Gateway, fields: &Fields) -> Result<Event, FieldError> {
    Ok(Event::AttemptEnd(AttemptEnd {
        attempt: fields.parsed(field::ATTEMPT)?,
        endpoint: gateway.endpoint_id(fields.text(field::ENDPOINT)?),
        outcome: read_outcome(fields)?,
        latency_ms: fields.number(field::LATENCY_MS)?,
        request_complete: fields.flag(field::REQUEST_COMPLETE)?,
        report: read_load_report(fields)?,
        request: gateway.request_id(fields.text(field::REQUEST)?),
    }))
}

pub fn read_client_disconnect(gateway: &mut Gateway, fields: &Fields) -> Result<Event, FieldError> {
    Ok(Event::ClientDisconnected { request: gateway.request_id(fields.text(field::REQUEST)?) })
}

pub fn read_health_check_end(gateway: &mut Gateway, fields: &Fields) -> Result<Event, FieldError> {
    Ok(Event::HealthCheckEnd {
        endpoint: gateway.endpoint_id(fields.text(field::ENDPOINT)?),
        outcome: read_outcome(fields)?,
        report: read_load_report(fields)?,
    })
}

pub fn read_timer(fields: &Fields) -> Result<Event, FieldError> {
    Ok(Event::Timer { token: fields.parsed(field::TIMER_TOKEN)? })
}

fn read_outcome(fields: &Fields) -> Result<Outcome, FieldError> {
    parse_known_value(field::OUTCOME, fields.text(field::OUTCOME)?, protocol::parse_outcome)
}

/// Reads a load report: `name:value` pairs separated by commas. Pairs with an unknown name are skipped.
fn read_load_report(fields: &Fields) -> Result<LoadReport, FieldError> {
    let name = field::LOAD_REPORT;
    let text = fields.text_or(name, "");
    let mut load_report = LoadReport::default();
    for pair in text.split(',').filter(|pair| !pair.is_empty() && *pair != report::ABSENT) {
        let (metric, value) = pair
            .split_once(':')
            .ok_or_else(|| FieldError::ReportNotAPair { name, pair: pair.to_string() })?;
        let slot = match metric {
            report::UTILIZATION => &mut load_report.utilization,
            report::QUEUE_LENGTH => &mut load_report.queue_length,
            report::THROUGHPUT_PER_S => &mut load_report.throughput_per_s,
            _ => continue,
        };
        let number =
            value.parse().map_err(|_| FieldError::ReportNotANumber { name, pair: pair.to_string() })?;
        *slot = Some(number);
    }
    Ok(load_report)
}

/// Parses the value of a field with `parse`; the error for an unknown value names the field and the value.
fn parse_known_value<T>(
    name: &'static str, value: &str, parse: impl Fn(&str) -> Option<T>,
) -> Result<T, FieldError> {
    parse(value).ok_or_else(|| FieldError::UnknownValue { name, value: value.to_string() })
}
