//! What the cases of the second review share: a record, the gateway's processes, and stand-ins for discovery and
//! for servers. Only the standard library is used, and all addresses are loopback addresses.
#![allow(dead_code)] // No case uses all of it.
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;
pub const SIGHUP: i32 = 1;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The result of a case, as the exit code of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// Where a case runs, and whether it causes the disruption.
#[derive(Clone)]
pub struct Setup {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

/// The file `record.txt`: one line for each thing that was sent, answered, run or told.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Returns the seconds since the start of the case.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.now_s());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns a loopback port that was free a moment ago.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// ---------------------------------------------------------------------------------------------------- messages

/// An HTTP message as its first line, its fields in lower case, and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.field("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads a message whose body has a `Content-Length`. Returns `None` at the end of the connection between messages.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = fields.get("content-length").and_then(|l: &String| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { first_line: first_line.trim_end().to_string(), fields, body }))
}

// ---------------------------------------------------------------------------------------------------- gateways

/// A gateway process, started with the command of the deploy file. It is killed when the value is dropped.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub config: PathBuf,
    log: PathBuf,
    child: Child,
    root: PathBuf,
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
    let run = run.and_then(|rest| rest.rsplit_once('"')).map(|(command, _)| command.to_string());
    run.ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}

impl Gateway {
    /// Starts a gateway on a free port. `config` is its configuration without `name` and `listen`.
    pub fn start(setup: &Setup, name: &str, config: &str) -> io::Result<Gateway> {
        let address: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let path = setup.temporary.join(format!("{name}.json"));
        let text = format!("{{\"name\":\"{name}\",\"listen\":\"{address}\",{config}}}");
        fs::write(&path, text)?;
        let log = setup.temporary.join(format!("{name}.log"));
        let child = spawn(&setup.root, &path, &log)?;
        setup.record.line(&format!("gateway {name} started at {address}"));
        let (name, root) = (name.to_string(), setup.root.clone());
        Ok(Gateway { name, address, config: path, log, child, root })
    }

    /// Waits until `GET /ready` is answered with 200.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n")?;
        Ok(read_message(&mut BufReader::new(stream))?.is_some_and(|response| response.status() == 200))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes two numbers, and the process was started by this program and not yet waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, from nothing but its configuration.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.root, &self.config, &self.log)?;
        Ok(())
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, config: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(run_command(root)?)
        .current_dir(root)
        .env("LB_CONFIG", config)
        .env("LB_LOG", std::env::var("LB_LOG").unwrap_or_else(|_| "info".into()))
        .env("TMPDIR", config.parent().unwrap())
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_OPERATOR")
        .env_remove("LB_NAME")
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    // The script ends what is in this file and still runs.
    let pids = config.with_file_name("pids");
    writeln!(File::options().create(true).append(true).open(pids)?, "{}", child.id())?;
    Ok(child)
}

// ---------------------------------------------------------------------------------------------------- discovery

/// An entry of the list of servers.
#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: &'static str,
    pub started_ms: u64,
    pub changed: u64,
}

impl Entry {
    pub fn new(uid: &str, address: SocketAddr, zone: &str) -> Entry {
        Entry { uid: uid.into(), address, zone: zone.into(), state: "SERVING", started_ms: 0, changed: 1 }
    }

    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m1\",\"pod_group\":0,\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.address, self.zone, self.state, self.started_ms
        )
    }
}

#[derive(Default)]
struct Listing {
    revision: u64,
    entries: Vec<Entry>,
}

impl Listing {
    /// Returns the answer to a call: the changes after a revision, or the whole list.
    fn json(&self, after: Option<u64>) -> String {
        let after = after.filter(|after| *after <= self.revision);
        let is_named = |e: &&Entry| match after {
            Some(after) => e.changed > after,
            None => e.state != "DELETED",
        };
        let targets: Vec<String> = self.entries.iter().filter(is_named).map(Entry::json).collect();
        format!(
            "{{\"rev\":{},\"all\":{},\"targets\":[{}]}}",
            self.revision,
            after.is_none(),
            targets.join(",")
        )
    }
}

