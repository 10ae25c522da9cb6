//! Load on a gateway process over loopback. Clients alternate between the gateway and the hosts themselves,
//! so that both are measured under the same conditions.
use super::gateway::{config, host, Discovery, Gateway};
use serde_json::json;
use std::time::Duration;
use ternstack_fault_tests::client::{Client, Request};
use ternstack_fault_tests::history::HistoryRecorder;
use ternstack_fault_tests::stub_servers::StubHost;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadParameters {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of gateways that share the hosts, as configured at the gateway.
    pub gateway_count: u32,
    /// Requests per second through the gateway; as many go directly to the hosts.
    pub per_s: f64,
    /// Duration.
    pub duration: Duration,
    /// Time that a host takes for a request.
    pub host_work: Duration,
    /// The gateway's `conn_idle_ms`.
    pub idle: Duration,
}

/// Measurements of a gateway under load.
#[derive(Clone, Copy, Debug)]
pub struct LoadCost {
    /// CPU time per request, in us.
    pub cpu_us: f64,
    /// Latency added at the median and at the 99th percentile, in ms.
    pub added_ms: [f64; 2],
    /// Number of sockets near the end of the load, without the listener, discovery and clients.
    pub connections: f64,
    /// Resident memory at the end, in bytes.
    pub resident_bytes: f64,
    /// Number of requests through the gateway.
    pub requests: u64,
    /// Number of requests, through the gateway or direct, that did not return 200.
    pub failed: u64,
}

/// Number of clients that share the load.
const CLIENTS: usize = 20;

/// Puts a load on a new gateway process. Hosts, clients and discovery run in the current process.
///
/// # Errors
///
/// Fails if a process, a server or a measurement fails.
pub fn apply_load(load: &LoadParameters) -> Result<LoadCost, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let recorder = HistoryRecorder::default();
    let mut hosts = Vec::new();
    for number in 0..load.hosts {
        let stub_host = runtime
            .block_on(StubHost::start(number, 1, load.host_work, &recorder))
            .map_err(|e| e.to_string())?;
        hosts.push(stub_host);
    }
    let targets: Vec<_> = hosts.iter().enumerate().map(|(n, s)| host(n, s.addresses[0], "SERVING")).collect();
    let list = json!({"rev": 1, "all": true, "targets": targets});
    let discovery = Discovery::start(&list)?;
    let mut configured = config(load.gateway_count, 1, discovery.address, list);
    configured["settings"]["limits"]["conn_idle_ms"] = json!(load.idle.as_secs_f64() * 1000.0);
    let gateway = Gateway::start(&configured)?;
    // Connections are established in one second of load; then the gateway's cost without load is measured.
    let warm_up = LoadParameters { duration: Duration::from_secs(1), ..*load };
    runtime.block_on(run_clients(&warm_up, &gateway, &hosts, &recorder))?;
    let idle_from = gateway.settled_cpu_us()?;
    std::thread::sleep(Duration::from_secs(1));
    let idle = gateway.cpu_us()? - idle_from;
    let from = gateway.cpu_us()?;
    let results = runtime.block_on(run_clients(load, &gateway, &hosts, &recorder))?;
    let cpu_us = gateway.cpu_us()? - from - idle * load.duration.as_secs_f64();
    let (through, direct) = (results.through, results.direct);
    let added = |probability: f64| quantile(&through, probability) - quantile(&direct, probability);
    Ok(LoadCost {
        cpu_us: cpu_us / through.len().max(1) as f64,
        added_ms: [added(0.5), added(0.99)],
        connections: results.sockets,
        resident_bytes: gateway.resident_bytes()?,
        requests: through.len() as u64,
        failed: results.failed,
    })
}

fn quantile(times: &[f64], probability: f64) -> f64 {
    let at = (times.len() as f64 * probability) as usize;
    times.get(at.min(times.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

#[derive(Default)]
struct ClientResults {
    /// Latencies through the gateway, in ms, sorted.
    through: Vec<f64>,
    /// Latencies of requests sent directly to the hosts, in ms, sorted.
    direct: Vec<f64>,
    failed: u64,
    sockets: f64,
}

async fn run_clients(
    load: &LoadParameters, gateway: &Gateway, hosts: &[StubHost], recorder: &HistoryRecorder,
) -> Result<ClientResults, String> {
    let interval_per_client = Duration::from_secs_f64(CLIENTS as f64 / load.per_s);
    let count = (load.duration.as_secs_f64() / interval_per_client.as_secs_f64()) as usize;
    let mut tasks = Vec::new();
    for client in 0..CLIENTS {
        let mut through = Client::new(0, gateway.address, recorder);
        let at = hosts[client % hosts.len()].addresses[0];
        let mut direct = Client::new(1, at, recorder);
        // Starts are staggered, so that clients do not send at the same time.
        let begin = Instant::now() + interval_per_client.mul_f64(client as f64 / CLIENTS as f64);
        tasks.push(tokio::spawn(async move {
            let mut ticks = tokio::time::interval_at(begin, interval_per_client);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut results = ClientResults::default();
            for n in 0..count {
                ticks.tick().await;
                let id = format!("{client:08x}{n:08x}");
                let request = Request { id, class: "look", client_timeout: Duration::from_secs(1) };
                for (client, times) in
                    [(&mut direct, &mut results.direct), (&mut through, &mut results.through)]
                {
                    let from = Instant::now();
                    let status = client.send(&request).await;
                    times.push(from.elapsed().as_secs_f64() * 1000.0);
                    results.failed += u64::from(status != Some(200));
                }
            }
            results
        }));
    }
    // The history is not used; it is dropped regularly so that it does not grow.
    let history_cleaner = {
        let recorder = recorder.clone();
        tokio::spawn(async move {
            let mut often = interval(Duration::from_millis(500));
            loop {
                often.tick().await;
                drop(recorder.take());
            }
        })
    };
    let mut all = ClientResults::default();
    tokio::time::sleep(load.duration.mul_f64(0.9)).await;
    // Subtracts the gateway's listener, the discovery connection and one connection per client.
    all.sockets = gateway.sockets()? as f64 - 2.0 - CLIENTS as f64;
    for task in tasks {
        let results = task.await.map_err(|e| e.to_string())?;
        all.through.extend(results.through);
        all.direct.extend(results.direct);
        all.failed += results.failed;
    }
    history_cleaner.abort();
    all.through.sort_by(f64::total_cmp);
    all.direct.sort_by(f64::total_cmp);
    Ok(all)
}
