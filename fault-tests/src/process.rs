//! Processes of the gateway: started as the platform starts them, signalled, and restarted at the same address.
use crate::error::ProcessError;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// How long a gateway may take to start, and to exit.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How many log lines of a process are kept.
const MAX_LOG_LINE_COUNT: usize = 200;

/// How a gateway's program is started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<OsString>,
    /// Environment variables; `{name}` in a value stands for the gateway's name.
    pub variables: Vec<(String, String)>,
}

impl Launch {
    /// The running program, with the argument that makes it a gateway.
    ///
    /// # Errors
    /// If the path of the program is unknown.
    pub fn current_program() -> io::Result<Self> {
        Ok(Launch { program: std::env::current_exe()?, args: vec!["gateway".into()], variables: Vec::new() })
    }
}

/// Has the kernel kill this process when its parent exits, however that exits. `false` if the parent has exited already.
pub fn exit_with_parent() -> bool {
    let parent = rustix::process::getppid();
    let bound = rustix::process::set_parent_process_death_signal(Some(Signal::KILL));
    bound.is_ok() && rustix::process::getppid() == parent && parent != Some(Pid::INIT)
}

/// Runs the gateway's program as a child of the fault tests. It exits with its parent, so that none is left behind.
pub fn run_gateway() -> std::process::ExitCode {
    if !exit_with_parent() {
        eprintln!("ternstack-fault-tests: the rig that started this gateway is gone");
        return std::process::ExitCode::FAILURE;
    }
    ternstack_gateway::program::main()
}

/// The last log lines of a process, kept across restarts.
#[derive(Clone, Debug, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

impl Log {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: String) {
        let mut lines = self.lines();
        if lines.len() == MAX_LOG_LINE_COUNT {
            lines.remove(0);
        }
        lines.push(line);
    }
}

/// A process of the gateway. It is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    launch: Launch,
    name: String,
    config_file: PathBuf,
    /// Where it listens; the same after a restart.
    pub address: SocketAddr,
    child: Child,
    log: Log,
}

impl Process {
    /// Starts the program and waits until it serves. Its configuration is written to `folder`; it listens on `listen`,
    /// where port 0 lets the kernel choose.
    ///
    /// # Errors
    /// If it cannot be started or does not serve in time.
    pub async fn start(
        launch: &Launch, folder: &Path, name: &str, listen: SocketAddr, config: &Value,
    ) -> Result<Self, ProcessError> {
        let config_file = folder.join(format!("{name}.json"));
        let log = Log::default();
        let (child, address) = spawn(launch, &config_file, name, listen, config, &log).await?;
        Ok(Process { launch: launch.clone(), name: name.into(), config_file, address, child, log })
    }

    /// Starts the program again, at the same address, after it has exited.
    ///
    /// # Errors
    /// If it cannot be started or does not serve in time.
    pub async fn restart(&mut self, config: &Value) -> Result<(), ProcessError> {
        (self.child, self.address) =
            spawn(&self.launch, &self.config_file, &self.name, self.address, config, &self.log).await?;
        Ok(())
    }

    fn control_error(&self, source: impl Into<io::Error>) -> ProcessError {
        ProcessError::Control { name: self.name.clone(), source: source.into() }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| ProcessError::Exited { name: self.name.clone() })?;
        kill_process(pid, signal).map_err(|errno| self.control_error(errno))
    }

    /// Kills it and waits until it has exited.
    ///
    /// # Errors
    /// If it cannot be signalled or awaited.
    pub async fn kill(&mut self) -> Result<(), ProcessError> {
        self.child.kill().await.map_err(|error| self.control_error(error))
    }

    /// Stops it (SIGSTOP).
    ///
    /// # Errors
    /// If it has exited or cannot be signalled.
    pub fn pause(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Lets it continue (SIGCONT).
    ///
    /// # Errors
    /// If it has exited or cannot be signalled.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Replaces its configuration and has it reloaded (SIGHUP).
    ///
    /// # Errors
    /// If the configuration cannot be written, or the process has exited or cannot be signalled.
    pub fn reload(&self, config: &Value) -> Result<(), ProcessError> {
        write_config(&self.config_file, config)?;
        self.signal(Signal::HUP)
    }

    /// Asks it to exit (SIGTERM).
    ///
    /// # Errors
    /// If it has exited or cannot be signalled.
    pub fn send_sigterm(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Asks it to exit and waits for it; its exit code, or `None` if it was killed.
    ///
    /// # Errors
    /// If it cannot be signalled or does not exit in time.
    pub async fn terminate(&mut self) -> Result<Option<i32>, ProcessError> {
        self.send_sigterm()?;
        self.wait_for_exit().await
    }

    /// Waits until it has exited; its exit code, or `None` if it was killed.
    ///
    /// # Errors
    /// If it does not exit in time or cannot be awaited.
    pub async fn wait_for_exit(&mut self) -> Result<Option<i32>, ProcessError> {
        let exited = timeout(READY_TIMEOUT, self.child.wait()).await;
        let status = exited.map_err(|_| ProcessError::DoesNotExit { name: self.name.clone() })?;
        status.map(|status| status.code()).map_err(|error| self.control_error(error))
    }

    /// Whether it has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its last log lines.
    pub fn log(&self) -> Vec<String> {
        self.log.lines().clone()
    }
}

fn write_config(file: &Path, config: &Value) -> Result<(), ProcessError> {
    std::fs::write(file, config.to_string())
        .map_err(|source| ProcessError::File { path: file.into(), source })
}

/// Starts the program and waits until it serves; its process and the address that it listens on.
async fn spawn(
    launch: &Launch, config_file: &Path, name: &str, listen: SocketAddr, config: &Value, log: &Log,
) -> Result<(Child, SocketAddr), ProcessError> {
    write_config(config_file, config)?;
    let mut command = Command::new(&launch.program);
    command
        .args(&launch.args)
        .env("LB_CONFIG", config_file)
        .env("LB_NAME", name)
        .env("LB_LISTEN", listen.to_string());
    for (variable, value) in &launch.variables {
        command.env(variable, value.replace("{name}", name));
    }
    command.env_remove("LB_DISCOVERY").env_remove("LB_LOG").env_remove("LB_OPERATOR");
    command.stdin(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
    let mut child =
        command.spawn().map_err(|source| ProcessError::File { path: launch.program.clone(), source })?;
    let stderr = child.stderr.take().ok_or_else(|| ProcessError::NoLog { name: name.into() })?;
    let (addresses, mut address) = mpsc::channel(1);
    tokio::spawn(read_log(stderr, log.clone(), addresses));
    match timeout(READY_TIMEOUT, address.recv()).await {
        Ok(Some(address)) => Ok((child, address)),
        _ => Err(ProcessError::NotReady { name: name.into(), timeout: READY_TIMEOUT }),
    }
}

/// Reads a log to its end, so that the process never blocks on it, and reports the address that it listens on.
async fn read_log(stderr: ChildStderr, log: Log, addresses: mpsc::Sender<SocketAddr>) {
    let mut lines = BufReader::new(stderr).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let listen = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
        if let Some(address) = listen.and_then(|text| text.parse::<SocketAddr>().ok()) {
            // Only the first address is awaited.
            let _ = addresses.try_send(address);
        }
        log.push(line);
    }
}
