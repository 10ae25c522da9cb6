//! Stand-ins for clients and hosts, and the processes of a case. Only the standard library is used.
#![allow(dead_code, reason = "no case uses all of the stand-ins")]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// The time after which a case ends as one that could not run, below the limit of 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The result of a case, by which its process ends.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Runs a case, writes its verdict to the record, and returns the exit code of the script.
pub fn main(case: impl FnOnce(&Case) -> Result<Verdict, String>) -> ExitCode {
    let run = match Case::new() {
        Ok(run) => run,
        Err(e) => {
            eprintln!("cannot prepare the case: {e}");
            return ExitCode::from(2);
        }
    };
    let watched = run.clone();
    thread::spawn(move || {
        sleep(TIME_LIMIT);
        watched.note("time limit of the case reached");
        watched.end_processes();
        std::process::exit(2);
    });
    let verdict = case(&run).unwrap_or_else(Verdict::CouldNotRun);
    run.end_processes();
    let code = match verdict {
        Verdict::Held => {
            run.note("RESULT held (exit code 0)");
            0
        }
        Verdict::Broken => {
            run.note("RESULT broken (exit code 1)");
            1
        }
        Verdict::CouldNotRun(reason) => {
            run.note(&format!("RESULT could not run (exit code 2): {reason}"));
            2
        }
    };
    let _ = std::fs::remove_dir_all(&run.folder);
    ExitCode::from(code)
}

/// The state of one run: its clock, record, temporary folder and processes.
#[derive(Clone)]
pub struct Case {
    started: Instant,
    record: Arc<Mutex<File>>,
    processes: Arc<Mutex<BTreeMap<String, Child>>>,
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder, removed at the end.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    last_id: Arc<AtomicU64>,
}

impl Case {
    fn new() -> io::Result<Self> {
        let own_folder = std::env::current_dir()?;
        let root = own_folder.join("../..").canonicalize()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Case {
            started: Instant::now(),
            record: Arc::new(Mutex::new(File::create(own_folder.join("record.txt"))?)),
            processes: Arc::default(),
            root,
            folder,
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            last_id: Arc::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line to the record, with the time since the start of the case.
    pub fn note(&self, line: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:>8.3} s  {line}", self.started.elapsed().as_secs_f64());
    }

    /// Returns a correlation id that no other request of the run has.
    pub fn fresh_id(&self) -> String {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        format!("{:08x}{number:08x}", std::process::id())
    }

    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("the temporary folder takes files");
        path
    }

    /// Returns a value of the deploy file.
    fn deploy_command(&self, key: &str) -> Result<String, String> {
        let text =
            std::fs::read_to_string(self.root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let value = text.lines().find_map(|line| line.strip_prefix(key)?.trim().strip_prefix('='));
        let value = value.ok_or(format!("deploy/balancer.toml has no {key}"))?;
        Ok(value.trim().trim_matches('"').to_string())
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start_gateway(&self, name: &str, variables: &[(&str, &str)]) -> Result<(), String> {
        let run = self.deploy_command("run")?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).envs(variables.iter().copied());
        let shown: Vec<String> = variables.iter().map(|(name, value)| format!("{name}={value}")).collect();
        self.start(name, command, &format!("{} {run}", shown.join(" ")))
    }

    /// Starts a program of `target/release`.
    pub fn start_program(&self, name: &str, program: &str, arguments: &[&str]) -> Result<(), String> {
        let mut command = Command::new(self.root.join("target/release").join(program));
        command.args(arguments);
        self.start(name, command, &format!("{program} {}", arguments.join(" ")))
    }

    fn start(&self, name: &str, mut command: Command, shown: &str) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(self.log_path(name));
        let log = log.map_err(|e| e.to_string())?;
        command.current_dir(&self.root).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // SAFETY: prctl is safe to call between fork and exec. The process ends with this one in any case.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|e| format!("cannot start {name}: {e}"))?;
        self.note(&format!("start {name}: {shown} (pid {})", child.id()));
        self.processes.lock().unwrap().insert(name.to_string(), child);
        Ok(())
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Returns what a process has written to standard error.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }

    /// Runs a program of `target/release` until it ends, and returns whether it succeeded.
    pub fn run_program(&self, program: &str, arguments: &[&str]) -> Result<String, String> {
        let output = Command::new(self.root.join("target/release").join(program))
            .args(arguments)
            .current_dir(&self.root)
            .output()
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&output.stdout).trim().replace('\n', " / ");
        let errors = String::from_utf8_lossy(&output.stderr).trim().replace('\n', " / ");
        self.note(&format!("ran {program} {}: {} {text} {errors}", arguments.join(" "), output.status));
        if output.status.success() {
            Ok(text)
        } else {
            Err(format!("{program} {}: {errors}", arguments.join(" ")))
        }
    }

    /// Sends a signal to a process that this case has started.
    pub fn signal(&self, name: &str, number: i32) {
        let processes = self.processes.lock().unwrap();
        let Some(child) = processes.get(name) else { return };
        self.note(&format!("signal {number} to {name} (pid {})", child.id()));
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(child.id() as i32, number) };
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, name: &str) {
        self.signal(name, SIGKILL);
        if let Some(mut child) = self.processes.lock().unwrap().remove(name) {
            let _ = child.wait();
        }
    }

    /// Returns how a process has ended; `None` while it runs.
    pub fn ended(&self, name: &str) -> Option<String> {
        let mut processes = self.processes.lock().unwrap();
        processes.get_mut(name)?.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn end_processes(&self) {
        for (_, mut child) in std::mem::take(&mut *self.processes.lock().unwrap()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until `GET /ready` of a gateway answers 200.
    pub fn wait_ready(&self, name: &str, gateway: SocketAddr) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Some(status) = self.ended(name) {
                return Err(format!("{name} ended: {status}: {}", self.log(name)));
            }
            if let Ok(mut stream) = TcpStream::connect(gateway) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                if read_response(&mut stream).is_ok_and(|response| response.status == 200) {
                    self.note(&format!("{name} is ready"));
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(20));
        }
        Err(format!("{name} is not ready within 10 s: {}", self.log(name)))
    }
}

