//! The bench's line protocol: lines to events, actions to lines. All decisions are in `ternstack`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fields;

use fields::Fields;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use ternstack_balancer::{
    Action, Arrival, AttemptEnd, Balancer, EndpointId, EndpointRecord, Event, LoadReport, Outcome, Readiness,
    RequestId, UpdateKind,
};
use ternstack_settings::{spread, Names, Site};

/// One gateway: its balancer, and the names it has been told, numbered in the order it met them.
struct Instance {
    balancer: Balancer,
    names: Names,
    servers: HashMap<String, u32>,
    server_names: Vec<String>,
    requests: HashMap<String, u64>,
    request_names: HashMap<u64, String>,
    next_request: u64,
}

impl Instance {
    fn server(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.servers.get(name) {
            return EndpointId(id);
        }
        let id = self.server_names.len() as u32;
        self.servers.insert(name.to_string(), id);
        self.server_names.push(name.to_string());
        EndpointId(id)
    }

    fn request(&mut self, name: &str) -> RequestId {
        if let Some(&id) = self.requests.get(name) {
            return RequestId(id);
        }
        let id = self.next_request;
        self.next_request += 1;
        self.requests.insert(name.to_string(), id);
        self.request_names.insert(id, name.to_string());
        RequestId(id)
    }
}

/// An event whose list entries are still to come.
struct PendingList {
    kind: UpdateKind,
    left: usize,
    members: Vec<EndpointRecord>,
}

/// Reads batches until the end of input and answers each; the error names the line and what is wrong with it.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut link = Link::default();
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let read = input.read_line(&mut line).map_err(|e| format!("line {number}: cannot be read: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        let text = line.trim_end_matches(['\n', '\r']);
        let flush = link.take(text).map_err(|e| format!("line {number}: {e}"))?;
        if flush {
            link.reply.push_str("NEXT\n");
            let sent = output.write_all(link.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|e| format!("cannot write the reply: {e}"))?;
            link.reply.clear();
            link.spoken = None;
        }
    }
}

#[derive(Default)]
struct Link {
    now: Option<f64>,
    current: Option<String>,
    spoken: Option<String>,
    instances: BTreeMap<String, Instance>,
    pending: Option<PendingList>,
    actions: Vec<Action>,
    reply: String,
}

impl Link {
    /// Takes one line; true at the end of a batch.
    fn take(&mut self, line: &str) -> Result<bool, String> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if self.pending.is_some() && name != "M" {
            return Err("a list entry is missing before this line".into());
        }
        match name {
            "" => Ok(false),
            "ROUND" => {
                self.now = Some(Fields::new(rest)?.number("sim_time_ms")?);
                self.current = None;
                Ok(false)
            }
            "TO" => {
                self.current = Some(Fields::new(rest)?.text("i")?.to_string());
                Ok(false)
            }
            "FLUSH" => {
                self.now.ok_or("FLUSH before any ROUND")?;
                Ok(true)
            }
            "INIT" => self.init(rest).map(|()| false),
            "RETIRE" => {
                let current = self.current.as_ref().ok_or("RETIRE before any TO")?;
                self.instances.remove(current);
                Ok(false)
            }
            _ => self.event(name, rest).map(|()| false),
        }
    }

    fn init(&mut self, rest: &str) -> Result<(), String> {
        self.now.ok_or("INIT before any ROUND")?;
        let current = self.current.clone().ok_or("INIT before any TO")?;
        let (head, conf) = match rest.find("conf=") {
            Some(at) if at == 0 || rest[..at].ends_with(' ') => (rest[..at].trim_end(), &rest[at + 5..]),
            _ => return Err("INIT: conf is missing".into()),
        };
        let seed: u64 = Fields::new(head)?.parsed("prng")?;
        let conf = serde_json::from_str(conf).map_err(|e| format!("INIT: conf is not readable JSON: {e}"))?;
        let Site { balancer: settings, names, .. } =
            ternstack_settings::read(&conf).map_err(|e| format!("INIT: conf: {e}"))?;
        let balancer = Balancer::new(settings, seed).map_err(|e| format!("INIT: {e}"))?;
        let instance = Instance {
            balancer,
            names,
            servers: HashMap::new(),
            server_names: Vec::new(),
            requests: HashMap::new(),
            request_names: HashMap::new(),
            next_request: 0,
        };
        self.instances.insert(current, instance);
        Ok(())
    }

    fn event(&mut self, name: &str, rest: &str) -> Result<(), String> {
        let known = [
            "M",
            "TOPOLOGY",
            "ACCEPT",
            "BEGUN",
            "ATTEMPT_END",
            "CANCELLED_BY_CLIENT",
            "HEALTH_RESULT",
            "BELL",
        ];
        if !known.contains(&name) {
            return Ok(()); // newer kinds of events are skipped
        }
        let now = self.now.ok_or_else(|| format!("{name} before any ROUND"))?;
        let current = self.current.as_ref().ok_or_else(|| format!("{name} before any TO"))?;
        let instance =
            self.instances.get_mut(current).ok_or_else(|| format!("{name} for {current} before its INIT"))?;
        let fields = Fields::new(rest).map_err(|e| format!("{name}: {e}"))?;
        let event = match name {
            "TOPOLOGY" => {
                let kind = match fields.text("mode")? {
                    "incr" => UpdateKind::Delta,
                    "total" => UpdateKind::Complete,
                    "warm_copy" => UpdateKind::Cached,
                    "lost" => UpdateKind::WatchLost,
                    other => return Err(format!("TOPOLOGY: mode={other} is not known")),
                };
                let left: usize = if fields.has("hosts") { fields.parsed("hosts")? } else { 0 };
                if left > 0 {
                    self.pending = Some(PendingList { kind, left, members: Vec::new() });
                    return Ok(());
                }
                Event::EndpointUpdate { kind, endpoints: Vec::new() }
            }
            "M" => {
                let member = read_member(instance, &fields).map_err(|e| format!("M: {e}"))?;
                let list = self.pending.as_mut().ok_or("M outside a list")?;
                list.members.push(member);
                list.left -= 1;
                if list.left > 0 {
                    return Ok(());
                }
                let list = self.pending.take().ok_or("M outside a list")?;
                Event::EndpointUpdate { kind: list.kind, endpoints: list.members }
            }
            _ => read_event(instance, name, &fields).map_err(|e| format!("{name}: {e}"))?,
        };
        self.actions.clear();
        instance.balancer.handle(now, event, &mut self.actions);
        for action in &self.actions {
            if self.spoken.as_ref() != Some(current) {
                let _ = writeln!(self.reply, "FOR i={current}");
                self.spoken = Some(current.clone());
            }
            write_action(instance, action, &mut self.reply);
        }
        Ok(())
    }
}

