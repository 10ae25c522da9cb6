//! The state of the conversation with the simulator: the time, the gateways and the reply to the current
//! batch.

use crate::error::{FieldError, LineError};
use crate::events;
use crate::fields::Fields;
use crate::gateway::Gateway;
use crate::protocol::{self, field, line, EventKind, LineKind};
use crate::reply::Reply;
use std::collections::BTreeMap;
use ternstack_balancer::{Action, EndpointRecord, Event, UpdateKind};
use ternstack_settings::Deployment;

/// An endpoint update that still lacks some of the records that it announced.
struct PendingUpdate {
    kind: UpdateKind,
    /// Number of announced records that have not been received yet; at least 1.
    missing_count: usize,
    records: Vec<EndpointRecord>,
}

/// A conversation with the simulator.
#[derive(Default)]
pub struct Session {
    /// Simulated time in ms; `None` before the first time line.
    now_ms: Option<f64>,
    /// Name of the gateway that lines are for; `None` after a time line until a gateway is selected.
    selected: Option<String>,
    gateways: BTreeMap<String, Gateway>,
    pending_update: Option<PendingUpdate>,
    /// Actions of the last event; kept only so that the next event reuses the allocation.
    actions: Vec<Action>,
    reply: Reply,
}

impl Session {
    /// Handles one line without its line ending. Returns true if the line ends a batch.
    pub fn handle_line(&mut self, text: &str) -> Result<bool, LineError> {
        let (keyword, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.pending_update.is_some() && keyword != line::ENDPOINT_RECORD {
            return Err(LineError::RecordMissing);
        }
        match protocol::parse_line_kind(keyword) {
            None => {}
            Some(LineKind::Time) => {
                self.now_ms = Some(Fields::parse(rest)?.number(field::TIME_MS)?);
                self.selected = None;
            }
            Some(LineKind::SelectGateway) => {
                self.selected = Some(Fields::parse(rest)?.text(field::GATEWAY)?.to_string());
            }
            Some(LineKind::EndOfBatch) => {
                self.now_ms(keyword)?;
                return Ok(true);
            }
            Some(LineKind::StartGateway) => self.start_gateway(rest)?,
            Some(LineKind::RemoveGateway) => {
                let name = selected_gateway(&self.selected, keyword)?;
                self.gateways.remove(name);
            }
            Some(LineKind::Event(kind)) => self.handle_event(keyword, kind, rest)?,
        }
        Ok(false)
    }

    /// Returns the reply to the batch that has ended and begins the next reply.
    pub fn take_reply(&mut self) -> String {
        self.reply.finish()
    }

    /// Returns the simulated time in ms; `keyword` names the current line in the error.
    fn now_ms(&self, keyword: &str) -> Result<f64, LineError> {
        let out_of_order = || LineError::OutOfOrder { keyword: keyword.to_string(), required: line::TIME };
        self.now_ms.ok_or_else(out_of_order)
    }

    /// Starts the selected gateway with the seed and the settings in `rest`. A running gateway with the same
    /// name is replaced.
    fn start_gateway(&mut self, rest: &str) -> Result<(), LineError> {
        self.now_ms(line::START_GATEWAY)?;
        let name = selected_gateway(&self.selected, line::START_GATEWAY)?.to_string();
        let (other_fields, settings) = split_settings(rest).ok_or(LineError::SettingsMissing)?;
        let seed: u64 = Fields::parse(other_fields)?.parsed(field::SEED)?;
        let settings = serde_json::from_str(settings).map_err(LineError::SettingsSyntax)?;
        let deployment = Deployment::from_json(&settings)?;
        self.gateways.insert(name, Gateway::new(deployment, seed)?);
        Ok(())
    }

    fn handle_event(&mut self, keyword: &str, kind: EventKind, rest: &str) -> Result<(), LineError> {
        let now_ms = self.now_ms(keyword)?;
        let name = selected_gateway(&self.selected, keyword)?;
        let unknown_gateway =
            || LineError::UnknownGateway { keyword: keyword.to_string(), gateway: name.to_string() };
        let gateway = self.gateways.get_mut(name).ok_or_else(unknown_gateway)?;
        let event_error = |source| LineError::Event { keyword: keyword.to_string(), source };
        let fields = Fields::parse(rest).map_err(event_error)?;
        let pending = &mut self.pending_update;
        let event = match kind {
            EventKind::EndpointUpdate => start_update(pending, &fields, event_error)?,
            EventKind::EndpointRecord => {
                let record = events::read_endpoint_record(gateway, &fields).map_err(event_error)?;
                add_record(pending, record)?
            }
            EventKind::RequestArrival => Some(events::read_arrival(gateway, &fields).map_err(event_error)?),
            EventKind::ResponseStarted => {
                Some(events::read_response_start(gateway, &fields).map_err(event_error)?)
            }
            EventKind::AttemptEnd => Some(events::read_attempt_end(gateway, &fields).map_err(event_error)?),
            EventKind::ClientDisconnected => {
                Some(events::read_client_disconnect(gateway, &fields).map_err(event_error)?)
            }
            EventKind::HealthCheckEnd => {
                Some(events::read_health_check_end(gateway, &fields).map_err(event_error)?)
            }
            EventKind::Timer => Some(events::read_timer(&fields).map_err(event_error)?),
        };
        let Some(event) = event else { return Ok(()) };
        self.actions.clear();
        gateway.balancer.handle(now_ms, event, &mut self.actions);
        self.reply.add_actions(name, gateway, &self.actions);
        Ok(())
    }
}

/// Returns the name of the gateway that lines are for; `keyword` names the current line in the error.
fn selected_gateway<'a>(selected: &'a Option<String>, keyword: &str) -> Result<&'a str, LineError> {
    let out_of_order =
        || LineError::OutOfOrder { keyword: keyword.to_string(), required: line::SELECT_GATEWAY };
    selected.as_deref().ok_or_else(out_of_order)
}

