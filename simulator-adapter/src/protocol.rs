//! The words of the simulator's line protocol, each with the term that the code uses for it.

use ternstack_balancer::{Outcome, Readiness, UpdateKind};

/// What a line of a batch says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// The time of the batch.
    Time,
    /// The gateway that the following lines are for.
    SelectGateway,
    /// The end of the batch.
    EndOfBatch,
    /// The gateway starts, or starts anew.
    StartGateway,
    /// The gateway is gone.
    RemoveGateway,
    /// An event of the gateway.
    Event(EventKind),
}

/// What an event's line says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// An update of the endpoint list; its records follow.
    EndpointUpdate,
    /// A record of the endpoint list.
    EndpointRecord,
    /// A request has arrived.
    RequestArrival,
    /// The response of a streamed class has begun.
    ResponseStarted,
    /// An attempt has ended.
    AttemptEnd,
    /// The client no longer waits.
    ClientDisconnected,
    /// A health check has ended.
    HealthCheckEnd,
    /// A timer is due.
    Timer,
}

/// The words that lines begin with.
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

/// The names of fields in lines of the simulator.
pub mod field {
    pub const TIME_MS: &str = "sim_time_ms";
    pub const GATEWAY: &str = "i";
    pub const SEED: &str = "prng";
    /// The settings: JSON up to the end of the line.
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

/// The names of values in a load report; `ABSENT` stands for a report without values.
pub mod report {
    pub const ABSENT: &str = "-";
    pub const UTILIZATION: &str = "utilization";
    pub const THROUGHPUT_PER_S: &str = "throughput";
    pub const QUEUE_LENGTH: &str = "backlog";
}

/// The words for kinds of endpoint updates.
pub mod update_kind_word {
    pub const DELTA: &str = "incr";
    pub const COMPLETE: &str = "total";
    pub const CACHED: &str = "warm_copy";
    pub const WATCH_LOST: &str = "lost";
}

/// The words for readiness of endpoints.
pub mod readiness_word {
    pub const ACTIVE: &str = "active";
    pub const DRAINING: &str = "leaving";
    pub const REMOVED: &str = "left";
}

/// The words for outcomes of attempts and health checks.
pub mod outcome_word {
    pub const SERVED: &str = "served";
    pub const SERVER_ERROR: &str = "server_error";
    pub const REJECTED: &str = "turned_away";
    pub const RESPONSE_TIMEOUT: &str = "no_answer";
    pub const CONNECT_FAILED: &str = "no_connection";
    pub const CONNECTION_LOST: &str = "connection_lost";
    pub const CANCELLED: &str = "called_off";
    pub const NOT_SENT: &str = "not_sent";
}

/// The kind of a line by its word; `None` for lines of newer protocols, which are skipped.
pub fn line_kind(word: &str) -> Option<LineKind> {
    let event = match word {
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

/// The kind of an endpoint update by its word.
pub fn update_kind(word: &str) -> Option<UpdateKind> {
    match word {
        update_kind_word::DELTA => Some(UpdateKind::Delta),
        update_kind_word::COMPLETE => Some(UpdateKind::Complete),
        update_kind_word::CACHED => Some(UpdateKind::Cached),
        update_kind_word::WATCH_LOST => Some(UpdateKind::WatchLost),
        _ => None,
    }
}

/// An endpoint's readiness by its word.
pub fn readiness(word: &str) -> Option<Readiness> {
    match word {
        readiness_word::ACTIVE => Some(Readiness::Active),
        readiness_word::DRAINING => Some(Readiness::Draining),
        readiness_word::REMOVED => Some(Readiness::Removed),
        _ => None,
    }
}

/// The outcome of an attempt or health check by its word.
pub fn outcome(word: &str) -> Option<Outcome> {
    match word {
        outcome_word::SERVED => Some(Outcome::Served),
        outcome_word::SERVER_ERROR => Some(Outcome::ServerError),
        outcome_word::REJECTED => Some(Outcome::Rejected),
        outcome_word::RESPONSE_TIMEOUT => Some(Outcome::ResponseTimeout),
        outcome_word::CONNECT_FAILED => Some(Outcome::ConnectFailed),
        outcome_word::CONNECTION_LOST => Some(Outcome::ConnectionLost),
        outcome_word::CANCELLED => Some(Outcome::Cancelled),
        outcome_word::NOT_SENT => Some(Outcome::NotSent),
        _ => None,
    }
}