/// Discovery: the whole list, and watches that wait for changes. One service for all gateways.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    listing: Arc<(Mutex<Listing>, Condvar)>,
    is_down: Arc<AtomicBool>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let listing = Arc::new((Mutex::new(Listing { revision: 1, entries }), Condvar::new()));
        let (address, is_down) = (listener.local_addr()?, Arc::default());
        let discovery = Discovery { address, listing, is_down, record: record.clone() };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(discovery)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let target = request.first_line.split(' ').nth(1).unwrap_or("").to_string();
            let query = target.split_once('?').map_or("", |(_, query)| query);
            let number = |name: &str| {
                let pair =
                    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
                pair.and_then(|(_, value)| value.parse::<u64>().ok())
            };
            while self.is_down.load(Ordering::SeqCst) {
                sleep_ms(5);
            }
            let body = self.answer(number("after"), number("wait_ms").unwrap_or(0).min(60_000));
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
            if !body.ends_with("\"targets\":[]}") {
                self.record.line(&format!("discovery told {body}"));
            }
        }
        Ok(())
    }

    fn answer(&self, after: Option<u64>, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (listing, changed) = &*self.listing;
        let mut listing = listing.lock().unwrap();
        while after.is_some_and(|after| after == listing.revision) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            listing = changed.wait_timeout(listing, left).unwrap().0;
        }
        listing.json(after)
    }

    /// Takes discovery down, or up again. While it is down, calls get no answer.
    pub fn set_down(&self, is_down: bool) {
        self.record.line(if is_down { "discovery is down" } else { "discovery is up" });
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Changes the entry of a server, or adds one.
    pub fn set(&self, entry: Entry) {
        let (listing, changed) = &*self.listing;
        let mut listing = listing.lock().unwrap();
        listing.revision += 1;
        let entry = Entry { changed: listing.revision, ..entry };
        self.record.line(&format!("discovery has {}", entry.json()));
        match listing.entries.iter_mut().find(|known| known.uid == entry.uid) {
            Some(known) => *known = entry,
            None => listing.entries.push(entry),
        }
        changed.notify_all();
    }

    /// Returns the present list, in the form of `known` in a configuration.
    pub fn known(&self) -> String {
        self.listing.0.lock().unwrap().json(None)
    }
}

// ---------------------------------------------------------------------------------------------------- servers

/// What a server does with a request: the complete bytes of its answer, and whether it closes the connection then.
pub struct Reply {
    pub bytes: Vec<u8>,
    pub close: bool,
}

impl Reply {
    pub fn new(status: &str, fields: &str, body: &[u8]) -> Reply {
        let mut bytes =
            format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        Reply { bytes, close: false }
    }
}

/// A server: accepts connections, and calls its handler for each request.
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: Option<SocketAddr>, handler: Arc<dyn Fn(Message) -> Reply + Send + Sync>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address.unwrap_or("127.0.0.1:0".parse().unwrap()))?;
        let address = listener.local_addr()?;
        let is_down = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (down, open) = (is_down.clone(), streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if down.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                open.lock().unwrap().extend(stream.try_clone());
                let handler = handler.clone();
                thread::spawn(move || serve_requests(stream, &*handler));
            }
        });
        Ok(Server { address, is_down, streams })
    }

    /// Ends the server as a killed process does: its connections are closed and new ones are refused.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_requests(stream: TcpStream, handler: &(dyn Fn(Message) -> Reply + Send + Sync)) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let reply = handler(request);
        writer.write_all(&reply.bytes)?;
        if reply.close {
            return writer.shutdown(Shutdown::Both);
        }
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------------- clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new correlation id.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst) << 8 | 0x5a)
}

/// Returns a number from 0 to 1 of a sequence that depends on `state` alone.
pub fn random(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

// ---------------------------------------------------------------------------------------------------- the program

/// After this time a case ends as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Runs a case with the arguments `FOLDER TEMPORARY ROOT` and ends the process with its verdict. `TROUBLE=0` leaves
/// the disruption out.
pub fn run_case(case: fn(&Setup) -> io::Result<Verdict>) -> ! {
    let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [folder, temporary, root] = args.as_slice() else {
        eprintln!("expected the folders of the case, of temporary files and of the repository");
        std::process::exit(Verdict::CouldNotRun as i32);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt")).expect("record.txt can be written");
    let setup = Setup { root: root.clone(), temporary: temporary.clone(), trouble, record };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        // The script ends the gateways.
        std::process::exit(Verdict::CouldNotRun as i32);
    });
    let verdict = case(&setup).unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        Verdict::CouldNotRun
    });
    setup.record.line(&format!("verdict {verdict:?}"));
    println!("{verdict:?}");
    std::process::exit(verdict as i32);
}
