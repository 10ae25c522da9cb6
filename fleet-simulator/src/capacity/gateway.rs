//! A real process of the gateway, seen from outside, and a discovery for it.
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A gateway that is not ready by then never will be.
const READY_WITHIN: Duration = Duration::from_secs(60);

/// A process of the gateway: this very program, told to be one. It is killed with its owner.
#[derive(Debug)]
pub struct Gateway {
    child: Child,
    /// Where it listens.
    pub at: SocketAddr,
    /// From its start until `/ready` answered 200.
    pub ready: Duration,
    _folder: tempfile::TempDir,
}

impl Gateway {
    /// Starts it with this configuration, written to a folder of its own, and waits until it is ready.
    pub fn start(config: &Value) -> Result<Self, String> {
        let told = |e: std::io::Error| format!("gateway: {e}");
        let folder = tempfile::tempdir().map_err(told)?;
        let file = folder.path().join("gateway.json");
        std::fs::write(&file, config.to_string()).map_err(told)?;
        let program = std::env::current_exe().map_err(told)?;
        let mut command = Command::new(program);
        command.arg("gateway").env("LB_CONFIG", &file).env("LB_LISTEN", "127.0.0.1:0");
        command.env_remove("LB_DISCOVERY").env_remove("LB_LOG").env_remove("LB_NAME");
        let started = Instant::now();
        let child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().map_err(told)?;
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut gateway = Gateway { child, at, ready: Duration::ZERO, _folder: folder };
        let log = gateway.child.stderr.take().ok_or("gateway: no log")?;
        let (tell, listening) = std::sync::mpsc::channel();
        // The log is read to its end, so that the program never waits for its reader.
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let listen = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
                if let Some(at) = listen.and_then(|text| text.parse::<SocketAddr>().ok()) {
                    let _ = tell.send(at);
                }
            }
        });
        gateway.at = listening.recv_timeout(READY_WITHIN).map_err(|e| format!("gateway: not ready: {e}"))?;
        let mut stream = TcpStream::connect(gateway.at).map_err(told)?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n").map_err(told)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map_err(told)?;
        if !answer.starts_with("HTTP/1.1 200") {
            return Err(format!("gateway: not ready: {}", answer.lines().next().unwrap_or("no answer")));
        }
        gateway.ready = started.elapsed();
        Ok(gateway)
    }

    fn proc(&self, name: &str) -> std::path::PathBuf {
        format!("/proc/{}/{name}", self.child.id()).into()
    }

    /// The processor time that its threads have had, in us.
    pub fn cpu_us(&self) -> Result<f64, String> {
        let tasks = std::fs::read_dir(self.proc("task")).map_err(|e| format!("gateway: {e}"))?;
        let had = tasks.filter_map(|task| schedule_us(&task.ok()?.path().join("schedstat")));
        Ok(had.sum())
    }

    /// Waits until it has little to do, at most 30 s: under 2% of a core for 200 ms. What it has had by then, in us.
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
        Err("gateway: does not come to rest".into())
    }

    /// Its resident memory, in bytes.
    pub fn resident(&self) -> Result<f64, String> {
        resident(&self.proc("status"))
    }

    /// How many sockets it holds.
    pub fn sockets(&self) -> Result<usize, String> {
        let files = std::fs::read_dir(self.proc("fd")).map_err(|e| format!("gateway: {e}"))?;
        let is_socket = |path: std::path::PathBuf| {
            std::fs::read_link(path).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
        };
        Ok(files.filter_map(|f| Some(f.ok()?.path())).filter(|p| is_socket(p.clone())).count())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // One that has ended by itself is gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The time on a core that a `schedstat` tells, in us.
fn schedule_us(file: &std::path::Path) -> Option<f64> {
    let text = std::fs::read_to_string(file).ok()?;
    Some(text.split_whitespace().next()?.parse::<f64>().ok()? / 1000.0)
}

/// The resident memory that a process' `status` tells, in bytes.
pub fn resident(status: &std::path::Path) -> Result<f64, String> {
    let text = std::fs::read_to_string(status).map_err(|e| format!("{}: {e}", status.display()))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.map(|k| k * 1024.0).ok_or_else(|| format!("{}: expected VmRSS", status.display()))
}

/// The processor time that this thread has had, in us, to some ms.
pub fn thread_us() -> Result<f64, String> {
    let us = schedule_us(std::path::Path::new("/proc/thread-self/schedstat"));
    us.ok_or_else(|| "/proc/thread-self/schedstat: expected to be there".into())
}

/// The configuration of one of so many gateways.
pub fn config(instances: u32, tenants: usize, discovery: SocketAddr, known: Value) -> Value {
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
            "discovery": "push", "instances": instances, "me": 0, "zone": "a", "zones": ["a"], "tick_ms": 5.0}
    })
}

