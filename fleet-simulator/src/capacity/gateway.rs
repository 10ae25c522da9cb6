//! A gateway process, observed from outside, and a discovery stub for it.
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time within which a gateway must be ready and call discovery.
const READY_WITHIN: Duration = Duration::from_secs(60);

/// A gateway process, started from the current program. The process is killed on drop.
#[derive(Debug)]
pub struct Gateway {
    child: Child,
    /// Address on which the gateway listens.
    pub address: SocketAddr,
    /// Time from the start until `/ready` returned 200.
    pub ready_after: Duration,
    _folder: tempfile::TempDir,
}

impl Gateway {
    /// Starts a gateway with this configuration, written to a temporary directory, and waits until it is
    /// ready.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or is not ready within 60 s.
    pub fn start(config: &Value) -> Result<Self, String> {
        let start_error = |e: std::io::Error| format!("gateway: start failed: {e}");
        let folder = tempfile::tempdir().map_err(start_error)?;
        let file = folder.path().join("gateway.json");
        std::fs::write(&file, config.to_string()).map_err(start_error)?;
        let program = std::env::current_exe().map_err(start_error)?;
        let mut command = Command::new(program);
        command.arg("gateway").env("LB_CONFIG", &file).env("LB_LISTEN", "127.0.0.1:0");
        command.env_remove("LB_DISCOVERY").env_remove("LB_LOG").env_remove("LB_NAME");
        let started = Instant::now();
        let child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().map_err(start_error)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut gateway = Gateway { child, address, ready_after: Duration::ZERO, _folder: folder };
        let log = gateway.child.stderr.take().ok_or("gateway: expected the log on stderr")?;
        let (address_sender, address_receiver) = std::sync::mpsc::channel();
        // The log is read to its end, so that the gateway never blocks on a full pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let listen = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
                if let Some(at) = listen.and_then(|text| text.parse::<SocketAddr>().ok()) {
                    let _ = address_sender.send(at);
                }
            }
        });
        gateway.address = address_receiver
            .recv_timeout(READY_WITHIN)
            .map_err(|e| format!("gateway: expected a log line with its address within 60 s: {e}"))?;
        let mut stream = TcpStream::connect(gateway.address).map_err(start_error)?;
        stream
            .write_all(b"GET /ready HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n")
            .map_err(start_error)?;
        let mut response = String::new();
        stream.read_to_string(&mut response).map_err(start_error)?;
        if !response.starts_with("HTTP/1.1 200") {
            return Err(format!(
                "gateway: expected status 200 from /ready, got: {}",
                response.lines().next().unwrap_or("no response")
            ));
        }
        gateway.ready_after = started.elapsed();
        Ok(gateway)
    }

    fn proc_path(&self, name: &str) -> std::path::PathBuf {
        format!("/proc/{}/{name}", self.child.id()).into()
    }

    /// Returns the CPU time of all threads, in us.
    pub fn cpu_us(&self) -> Result<f64, String> {
        let tasks = std::fs::read_dir(self.proc_path("task"))
            .map_err(|e| format!("gateway: cannot list its threads: {e}"))?;
        let cpu_times = tasks.filter_map(|task| schedstat_cpu_us(&task.ok()?.path().join("schedstat")));
        Ok(cpu_times.sum())
    }

    /// Waits until the gateway uses less than 2% of a core over 200 ms. Returns its CPU time so far, in us.
    ///
    /// # Errors
    ///
    /// Fails if the gateway is still busy after 30 s.
    pub fn settled_cpu_us(&self) -> Result<f64, String> {
        let mut last = self.cpu_us()?;
        for _ in 0..150 {
            std::thread::sleep(Duration::from_millis(200));
            let now = self.cpu_us()?;
            if now - last < 4_000.0 {
                return Ok(now);
            }
            last = now;
        }
        Err("gateway: still busy after 30 s".into())
    }

    /// Returns the resident memory, in bytes.
    pub fn resident_bytes(&self) -> Result<f64, String> {
        resident_bytes(&self.proc_path("status"))
    }

    /// Returns the number of open sockets.
    pub fn sockets(&self) -> Result<usize, String> {
        let files = std::fs::read_dir(self.proc_path("fd"))
            .map_err(|e| format!("gateway: cannot list its files: {e}"))?;
        let is_socket = |path: std::path::PathBuf| {
            std::fs::read_link(path).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
        };
        Ok(files.filter_map(|f| Some(f.ok()?.path())).filter(|p| is_socket(p.clone())).count())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Errors are ignored, because the process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the CPU time in a `schedstat` file, in us.
fn schedstat_cpu_us(file: &std::path::Path) -> Option<f64> {
    let text = std::fs::read_to_string(file).ok()?;
    Some(text.split_whitespace().next()?.parse::<f64>().ok()? / 1000.0)
}

/// Returns the resident memory in a process's `status` file, in bytes.
pub fn resident_bytes(status: &std::path::Path) -> Result<f64, String> {
    let text = std::fs::read_to_string(status).map_err(|e| format!("{}: {e}", status.display()))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.map(|k| k * 1024.0).ok_or_else(|| format!("{}: expected VmRSS", status.display()))
}

/// Returns the CPU time of the current thread in us, with a resolution of some ms.
pub fn thread_cpu_us() -> Result<f64, String> {
    let us = schedstat_cpu_us(std::path::Path::new("/proc/thread-self/schedstat"));
    us.ok_or_else(|| "/proc/thread-self/schedstat: expected the CPU time".into())
}

/// Returns the configuration of one of `gateway_count` gateways.
pub fn config(gateway_count: u32, tenants: usize, discovery: SocketAddr, known: Value) -> Value {
    let tenants: Vec<Value> = (0..tenants)
        .map(|n| json!({"name": if n == 0 { "acme".into() } else { tenant(n) }, "quota_per_s": 100_000.0}))
        .collect();
    json!({
        "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": 7,
        "limits": {"sockets": 4096},
        "known": known,
        "settings": {
            "classes": [{"name": "look", "aim_ms": 300.0, "deadline_ms": 1000.0, "effect": "safe", "group": "all",
                         "late_value": 0.2}],
            "tenants": tenants,
            "limits": {"cancel": true, "conn_idle_ms": 5000.0, "dial_timeout_ms": 250.0, "max_attempts": 3,
                       "max_open": 1000, "max_retry_after_ms": 1000.0, "retry_after": true},
            "report": {"how": "inline", "fields": ["utilization", "throughput"]},
            "discovery": "push", "instances": gateway_count, "me": 0, "zone": "a", "zones": ["a"], "tick_ms": 5.0}
    })
}

/// Returns the name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// Returns the discovery entry of a host.
pub fn host(number: usize, at: SocketAddr, state: &str) -> Value {
    json!({"uid": format!("server-{number:06}"), "endpoint": at.to_string(), "az": "a", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Returns a complete discovery list of hosts that receive no requests.
pub fn hosts(count: usize) -> Value {
    let at = |n: usize| SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 8080));
    let targets: Vec<Value> = (0..count).map(|n| host(n, at(n), "SERVING")).collect();
    json!({"rev": 1, "all": true, "targets": targets})
}

#[derive(Debug, Default)]
struct DiscoveryState {
    rev: u64,
    complete: String,
    change: String,
    /// Number of calls that the stub has received. Each call shows that the gateway has read the response to
    /// the previous call.
    calls: u64,
}

type SharedState = Arc<(Mutex<DiscoveryState>, Condvar)>;

fn lock(shared: &SharedState) -> MutexGuard<'_, DiscoveryState> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A discovery stub for one gateway, which serves a fixed list and the last change.
#[derive(Debug)]
pub struct Discovery {
    /// Address on which the stub listens.
    pub address: SocketAddr,
    shared: SharedState,
}

impl Discovery {
    /// Starts a stub that serves `list` with revision 1.
    pub fn start(list: &Value) -> Result<Self, String> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let state = DiscoveryState { rev: 1, complete: list.to_string(), ..DiscoveryState::default() };
        let shared: SharedState = Arc::new((Mutex::new(state), Condvar::new()));
        let listener_state = shared.clone();
        // The threads run until the program ends; each blocks on input or on a change.
        std::thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let shared = listener_state.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(Discovery { address, shared })
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }

    /// Publishes a change, and waits until the gateway has read it and called again.
    pub fn publish_change(&self, target: &Value) -> Result<(), String> {
        let mut state = lock(&self.shared);
        state.rev += 1;
        state.change = json!({"rev": state.rev, "all": false, "targets": [target]}).to_string();
        let calls = state.calls;
        drop(state);
        self.shared.1.notify_all();
        self.wait_for(calls + 1)
    }

    /// Waits until the number of calls reaches `calls`.
    pub fn wait_for(&self, calls: u64) -> Result<(), String> {
        let deadline = Instant::now() + READY_WITHIN;
        while self.calls() < calls {
            if Instant::now() > deadline {
                return Err("discovery: expected another call of the gateway within 60 s".into());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

fn serve(stream: TcpStream, shared: &SharedState) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(first) = lines.next() {
        while lines.next().is_some_and(|line| !line.is_empty()) {}
        let mut state = lock(shared);
        state.calls += 1;
        let after = first.split("after=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
        let text = match after {
            None => state.complete.clone(),
            Some(rev) => {
                let changed =
                    shared.1.wait_timeout_while(state, Duration::from_millis(2400), |r| r.rev <= rev);
                let (state, _) = changed.unwrap_or_else(PoisonError::into_inner);
                if state.rev > rev {
                    state.change.clone()
                } else {
                    json!({"rev": state.rev, "all": false, "targets": []}).to_string()
                }
            }
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if writer.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}
