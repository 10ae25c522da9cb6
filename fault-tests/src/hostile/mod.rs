//! Hostile clients: one real gateway process under many clients of one kind, beside ordinary clients. The
//! peak of the process's resident memory and the ordinary clients' responses are measured.
mod cpu_quota;
pub mod kind;
mod options;
pub mod ordinary;
mod report;

pub use options::HostileOptions;
pub use report::table;

use crate::error::{Error, ProcessError};
use crate::process::{Launch, Process};
use cpu_quota::CpuQuota;
use kind::{HostileClient, HostileKind};
use ordinary::{probe_readiness, send_requests, OrdinaryResults, SharedResults, CLIENT_TIMEOUT};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::Duration;
use ternstack_gateway::http1::{Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, Instant};

/// The number of stub hosts.
const HOSTS: usize = 4;
/// The time that a host takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// The deadline of the class whose requests may take long.
const LONG_DEADLINE: Duration = Duration::from_secs(600);
/// The number of ordinary clients.
const ORDINARY_CLIENTS: usize = 8;
/// The number of idle clients that a crowd adds.
const CROWD_CLIENTS: usize = 300;
/// The pause between two reloads.
const RELOAD_PAUSE: Duration = Duration::from_millis(150);
/// The time for which the ordinary clients run alone at first, so that the gateway knows the hosts.
const WARM_UP: Duration = Duration::from_millis(500);
/// The earliest time of SIGKILL after SIGTERM, beyond the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// What happens to the gateway while the hostile clients attack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Circumstance {
    /// Nothing else happens.
    Service,
    /// The gateway gets SIGTERM in the middle of the attack, and SIGKILL at the earliest time.
    Shutdown,
    /// The gateway gets one SIGHUP after another.
    Reload,
    /// A crowd of idle clients is connected as well.
    Crowd,
    /// Half of the hosts accept requests and never respond.
    HungHosts,
}

impl Circumstance {
    /// All circumstances, in the order of the table.
    pub const ALL: [Circumstance; 5] = [
        Circumstance::Service,
        Circumstance::Shutdown,
        Circumstance::Reload,
        Circumstance::Crowd,
        Circumstance::HungHosts,
    ];
}

/// One run of hostile clients against one gateway.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The kind of the hostile clients.
    pub kind: HostileKind,
    /// What else happens to the gateway.
    pub circumstance: Circumstance,
    /// The gateway's `limits.memory_mb`.
    pub memory_mb: u64,
    /// The gateway's `limits.sockets`.
    pub sockets: usize,
    /// The number of hostile clients, for kinds that are not one flooding client.
    pub clients: usize,
    /// The length of the body of each host's response, in bytes.
    pub response_bytes: usize,
    /// How long the attack lasts.
    pub duration: Duration,
    /// The share of a processor core that the gateway gets; `None` without a quota.
    pub cpu_share: Option<f64>,
    /// How long an ordinary client waits before its request counts as lost.
    pub patience: Duration,
}

/// The time within which a client of the platform must have its response: its own time and the protocol's
/// slack.
pub const PROTOCOL_PATIENCE: Duration = Duration::from_millis(1550);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The run.
    pub plan: Plan,
    /// The resident memory before the attack, in KiB.
    pub idle_kib: u64,
    /// The peak of the resident memory, in KiB.
    pub peak_kib: u64,
    /// The requests of ordinary clients.
    pub ordinary: OrdinaryResults,
    /// Whether the process ended by itself before it was asked to.
    pub ended_by_itself: bool,
    /// The last log lines of the gateway.
    pub log: Vec<String>,
}

impl Outcome {
    /// Returns whether the process stayed within its memory limit and did not end by itself.
    pub fn is_within_limit(&self) -> bool {
        !self.ended_by_itself && self.peak_kib * 1024 <= self.plan.memory_mb * 1_000_000
    }
}

/// Plays one run.
///
/// # Errors
/// Fails if the gateway or a stub server cannot be started, or if the gateway's memory cannot be read.
pub async fn play(launch: &Launch, plan: Plan) -> Result<Outcome, Error> {
    let folder = tempfile::tempdir()?;
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let hangs = plan.circumstance == Circumstance::HungHosts && number % 2 == 1;
        hosts.push(Host::start(plan.response_bytes, hangs).await?);
    }
    let config = gateway_config(&plan, &hosts);
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut gateway = Process::start(launch, folder.path(), "g0", listen, &config).await?;
    let quota = plan.cpu_share.zip(gateway.id());
    let quota = quota.map(|(share, id)| CpuQuota::enforce(id, share));
    let results = SharedResults::default();
    let until = Instant::now() + WARM_UP + plan.duration;
    let mut ordinary = JoinSet::new();
    // Ordinary requests end before a shutdown is measured, because it rejects and closes.
    let ordinary_until =
        if plan.circumstance == Circumstance::Shutdown { until - plan.duration / 2 } else { until };
    for number in 0..ORDINARY_CLIENTS {
        ordinary.spawn(send_requests(
            gateway.address,
            number,
            results.clone(),
            plan.patience,
            ordinary_until,
        ));
    }
    ordinary.spawn(probe_readiness(gateway.address, results.clone(), ordinary_until));
    sleep(WARM_UP).await;
    let idle_kib = memory_kib(&gateway, "VmRSS")?;
    let mut attack = JoinSet::new();
    for number in 0..plan.kind.client_count(plan.clients) {
        let client = HostileClient { kind: plan.kind, number, gateway: gateway.address, until };
        attack.spawn(client.run());
    }
    let crowd = if plan.circumstance == Circumstance::Crowd { CROWD_CLIENTS } else { 0 };
    for _ in 0..crowd {
        attack.spawn(stay_idle(gateway.address, until));
    }
    let (peak_kib, ended_by_itself) = watch(&mut gateway, &plan, &config, until).await?;
    attack.shutdown().await;
    while ordinary.join_next().await.is_some() {}
    let log = gateway.log();
    drop(quota);
    let _ = gateway.kill().await;
    let ordinary = results.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(Outcome { plan, idle_kib, peak_kib, ordinary, ended_by_itself, log })
}

