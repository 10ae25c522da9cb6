//! Rereads the configuration on SIGHUP, and follows discovery to its new address.
use super::RETRY_DELAY;
use crate::config::{Config, ConfigError};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, Instant};
use tracing::{error, info, warn};

/// The pause before a retry once reading has failed for [`HALF_WRITTEN_TIMEOUT`].
const LONG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a half-written file is waited for.
const HALF_WRITTEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Rereads the configuration on each SIGHUP. A faulty file is logged, and the old configuration stays in force.
pub(super) async fn reload_on_hangup(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        if let Some(config) = reread(&mut hangup).await {
            info!(discovery = %config.discovery, "configuration reread");
            discovery.send_if_modified(|old| std::mem::replace(old, config.discovery) != config.discovery);
        }
    }
}

/// Reads the new configuration. An unreadable file is read again until it can be read, a half-written one for
/// [`HALF_WRITTEN_TIMEOUT`]; a further SIGHUP begins anew.
async fn reread(hangup: &mut Signal) -> Option<Config> {
    let mut begun_at = Instant::now();
    let mut has_warned = false;
    loop {
        let error = match read_in_thread().await {
            Ok(config) => return Some(config),
            Err(error) => error,
        };
        let may_retry = match &error {
            ConfigError::Unreadable { .. } => true,
            ConfigError::HalfWritten(_) => begun_at.elapsed() < HALF_WRITTEN_TIMEOUT,
            _ => false,
        };
        if !may_retry {
            error!("{error}; the old configuration stays in force");
            return None;
        }
        if !std::mem::replace(&mut has_warned, true) {
            warn!("{error}; reading it again");
        }
        let is_recent = begun_at.elapsed() < HALF_WRITTEN_TIMEOUT;
        let delay = if is_recent { RETRY_DELAY } else { LONG_RETRY_DELAY };
        tokio::select! {
            () = sleep(delay) => {}
            Some(()) = hangup.recv() => (begun_at, has_warned) = (Instant::now(), false),
        }
    }
}

/// Reads the new configuration in a thread of its own, since reading blocks on the disk.
async fn read_in_thread() -> Result<Config, ConfigError> {
    let (sender, config) = oneshot::channel();
    // The receiver is gone only as the program ends.
    let thread = std::thread::Builder::new().spawn(move || drop(sender.send(Config::from_env_again())));
    let unreadable =
        |source: io::Error| ConfigError::Unreadable { path: "a thread to read it".into(), source };
    thread.map_err(unreadable)?;
    config.await.unwrap_or_else(|e| Err(unreadable(io::Error::other(e))))
}