fn read_member(instance: &mut Instance, fields: &Fields) -> Result<EndpointRecord, String> {
    let readiness = match fields.text("readiness")? {
        "active" => Readiness::Active,
        "leaving" => Readiness::Draining,
        "left" => Readiness::Removed,
        other => return Err(format!("readiness={other} is not known")),
    };
    let host = fields.text("host")?;
    let server = instance.server(host);
    Ok(EndpointRecord {
        endpoint: server,
        hash: spread(host),
        weight: fields.number_or("heft", 1.0)?,
        zone: instance.names.zone(fields.text_or("area", "")),
        cell: if fields.has("bay") { fields.parsed("bay")? } else { 0 },
        readiness,
        started_at_ms: fields.number_or("last_start_ms", 0.0)?,
    })
}

fn read_event(instance: &mut Instance, name: &str, fields: &Fields) -> Result<Event, String> {
    Ok(match name {
        "ACCEPT" => {
            let class = fields.text("cls")?;
            let class =
                instance.names.class(class).ok_or_else(|| format!("cls={class} is not in the settings"))?;
            Event::Request(Arrival {
                class,
                tenant: instance.names.tenant(fields.text_or("project", "")),
                client_timeout_ms: fields.number("patience_left_ms")?,
                request: instance.request(fields.text("id")?),
            })
        }
        "BEGUN" => Event::ResponseStarted { request: instance.request(fields.text("id")?) },
        "ATTEMPT_END" => Event::AttemptEnd(AttemptEnd {
            attempt: fields.parsed("try")?,
            endpoint: instance.server(fields.text("host")?),
            outcome: read_outcome(fields.text("state_code")?)?,
            latency_ms: fields.number("latency_ms")?,
            request_complete: fields.flag("complete")?,
            report: read_report(fields.text_or("telemetry", ""))?,
            request: instance.request(fields.text("id")?),
        }),
        "CANCELLED_BY_CLIENT" => Event::ClientDisconnected { request: instance.request(fields.text("id")?) },
        "HEALTH_RESULT" => Event::HealthCheckEnd {
            endpoint: instance.server(fields.text("host")?),
            outcome: read_outcome(fields.text("state_code")?)?,
            report: read_report(fields.text_or("telemetry", ""))?,
        },
        _ => Event::Timer { token: fields.parsed("ref")? },
    })
}

fn read_outcome(code: &str) -> Result<Outcome, String> {
    Ok(match code {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::ResponseTimeout,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        other => return Err(format!("state_code={other} is not known")),
    })
}

fn read_report(text: &str) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in text.split(',').filter(|pair| !pair.is_empty() && *pair != "-") {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| format!("telemetry: {pair} is no name:value pair"))?;
        let slot = match name {
            "utilization" => &mut report.utilization,
            "backlog" => &mut report.queue_length,
            "throughput" => &mut report.throughput_per_s,
            _ => continue,
        };
        *slot = Some(value.parse().map_err(|_| format!("telemetry: {pair} is no number"))?);
    }
    Ok(report)
}

fn write_action(instance: &Instance, action: &Action, out: &mut String) {
    let request = |id: &RequestId| instance.request_names.get(&id.0).map_or("", String::as_str);
    let server = |id: &EndpointId| instance.server_names[id.0 as usize].as_str();
    let _ = match action {
        Action::Send { request: id, endpoint: to, give_up_at_ms: until } => {
            writeln!(out, "RELAY id={} host={} try_until_ms={until:.3}", request(id), server(to))
        }
        Action::Cancel { request: id, attempt } => writeln!(out, "REVOKE id={} try={attempt}", request(id)),
        Action::Reject { request: id, retry_after_ms, .. } => {
            writeln!(out, "OVERLOAD_REPLY id={} stay_away_ms={retry_after_ms:.3}", request(id))
        }
        Action::Fail { request: id } => writeln!(out, "DROP_REQUEST id={}", request(id)),
        Action::Timer { at_ms: at, token } => writeln!(out, "SET_TIMER time_ms={at:.3} ref={token}"),
        Action::HealthCheck { endpoint: to } => writeln!(out, "HEALTH_CHECK host={}", server(to)),
        Action::WatchEndpoints => writeln!(out, "TAIL want=1"),
        Action::Log(words) => writeln!(out, "PRINT words={}", words.replace(['\n', '\r'], " ")),
    };
}
