//! Load on a real gateway over loopback: clients that ask it and the servers themselves in turn, so that both see the same
//! machine.
use super::gateway::{config, host, Discovery, Gateway};
use serde_json::json;
use std::time::Duration;
use ternstack_fault_tests::client::{Client, Request};
use ternstack_fault_tests::history::HistoryRecorder;
use ternstack_fault_tests::stub_servers::StubHost;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Servers.
    pub hosts: usize,
    /// Gateways that the one is told share them.
    pub instances: u32,
    /// Requests a second through the gateway; as many go to servers at once.
    pub per_s: f64,
    /// How long.
    pub length: Duration,
    /// How long a request takes a server.
    pub work: Duration,
    /// The gateway's `conn_idle_ms`.
    pub idle: Duration,
}

/// What a gateway took for it.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    /// Processor time a request, in us.
    pub cpu_us: f64,
    /// What it added at the median and at 99 in 100, in ms.
    pub added_ms: [f64; 2],
    /// Sockets that it held at the end, but for its listener, discovery's and clients'.
    pub connections: f64,
    /// Resident memory at the end, in bytes.
    pub resident: f64,
    /// Requests, and how many of them were not answered with 200.
    pub requests: u64,
    /// Those.
    pub failed: u64,
}

/// Clients that share the load.
const CLIENTS: usize = 20;

/// Puts a load on a gateway of its own. Servers, clients and discovery are in this process.
pub fn play(load: &Load) -> Result<Taken, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let recorder = HistoryRecorder::default();
    let mut servers = Vec::new();
    for number in 0..load.hosts {
        let server =
            runtime.block_on(StubHost::start(number, 1, load.work, &recorder)).map_err(|e| e.to_string())?;
        servers.push(server);
    }
    let targets: Vec<_> =
        servers.iter().enumerate().map(|(n, s)| host(n, s.addresses[0], "SERVING")).collect();
    let list = json!({"rev": 1, "all": true, "targets": targets});
    let discovery = Discovery::start(&list)?;
    let mut configured = config(load.instances, 1, discovery.at, list);
    configured["settings"]["limits"]["conn_idle_ms"] = json!(load.idle.as_secs_f64() * 1000.0);
    let gateway = Gateway::start(&configured)?;
    // What it costs by itself, and a first second in which connections come up.
    let warm = Load { length: Duration::from_secs(1), ..*load };
    runtime.block_on(ask(&warm, &gateway, &servers, &recorder))?;
    let idle_from = gateway.settled_cpu_us()?;
    std::thread::sleep(Duration::from_secs(1));
    let idle = gateway.cpu_us()? - idle_from;
    let from = gateway.cpu_us()?;
    let asked = runtime.block_on(ask(load, &gateway, &servers, &recorder))?;
    let spent = gateway.cpu_us()? - from - idle * load.length.as_secs_f64();
    let (through, direct) = (asked.through, asked.direct);
    let added = |part: f64| quantile(&through, part) - quantile(&direct, part);
    Ok(Taken {
        cpu_us: spent / through.len().max(1) as f64,
        added_ms: [added(0.5), added(0.99)],
        connections: asked.sockets,
        resident: gateway.resident()?,
        requests: through.len() as u64,
        failed: asked.failed,
    })
}

fn quantile(times: &[f64], part: f64) -> f64 {
    let at = (times.len() as f64 * part) as usize;
    times.get(at.min(times.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

#[derive(Default)]
struct Asked {
    through: Vec<f64>, // Sorted, in ms.
    direct: Vec<f64>,
    failed: u64,
    sockets: f64,
}

async fn ask(
    load: &Load, gateway: &Gateway, servers: &[StubHost], recorder: &HistoryRecorder,
) -> Result<Asked, String> {
    let each = Duration::from_secs_f64(CLIENTS as f64 / load.per_s);
    let count = (load.length.as_secs_f64() / each.as_secs_f64()) as usize;
    let mut tasks = Vec::new();
    for client in 0..CLIENTS {
        let mut through = Client::new(0, gateway.at, recorder);
        let at = servers[client % servers.len()].addresses[0];
        let mut direct = Client::new(1, at, recorder);
        // Clients begin one after another, and not at once.
        let begin = Instant::now() + each.mul_f64(client as f64 / CLIENTS as f64);
        tasks.push(tokio::spawn(async move {
            let mut ticks = tokio::time::interval_at(begin, each);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut asked = Asked::default();
            for n in 0..count {
                ticks.tick().await;
                let id = format!("{client:08x}{n:08x}");
                let message = Request { id, class: "look", client_timeout: Duration::from_secs(1) };
                for (client, times) in [(&mut direct, &mut asked.direct), (&mut through, &mut asked.through)]
                {
                    let from = Instant::now();
                    let status = client.send(&message).await;
                    times.push(from.elapsed().as_secs_f64() * 1000.0);
                    asked.failed += u64::from(status != Some(200));
                }
            }
            asked
        }));
    }
    // The history is of no use here; it is thrown away lest it grow.
    let cleaning = {
        let recorder = recorder.clone();
        tokio::spawn(async move {
            let mut often = interval(Duration::from_millis(500));
            loop {
                often.tick().await;
                drop(recorder.take());
            }
        })
    };
    let mut all = Asked::default();
    tokio::time::sleep(load.length.mul_f64(0.9)).await;
    // Its listener, and discovery's; clients hold one each.
    all.sockets = gateway.sockets()? as f64 - 2.0 - CLIENTS as f64;
    for task in tasks {
        let asked = task.await.map_err(|e| e.to_string())?;
        all.through.extend(asked.through);
        all.direct.extend(asked.direct);
        all.failed += asked.failed;
    }
    cleaning.abort();
    all.through.sort_by(f64::total_cmp);
    all.direct.sort_by(f64::total_cmp);
    Ok(all)
}