/// Watches the gateway's memory until `until`, and sends the signals of the circumstance. Returns the peak in
/// KiB, and whether the process ended by itself.
async fn watch(
    gateway: &mut Process, plan: &Plan, config: &Value, until: Instant,
) -> Result<(u64, bool), Error> {
    let mut peak_kib = 0;
    let sigterm_at = until - plan.duration / 2;
    let kill_at = sigterm_at + CLIENT_TIMEOUT + KILL_MARGIN;
    let mut is_terminating = false;
    while Instant::now() < until {
        match memory_kib(gateway, "VmHWM") {
            Ok(kib) => peak_kib = kib.max(peak_kib),
            // The process has exited, which is expected after SIGTERM only.
            Err(_) => return Ok((peak_kib, !is_terminating)),
        }
        match plan.circumstance {
            Circumstance::Shutdown if !is_terminating && Instant::now() >= sigterm_at => {
                is_terminating = true;
                gateway.send_sigterm()?;
            }
            Circumstance::Shutdown if is_terminating && Instant::now() >= kill_at => break,
            Circumstance::Reload => gateway.reload(config)?,
            _ => {}
        }
        sleep(RELOAD_PAUSE).await;
    }
    Ok((peak_kib, !is_terminating && gateway.has_exited()))
}

async fn stay_idle(gateway: SocketAddr, until: Instant) {
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(gateway).await {
            let _ = stream.read(&mut [0; 64]).await;
        }
        sleep(RELOAD_PAUSE).await;
    }
}

/// Returns a value of the process's memory in KiB, by its name in `/proc`: `VmRSS`, the resident memory, or
/// `VmHWM`, its peak.
fn memory_kib(gateway: &Process, name: &str) -> Result<u64, Error> {
    let id = gateway.id().ok_or_else(|| ProcessError::Exited { name: "g0".into() })?;
    let path = PathBuf::from(format!("/proc/{id}/status"));
    let status = std::fs::read_to_string(&path).map_err(|source| Error::file(&path, source))?;
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.ok_or_else(|| ProcessError::Exited { name: "g0".into() }.into())
}

fn gateway_config(plan: &Plan, hosts: &[Host]) -> Value {
    let targets: Vec<Value> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| {
            json!({"uid": format!("s-{number}"), "endpoint": host.address.to_string(), "az": "a",
                   "pod_group": 0, "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0})
        })
        .collect();
    let class = |name: &str, effect: &str, deadline: Duration| {
        json!({"name": name, "aim_ms": 300.0, "deadline_ms": deadline.as_millis() as f64,
               "effect": effect, "group": "all", "late_value": 0.2})
    };
    let classes = [
        class("look", "safe", CLIENT_TIMEOUT),
        class("sign", "unsafe", CLIENT_TIMEOUT),
        class("report", "safe", LONG_DEADLINE),
    ];
    json!({
        // Nothing listens at port 9, so that the gateway keeps its cached list.
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": 7,
        // The gateway is not told of a quota, as if the core were shared with other processes.
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
        "known": {"rev": 40, "all": true, "targets": targets},
        "settings": {
            "classes": classes,
            "tenants": [{"name": "acme", "quota_per_s": 100_000.0}],
            "limits": {"cancel": true, "conn_idle_ms": 5000.0, "dial_timeout_ms": 250.0, "max_attempts": 3,
                       "max_open": 1000, "max_retry_after_ms": 1000.0, "retry_after": true},
            "report": {"how": "inline", "fields": ["utilization", "throughput"]},
            "discovery": "push", "instances": 1, "zone": "a", "zones": ["a"], "tick_ms": 5.0}
    })
}

/// A stub host, which responds to every request with a body of the same length, or never responds.
struct Host {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Host {
    async fn start(response_bytes: usize, hangs: bool) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let body = "r".repeat(response_bytes);
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Backend-Load: util=0.4,qps=20\r\nContent-Length: {response_bytes}\r\n\r\n{body}"
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, response.clone(), hangs));
            }
        });
        Ok(Host { address, task })
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, response: String, hangs: bool) {
    let mut reader: Reader<RequestLine> = Reader::new(MAX_BODY_BYTES);
    while let Ok(read_bytes) = stream.read_buf(reader.buffer()).await {
        if read_bytes == 0 {
            return;
        }
        while let Ok(Some(_)) = reader.next(false) {
            if hangs {
                continue;
            }
            sleep(SERVICE_TIME).await;
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