/// The name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// A host as discovery lists it.
pub fn host(number: usize, at: SocketAddr, state: &str) -> Value {
    json!({"uid": format!("server-{number:06}"), "endpoint": at.to_string(), "az": "a", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// A list of hosts nobody calls, whole.
pub fn hosts(count: usize) -> Value {
    let at = |n: usize| SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 8080));
    let targets: Vec<Value> = (0..count).map(|n| host(n, at(n), "SERVING")).collect();
    json!({"rev": 1, "all": true, "targets": targets})
}

#[derive(Debug, Default)]
struct Register {
    rev: u64,
    whole: String,
    change: String,
    calls: u64, // Calls that have come in; the one after an answer says that the answer has been read.
}

type Shared = Arc<(Mutex<Register>, Condvar)>;

fn lock(shared: &Shared) -> MutexGuard<'_, Register> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A discovery for one gateway, which serves a list as it is given, and the last change in it.
#[derive(Debug)]
pub struct Discovery {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Shared,
}

impl Discovery {
    /// One whose list has revision 1.
    pub fn start(list: &Value) -> Result<Self, String> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let register = Register { rev: 1, whole: list.to_string(), ..Register::default() };
        let shared: Shared = Arc::new((Mutex::new(register), Condvar::new()));
        let theirs = shared.clone();
        // Its threads end with the program: there are few, and each waits for bytes or news.
        std::thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let shared = theirs.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(Discovery { at, shared })
    }

    /// How many calls have come.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }

    /// Tells a change, and waits until the gateway has read it and called again.
    pub fn tell(&self, target: &Value) -> Result<(), String> {
        let mut register = lock(&self.shared);
        register.rev += 1;
        register.change = json!({"rev": register.rev, "all": false, "targets": [target]}).to_string();
        let calls = register.calls;
        drop(register);
        self.shared.1.notify_all();
        self.wait_for(calls + 1)
    }

    /// Waits until so many calls have come.
    pub fn wait_for(&self, calls: u64) -> Result<(), String> {
        let by = Instant::now() + READY_WITHIN;
        while self.calls() < calls {
            if Instant::now() > by {
                return Err("discovery: the gateway does not call again".into());
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut answers) = stream.try_clone() else { return };
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(first) = lines.next() {
        while lines.next().is_some_and(|line| !line.is_empty()) {}
        let mut register = lock(shared);
        register.calls += 1;
        let after = first.split("after=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
        let text = match after {
            None => register.whole.clone(),
            Some(rev) => {
                let news =
                    shared.1.wait_timeout_while(register, Duration::from_millis(2400), |r| r.rev <= rev);
                let (register, _) = news.unwrap_or_else(PoisonError::into_inner);
                if register.rev > rev {
                    register.change.clone()
                } else {
                    json!({"rev": register.rev, "all": false, "targets": []}).to_string()
                }
            }
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if answers.write_all((head + &text).as_bytes()).is_err() {
            return;
        }
    }
}