/// Returns a loopback address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("a listener has an address")
}

/// A message read from a connection.
pub struct Message {
    pub start_line: String,
    /// The fields, by name in lower case.
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads one message with a Content-Length, or without a body. Returns `None` at the end of the stream.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_string();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let fields: BTreeMap<String, String> =
        pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string())).collect();
    let length = fields.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(Some(Message { start_line, fields, body }))
}

/// A gateway's answer to a client.
pub struct Response {
    pub status: u16,
    pub body: String,
    pub keep_alive: bool,
}

pub fn read_response(stream: &mut TcpStream) -> io::Result<Response> {
    let message = read_message(stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = message.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let keep_alive = !message.field("connection").eq_ignore_ascii_case("close");
    Ok(Response { status, body: String::from_utf8_lossy(&message.body).into_owned(), keep_alive })
}

/// The class of a request as clients of the platform send it.
#[derive(Clone, Copy)]
pub enum Kind {
    /// `GET`: safe to repeat.
    Safe,
    /// `POST` with a key.
    Keyed,
    /// `POST` without a key: must not run twice.
    Unsafe,
}

/// Returns the bytes of a client's request.
pub fn request_bytes(id: &str, class: &str, kind: Kind, time_left_ms: u64) -> Vec<u8> {
    let (method, key, body) = match kind {
        Kind::Safe => ("GET", String::new(), ""),
        Kind::Keyed => ("POST", format!("Idempotency-Key: key-{id}\r\n"), "{}"),
        Kind::Unsafe => ("POST", String::new(), "{}"),
    };
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\n{key}{length}\r\n{body}"
    )
    .into_bytes()
}

/// A client that keeps one connection and sends one request at a time.
pub struct Client {
    gateway: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(gateway: SocketAddr) -> Self {
        Client { gateway, stream: None }
    }

    /// Sends a request and waits for the answer, for a second longer than the client would.
    pub fn send(&mut self, id: &str, class: &str, kind: Kind, time_left_ms: u64) -> io::Result<Response> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect(self.gateway)?,
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(time_left_ms + 1000)))?;
        stream.write_all(&request_bytes(id, class, kind, time_left_ms))?;
        let response = read_response(&mut stream)?;
        if response.keep_alive {
            self.stream = Some(stream);
        }
        Ok(response)
    }
}

/// A request as it arrived at a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub host: String,
    pub id: String,
}

/// Starts a host that serves each request after `service` and notes its arrival. The body of an answer names
/// the request and the host.
pub fn start_host(
    case: &Case, name: &str, service: Duration, arrivals: &Arc<Mutex<Vec<Arrival>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    case.note(&format!("host {name} listens on {address}"));
    let (case, name, arrivals) = (case.clone(), name.to_string(), arrivals.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (case, name, arrivals) = (case.clone(), name.clone(), arrivals.clone());
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Ok(Some(request)) = read_message(&mut stream) {
                    let id = request.field("x-correlation-id").to_string();
                    let arrival = Arrival { at_ms: case.now_ms(), host: name.clone(), id: id.clone() };
                    arrivals.lock().unwrap().push(arrival);
                    sleep(service);
                    let body = format!("{id} by {name}\n");
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Backend-Load: util=0.2,qps=10\r\n\r\n",
                        body.len()
                    );
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

/// A flag that ends the threads of a case.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns a path as text.
pub fn text(path: &Path) -> &str {
    path.to_str().expect("paths of a case are UTF-8")
}

/// Starts discovery with a fixed list.
pub fn start_discovery(hosts: &[SocketAddr]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let targets: Vec<String> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| {
            format!(
                r#"{{"uid":"s-{number}","endpoint":"{host}","az":"a","model":"m","pod_group":0,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    let list = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, targets.join(","));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Ok(Some(request)) = read_message(&mut stream) {
                    let is_watch = request.start_line.contains("after=1&");
                    if is_watch {
                        sleep(Duration::from_millis(2500));
                    }
                    let body = if is_watch { r#"{"rev":1,"all":false,"targets":[]}"# } else { list.as_str() };
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns the configuration of the only gateway of a deployment, with these classes.
pub fn gateway_config(
    name: &str, listen: SocketAddr, discovery: SocketAddr, sockets: usize, classes: &str,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":7,
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
"settings":{{"classes":{classes},
"discovery":"ask","instances":1,"me":0,"zone":"a","zones":["a"],"tick_ms":5.0,
"limits":{{"cancel":true,"conn_idle_ms":30000.0,"dial_timeout_ms":250.0,"max_attempts":3,"max_open":20000,"max_retry_after_ms":2000.0}},
"report":{{"how":"inline","fields":["utilization","throughput"]}},
"safety":{{"ask_within_ms":10000.0,"cold_ms":9000.0,"cold_share":0.3,"drain_grace_ms":2000.0,"tip_multiple":3.0}}}}}}"#
    )
}
