//! Gateway processes: started as the platform starts them, signalled, and restarted at the same address.
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

/// Time limit for the start of a gateway process, and for its exit.
pub const START_OR_EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Log lines of a process that are kept; older lines are dropped.
const MAX_LOG_LINES: usize = 200;

/// The command that starts a gateway process.
#[derive(Clone, Debug)]
pub struct Launch {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments of the program.
    pub args: Vec<OsString>,
    /// Additional environment variables; `{name}` in a value is replaced by the gateway's name.
    pub variables: Vec<(String, String)>,
}

impl Launch {
    /// Returns the command that runs the current program with the subcommand `gateway`.
    ///
    /// # Errors
    /// Returns an error if the path of the current program is unknown.
    pub fn current_program() -> io::Result<Self> {
        Ok(Launch { program: std::env::current_exe()?, args: vec!["gateway".into()], variables: Vec::new() })
    }
}

/// Has the kernel kill this process when its parent exits, also when the parent is killed. Returns `false` if
/// the parent has already exited or the kernel rejects the setting.
pub fn exit_with_parent() -> bool {
    let parent = rustix::process::getppid();
    let bound = rustix::process::set_parent_process_death_signal(Some(Signal::KILL));
    bound.is_ok() && rustix::process::getppid() == parent && parent != Some(Pid::INIT)
}

/// Runs the gateway program as a child of the fault tests. The process exits with its parent, so that no
/// gateway is left running after the fault tests.
pub fn run_gateway() -> std::process::ExitCode {
    if !exit_with_parent() {
        eprintln!("ternstack-fault-tests: the process that started this gateway has exited");
        return std::process::ExitCode::FAILURE;
    }
    ternstack_gateway::program::main()
}

/// The last log lines of a gateway, kept across restarts of its process.
#[derive(Clone, Debug, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

impl Log {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: String) {
        let mut lines = self.lines();
        if lines.len() == MAX_LOG_LINES {
            lines.remove(0);
        }
        lines.push(line);
    }
}

/// A gateway process. Dropping the value kills the process.
#[derive(Debug)]
pub struct Process {
    launch: Launch,
    name: String,
    config_file: PathBuf,
    /// Address on which the gateway listens; a restart keeps the address.
    pub address: SocketAddr,
    child: Child,
    log: Log,
}

impl Process {
    /// Starts a gateway and waits until the process has logged the address on which it listens. The
    /// configuration is written to `folder`. With port 0 in `listen` the kernel chooses the port.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started or does not log its listen address in time.
    pub async fn start(
        launch: &Launch, folder: &Path, name: &str, listen: SocketAddr, config: &Value,
    ) -> Result<Self, ProcessError> {
        let config_file = folder.join(format!("{name}.json"));
        let log = Log::default();
        let (child, address) = spawn(launch, &config_file, name, listen, config, &log).await?;
        Ok(Process { launch: launch.clone(), name: name.into(), config_file, address, child, log })
    }

    /// Starts the gateway again at the same address, after its process has exited.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started or does not log its listen address in time.
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

    /// Returns the id of the process, or `None` if it has been awaited after its exit.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error if the process cannot be signalled or awaited.
    pub async fn kill(&mut self) -> Result<(), ProcessError> {
        self.child.kill().await.map_err(|error| self.control_error(error))
    }

    /// Stops the process (SIGSTOP).
    ///
    /// # Errors
    /// Returns an error if the process has exited or cannot be signalled.
    pub fn pause(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Continues the stopped process (SIGCONT).
    ///
    /// # Errors
    /// Returns an error if the process has exited or cannot be signalled.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Replaces the configuration file and asks the process to reload it (SIGHUP).
    ///
    /// # Errors
    /// Returns an error if the configuration cannot be written, or the process has exited or cannot be
    /// signalled.
    pub fn reload(&self, config: &Value) -> Result<(), ProcessError> {
        write_config(&self.config_file, config)?;
        self.signal(Signal::HUP)
    }

    /// Asks the process to exit (SIGTERM) without waiting for the exit.
    ///
    /// # Errors
    /// Returns an error if the process has exited or cannot be signalled.
    pub fn send_sigterm(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Asks the process to exit (SIGTERM) and waits for the exit. Returns the exit code, or `None` if a
    /// signal killed the process.
    ///
    /// # Errors
    /// Returns an error if the process cannot be signalled, cannot be awaited or does not exit in time.
    pub async fn terminate(&mut self) -> Result<Option<i32>, ProcessError> {
        self.send_sigterm()?;
        self.wait_for_exit().await
    }

    /// Waits until the process has exited. Returns the exit code, or `None` if a signal killed the process.
    ///
    /// # Errors
    /// Returns an error if the process does not exit in time or cannot be awaited.
    pub async fn wait_for_exit(&mut self) -> Result<Option<i32>, ProcessError> {
        let exited = timeout(START_OR_EXIT_TIMEOUT, self.child.wait()).await;
        let status = exited.map_err(|_| ProcessError::DoesNotExit { name: self.name.clone() })?;
        status.map(|status| status.code()).map_err(|error| self.control_error(error))
    }

    /// Returns whether the process has exited or its state cannot be read.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the last log lines of the gateway, the newest last.
    pub fn log(&self) -> Vec<String> {
        self.log.lines().clone()
    }
}

fn write_config(file: &Path, config: &Value) -> Result<(), ProcessError> {
    std::fs::write(file, config.to_string())
        .map_err(|source| ProcessError::File { path: file.into(), source })
}

/// Starts the program, waits until the process has logged its listen address, and returns the process and the
/// address.
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
    match timeout(START_OR_EXIT_TIMEOUT, address.recv()).await {
        Ok(Some(address)) => Ok((child, address)),
        _ => Err(ProcessError::NotReady { name: name.into(), timeout: START_OR_EXIT_TIMEOUT }),
    }
}

/// Reads the log of a process to its end, so that the process never blocks on a full pipe, and sends the
/// listen address that the log contains to `addresses`.
async fn read_log(stderr: ChildStderr, log: Log, addresses: mpsc::Sender<SocketAddr>) {
    let mut lines = BufReader::new(stderr).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let listen = line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
        if let Some(address) = listen.and_then(|text| text.parse::<SocketAddr>().ok()) {
            // The receiver takes only the first address.
            let _ = addresses.try_send(address);
        }
        log.push(line);
    }
}
