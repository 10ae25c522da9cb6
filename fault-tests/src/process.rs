//! Processes of the gateway, started as the platform starts them, and what can befall them.
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A gateway is ready within this, or the run is void.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// The last log lines that are kept for a reader.
const KEPT_LINES: usize = 200;

/// How the program is started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<OsString>,
    /// Variables of its environment; `{name}` in a value stands for the gateway's name.
    pub variables: Vec<(String, String)>,
}

impl Launch {
    /// This very program, told by its first argument to be a gateway.
    pub fn myself() -> io::Result<Self> {
        Ok(Launch { program: std::env::current_exe()?, args: vec!["gateway".into()], variables: Vec::new() })
    }
}

/// From now on this process is killed when its parent ends, however that ends. `false` where the parent has ended already.
pub fn end_with_parent() -> bool {
    let parent = rustix::process::getppid();
    let bound = rustix::process::set_parent_process_death_signal(Some(Signal::KILL));
    bound.is_ok() && rustix::process::getppid() == parent && parent != Some(Pid::INIT)
}

/// The gateway's whole program, as a child of a rig: it ends with its parent.
pub fn be_a_gateway() -> std::process::ExitCode {
    // Guards against processes that outlive a rig which was killed.
    if !end_with_parent() {
        eprintln!("ternstack-fault-tests: the rig that started this gateway is gone");
        return std::process::ExitCode::FAILURE;
    }
    ternstack_gateway::program::main()
}

/// A process of the gateway.
#[derive(Debug)]
pub struct Process {
    launch: Launch,
    name: String,
    file: PathBuf,
    /// Where it listens; the same after each start.
    pub at: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the program with this configuration, which is written to `folder`, and waits until it serves.
    /// `listen` is where; port 0 lets the kernel choose.
    pub async fn start(
        launch: &Launch, folder: &std::path::Path, name: &str, listen: SocketAddr, config: &Value,
    ) -> Result<Self, String> {
        let file = folder.join(format!("{name}.json"));
        let log = Arc::default();
        let (child, at) = spawn(launch, &file, name, listen, config, &log).await?;
        Ok(Process { launch: launch.clone(), name: name.into(), file, at, child, log })
    }

    /// Starts it anew, at the same address, once the last one has ended.
    pub async fn restart(&mut self, config: &Value) -> Result<(), String> {
        let at = self.at;
        (self.child, self.at) = spawn(&self.launch, &self.file, &self.name, at, config, &self.log).await?;
        Ok(())
    }

    fn signal(&self, signal: Signal) -> Result<(), String> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| format!("{}: has ended", self.name))?;
        kill_process(pid, signal).map_err(|e| format!("{}: {e}", self.name))
    }

    /// Kills it, and waits for its end.
    pub async fn kill(&mut self) -> Result<(), String> {
        self.child.kill().await.map_err(|e| format!("{}: {e}", self.name))
    }

    /// Lets it stand still.
    pub fn pause(&self) -> Result<(), String> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    pub fn go_on(&self) -> Result<(), String> {
        self.signal(Signal::CONT)
    }

    /// Replaces its configuration, and tells it so.
    pub fn reload(&self, config: &Value) -> Result<(), String> {
        std::fs::write(&self.file, config.to_string())
            .map_err(|e| format!("{}: {e}", self.file.display()))?;
        self.signal(Signal::HUP)
    }

    /// Tells it to stop.
    pub fn tell_to_stop(&self) -> Result<(), String> {
        self.signal(Signal::TERM)
    }

    /// Tells it to stop, and waits for that; its exit code.
    pub async fn terminate(&mut self) -> Result<Option<i32>, String> {
        self.tell_to_stop()?;
        self.end().await
    }

    /// Waits for its end; its exit code.
    pub async fn end(&mut self) -> Result<Option<i32>, String> {
        let ended = timeout(READY_WITHIN, self.child.wait()).await;
        let status = ended.map_err(|_| format!("{}: does not stop", self.name))?;
        status.map(|s| s.code()).map_err(|e| format!("{}: {e}", self.name))
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its last log lines.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn spawn(
    launch: &Launch, file: &std::path::Path, name: &str, listen: SocketAddr, config: &Value,
    log: &Arc<Mutex<Vec<String>>>,
) -> Result<(Child, SocketAddr), String> {
    std::fs::write(file, config.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut command = Command::new(&launch.program);
    command
        .args(&launch.args)
        .env("LB_CONFIG", file)
        .env("LB_NAME", name)
        .env("LB_LISTEN", listen.to_string());
    for (variable, value) in &launch.variables {
        command.env(variable, value.replace("{name}", name));
    }
    command.env_remove("LB_DISCOVERY").env_remove("LB_LOG").env_remove("LB_OPERATOR");
    command.stdin(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().map_err(|e| format!("{}: {e}", launch.program.display()))?;
    let lines = child.stderr.take().ok_or_else(|| format!("{name}: no log"))?;
    let (serving, mut at) = mpsc::channel(1);
    let log = log.clone();
    // The log is read to its end, so that the program never waits for its reader.
    tokio::spawn(async move {
        let mut lines = BufReader::new(lines).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let listen = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
            if let Some(at) = listen.and_then(|text| text.parse::<SocketAddr>().ok()) {
                let _ = serving.try_send(at);
            }
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            if log.len() == KEPT_LINES {
                log.remove(0);
            }
            log.push(line);
        }
    });
    match timeout(READY_WITHIN, at.recv()).await {
        Ok(Some(at)) => Ok((child, at)),
        _ => Err(format!("{name}: is not ready within {READY_WITHIN:?}")),
    }
}
