//! The state of a conversation with the simulator: its time, the gateways, and the reply to the batch.

use crate::error::{FieldError, LineError};
use crate::events;
use crate::fields::Fields;
use crate::gateway::Gateway;
use crate::protocol::{self, field, line, EventKind, LineKind};
use crate::reply::Reply;
use std::collections::BTreeMap;
use ternstack_balancer::{Action, EndpointRecord, Event, UpdateKind};
use ternstack_settings::Deployment;

/// An endpoint update whose records are still to come.
struct PendingUpdate {
    kind: UpdateKind,
    missing_count: usize,
    records: Vec<EndpointRecord>,
}

/// The conversation so far.
#[derive(Default)]
pub struct Session {
    now_ms: Option<f64>,
    /// The name of the gateway that lines are for.
    selected: Option<String>,
    gateways: BTreeMap<String, Gateway>,
    pending_update: Option<PendingUpdate>,
    /// Kept between events, so that it need not be allocated anew.
    actions: Vec<Action>,
    reply: Reply,
}

impl Session {
    /// Takes one line without its end; true at the end of a batch.
    pub fn take_line(&mut self, text: &str) -> Result<bool, LineError> {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.pending_update.is_some() && word != line::ENDPOINT_RECORD {
            return Err(LineError::RecordMissing);
        }
        match protocol::line_kind(word) {
            None => {}
            Some(LineKind::Time) => {
                self.now_ms = Some(Fields::parse(rest)?.number(field::TIME_MS)?);
                self.selected = None;
            }
            Some(LineKind::SelectGateway) => {
                self.selected = Some(Fields::parse(rest)?.text(field::GATEWAY)?.to_string());
            }
            Some(LineKind::EndOfBatch) => {
                self.now_ms(word)?;
                return Ok(true);
            }
            Some(LineKind::StartGateway) => self.start_gateway(rest)?,
            Some(LineKind::RemoveGateway) => {
                let name = selected_gateway(&self.selected, word)?;
                self.gateways.remove(name);
            }
            Some(LineKind::Event(kind)) => self.take_event(word, kind, rest)?,
        }
        Ok(false)
    }

    /// The reply to the batch that has ended.
    pub fn take_reply(&mut self) -> String {
        self.reply.finish()
    }

    fn now_ms(&self, word: &str) -> Result<f64, LineError> {
        let out_of_order = || LineError::OutOfOrder { word: word.to_string(), required: line::TIME };
        self.now_ms.ok_or_else(out_of_order)
    }

    fn start_gateway(&mut self, rest: &str) -> Result<(), LineError> {
        self.now_ms(line::START_GATEWAY)?;
        let name = selected_gateway(&self.selected, line::START_GATEWAY)?.to_string();
        let (head, settings) = split_settings(rest).ok_or(LineError::SettingsMissing)?;
        let seed: u64 = Fields::parse(head)?.parsed(field::SEED)?;
        let settings = serde_json::from_str(settings).map_err(LineError::SettingsSyntax)?;
        let deployment = Deployment::from_json(&settings)?;
        self.gateways.insert(name, Gateway::new(deployment, seed)?);
        Ok(())
    }

    fn take_event(&mut self, word: &str, kind: EventKind, rest: &str) -> Result<(), LineError> {
        let now_ms = self.now_ms(word)?;
        let name = selected_gateway(&self.selected, word)?;
        let unknown_gateway =
            || LineError::UnknownGateway { word: word.to_string(), gateway: name.to_string() };
        let gateway = self.gateways.get_mut(name).ok_or_else(unknown_gateway)?;
        let in_event = |source| LineError::Event { word: word.to_string(), source };
        let fields = Fields::parse(rest).map_err(in_event)?;
        let pending = &mut self.pending_update;
        let event = match kind {
            EventKind::EndpointUpdate => begin_update(pending, &fields, in_event)?,
            EventKind::EndpointRecord => {
                let record = events::read_endpoint_record(gateway, &fields).map_err(in_event)?;
                add_record(pending, record)?
            }
            EventKind::RequestArrival => Some(events::read_arrival(gateway, &fields).map_err(in_event)?),
            EventKind::ResponseStarted => {
                Some(events::read_response_start(gateway, &fields).map_err(in_event)?)
            }
            EventKind::AttemptEnd => Some(events::read_attempt_end(gateway, &fields).map_err(in_event)?),
            EventKind::ClientDisconnected => {
                Some(events::read_client_disconnect(gateway, &fields).map_err(in_event)?)
            }
            EventKind::HealthCheckEnd => {
                Some(events::read_health_check_end(gateway, &fields).map_err(in_event)?)
            }
            EventKind::Timer => Some(events::read_timer(&fields).map_err(in_event)?),
        };
        let Some(event) = event else { return Ok(()) };
        self.actions.clear();
        gateway.balancer.handle(now_ms, event, &mut self.actions);
        self.reply.add(name, gateway, &self.actions);
        Ok(())
    }
}

/// The gateway that lines are for.
fn selected_gateway<'a>(selected: &'a Option<String>, word: &str) -> Result<&'a str, LineError> {
    let out_of_order = || LineError::OutOfOrder { word: word.to_string(), required: line::SELECT_GATEWAY };
    selected.as_deref().ok_or_else(out_of_order)
}

/// Splits a start message before the field of its settings, whose value may contain anything.
fn split_settings(rest: &str) -> Option<(&str, &str)> {
    let settings_field = format!("{}=", field::SETTINGS);
    let at = rest.find(&settings_field)?;
    let begins_a_field = at == 0 || rest[..at].ends_with(' ');
    begins_a_field.then(|| (rest[..at].trim_end(), &rest[at + settings_field.len()..]))
}

/// The event of an endpoint update without records; otherwise it waits for them.
fn begin_update(
    pending: &mut Option<PendingUpdate>, fields: &Fields, in_event: impl Fn(FieldError) -> LineError,
) -> Result<Option<Event>, LineError> {
    let kind = events::read_update_kind(fields).map_err(|error| match error {
        FieldError::UnknownWord { .. } => in_event(error),
        other => LineError::Field(other),
    })?;
    let missing_count: usize = fields.parsed_or(field::RECORD_COUNT, 0)?;
    if missing_count == 0 {
        return Ok(Some(Event::EndpointUpdate { kind, endpoints: Vec::new() }));
    }
    *pending = Some(PendingUpdate { kind, missing_count, records: Vec::new() });
    Ok(None)
}

/// Adds a record to the update that announced it; the event once the update is complete.
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
