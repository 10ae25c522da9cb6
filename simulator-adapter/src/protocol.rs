//! The words of the simulator's line protocol, mapped to the terms of the balancer.

use ternstack_balancer::{Outcome, Readiness, UpdateKind};

/// The kind of a line, as given by its keyword.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Sets the time of the lines that follow.
    Time,
    /// Selects the gateway that the following lines are for.
    SelectGateway,
    EndOfBatch,
    /// Starts the selected gateway, or replaces it by a new one with the same name.
    StartGateway,
    /// Removes the selected gateway with all its state.
    RemoveGateway,
    /// An event for the selected gateway.
    Event(EventKind),
}

/// The kind of an event, as given by the keyword of its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// An update of the endpoint list; a line for each record of the update follows.
    EndpointUpdate,
    /// The record of one endpoint, as part of the endpoint update that an earlier line started.
    EndpointRecord,
    RequestArrival,
    /// The response to a request of a streamed class has started.
    ResponseStarted,
    AttemptEnd,
    /// A client has disconnected before the end of its request.
    ClientDisconnected,
    HealthCheckEnd,
    Timer,
}

/// The keywords, which are the first words of lines.
pub mod line {
    pub const TIME: &str = "ROUND";
    pub const SELECT_GATEWAY: &str = "TO";
    pub const END_OF_BATCH: &str = "FLUSH";
    pub const START_GATEWAY: &str = "INIT";
    pub const REMOVE_GATEWAY: &str = "RETIRE";
    pub const ENDPOINT_UPDATE: &str = "TOPOLOGY";
    pub const ENDPOINT_RECORD: &str = "M";
    pub const REQUEST_ARRIVAL: &str = "ACCEPT";
    pub const RESPONSE_STARTED: &str = "BEGUN";
    pub const ATTEMPT_END: &str = "ATTEMPT_END";
    pub const CLIENT_DISCONNECTED: &str = "CANCELLED_BY_CLIENT";
    pub const HEALTH_CHECK_END: &str = "HEALTH_RESULT";
    pub const TIMER: &str = "BELL";
}

/// The names of the fields in the simulator's lines.
pub mod field {
    pub const TIME_MS: &str = "sim_time_ms";
    pub const GATEWAY: &str = "i";
    pub const SEED: &str = "prng";
    /// The settings of the gateway: JSON that extends to the end of the line and may contain spaces.
    pub const SETTINGS: &str = "conf";
    pub const UPDATE_KIND: &str = "mode";
    pub const RECORD_COUNT: &str = "hosts";
    pub const ENDPOINT: &str = "host";
    pub const ZONE: &str = "area";
    pub const CELL: &str = "bay";
    pub const WEIGHT: &str = "heft";
    pub const READINESS: &str = "readiness";
    pub const STARTED_AT_MS: &str = "last_start_ms";
    pub const REQUEST: &str = "id";
    pub const CLASS: &str = "cls";
    pub const TENANT: &str = "project";
    pub const CLIENT_TIMEOUT_MS: &str = "patience_left_ms";
    pub const ATTEMPT: &str = "try";
    pub const OUTCOME: &str = "state_code";
    pub const LATENCY_MS: &str = "latency_ms";
    pub const REQUEST_COMPLETE: &str = "complete";
    pub const LOAD_REPORT: &str = "telemetry";
    pub const TIMER_TOKEN: &str = "ref";
}

/// The names of values in a load report; `ABSENT` stands in place of the pairs of a report without values.
pub mod report {
    pub const ABSENT: &str = "-";
    pub const UTILIZATION: &str = "utilization";
    pub const THROUGHPUT_PER_S: &str = "throughput";
    pub const QUEUE_LENGTH: &str = "backlog";
}

/// The values of the field that gives the kind of an endpoint update.
pub mod update_kind_value {
    pub const DELTA: &str = "incr";
    pub const COMPLETE: &str = "total";
    pub const CACHED: &str = "warm_copy";
    pub const WATCH_LOST: &str = "lost";
}

/// The values of the field that gives the readiness of an endpoint.
pub mod readiness_value {
    pub const ACTIVE: &str = "active";
    pub const DRAINING: &str = "leaving";
    pub const REMOVED: &str = "left";
}

/// The values of the field that gives the outcome of an attempt or a health check.
pub mod outcome_value {
    pub const SERVED: &str = "served";
    pub const SERVER_ERROR: &str = "server_error";
    pub const REJECTED: &str = "turned_away";
    pub const RESPONSE_TIMEOUT: &str = "no_answer";
    pub const CONNECT_FAILED: &str = "no_connection";
    pub const CONNECTION_LOST: &str = "connection_lost";
    pub const CANCELLED: &str = "called_off";
    pub const NOT_SENT: &str = "not_sent";
}

/// Returns the kind of a line by its keyword. Lines with an unknown keyword (`None`) are skipped, because
/// newer versions of the protocol may add keywords.
pub fn parse_line_kind(keyword: &str) -> Option<LineKind> {
    let event = match keyword {
        line::TIME => return Some(LineKind::Time),
        line::SELECT_GATEWAY => return Some(LineKind::SelectGateway),
        line::END_OF_BATCH => return Some(LineKind::EndOfBatch),
        line::START_GATEWAY => return Some(LineKind::StartGateway),
        line::REMOVE_GATEWAY => return Some(LineKind::RemoveGateway),
        line::ENDPOINT_UPDATE => EventKind::EndpointUpdate,
        line::ENDPOINT_RECORD => EventKind::EndpointRecord,
        line::REQUEST_ARRIVAL => EventKind::RequestArrival,
        line::RESPONSE_STARTED => EventKind::ResponseStarted,
        line::ATTEMPT_END => EventKind::AttemptEnd,
        line::CLIENT_DISCONNECTED => EventKind::ClientDisconnected,
        line::HEALTH_CHECK_END => EventKind::HealthCheckEnd,
        line::TIMER => EventKind::Timer,
        _ => return None,
    };
    Some(LineKind::Event(event))
}

/// Returns the kind of an endpoint update, or `None` for an unknown value.
pub fn parse_update_kind(value: &str) -> Option<UpdateKind> {
    match value {
        update_kind_value::DELTA => Some(UpdateKind::Delta),
        update_kind_value::COMPLETE => Some(UpdateKind::Complete),
        update_kind_value::CACHED => Some(UpdateKind::Cached),
        update_kind_value::WATCH_LOST => Some(UpdateKind::WatchLost),
        _ => None,
    }
}

/// Returns the readiness of an endpoint, or `None` for an unknown value.
pub fn parse_readiness(value: &str) -> Option<Readiness> {
    match value {
        readiness_value::ACTIVE => Some(Readiness::Active),
        readiness_value::DRAINING => Some(Readiness::Draining),
        readiness_value::REMOVED => Some(Readiness::Removed),
        _ => None,
    }
}

/// Returns the outcome of an attempt or a health check, or `None` for an unknown value.
pub fn parse_outcome(value: &str) -> Option<Outcome> {
    match value {
        outcome_value::SERVED => Some(Outcome::Served),
        outcome_value::SERVER_ERROR => Some(Outcome::ServerError),
        outcome_value::REJECTED => Some(Outcome::Rejected),
        outcome_value::RESPONSE_TIMEOUT => Some(Outcome::ResponseTimeout),
        outcome_value::CONNECT_FAILED => Some(Outcome::ConnectFailed),
        outcome_value::CONNECTION_LOST => Some(Outcome::ConnectionLost),
        outcome_value::CANCELLED => Some(Outcome::Cancelled),
        outcome_value::NOT_SENT => Some(Outcome::NotSent),
        _ => None,
    }
}