/// Splits the fields of an INIT line into the text before the settings and the settings themselves. The
/// settings extend to the end of the line, because JSON may contain spaces and equals signs.
fn split_settings(rest: &str) -> Option<(&str, &str)> {
    let settings_field = format!("{}=", field::SETTINGS);
    let start = rest.find(&settings_field)?;
    let starts_field = start == 0 || rest[..start].ends_with(' ');
    starts_field.then(|| (rest[..start].trim_end(), &rest[start + settings_field.len()..]))
}

/// Returns the event of an endpoint update without records. An update with records is stored in `pending`
/// until all of its records have been received.
fn start_update(
    pending: &mut Option<PendingUpdate>, fields: &Fields, event_error: impl Fn(FieldError) -> LineError,
) -> Result<Option<Event>, LineError> {
    let kind = events::read_update_kind(fields).map_err(|error| match error {
        FieldError::UnknownValue { .. } => event_error(error),
        other => LineError::Field(other),
    })?;
    let missing_count: usize = fields.parsed_or(field::RECORD_COUNT, 0)?;
    if missing_count == 0 {
        return Ok(Some(Event::EndpointUpdate { kind, endpoints: Vec::new() }));
    }
    *pending = Some(PendingUpdate { kind, missing_count, records: Vec::new() });
    Ok(None)
}

/// Adds a record to the pending update. Returns the event of the update once all of its records have been
/// received.
fn add_record(
    pending: &mut Option<PendingUpdate>, record: EndpointRecord,
) -> Result<Option<Event>, LineError> {
    let mut update = pending.take().ok_or(LineError::RecordOutsideUpdate)?;
    update.records.push(record);
    update.missing_count -= 1;
    if update.missing_count > 0 {
        *pending = Some(update);
        return Ok(None);
    }
    Ok(Some(Event::EndpointUpdate { kind: update.kind, endpoints: update.records }))
}
