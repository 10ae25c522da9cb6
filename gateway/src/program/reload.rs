//! Reloading of the configuration on SIGHUP. Only discovery's address takes effect while the gateway runs.
use super::RETRY_DELAY;
use crate::config::{Config, ConfigError};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, Instant};
use tracing::{error, info, warn};

/// The delay before a retry once reading the file has failed for [`HALF_WRITTEN_TIMEOUT`].
const LONG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a file whose text ends too early is read again, because another process may still be writing the
/// file.
const HALF_WRITTEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Rereads the configuration on each SIGHUP and sends a new address of discovery to `discovery`. If the file
/// is invalid, logs the error and keeps the old configuration.
pub(super) async fn reload_on_hangup(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        if let Some(config) = reread(&mut hangup).await {
            info!(discovery = %config.discovery, "configuration reread");
            discovery.send_if_modified(|old| std::mem::replace(old, config.discovery) != config.discovery);
        }
    }
}

/// Reads the new configuration; returns `None` if the file is invalid. An unreadable file is read again
/// without a time limit, and a half-written file for [`HALF_WRITTEN_TIMEOUT`]. Another SIGHUP restarts that
/// time.
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
            error!(%error, "cannot reload the configuration; the old configuration stays in force");
            return None;
        }
        if !std::mem::replace(&mut has_warned, true) {
            warn!(%error, "cannot read the configuration; retrying");
        }
        let is_recent = begun_at.elapsed() < HALF_WRITTEN_TIMEOUT;
        let delay = if is_recent { RETRY_DELAY } else { LONG_RETRY_DELAY };
        tokio::select! {
            () = sleep(delay) => {}
            Some(()) = hangup.recv() => (begun_at, has_warned) = (Instant::now(), false),
        }
    }
}

/// Reads the new configuration in a separate thread, because reading blocks on the disk.
async fn read_in_thread() -> Result<Config, ConfigError> {
    let (sender, config) = oneshot::channel();
    // The receiver is dropped only when the program ends.
    let thread = std::thread::Builder::new().spawn(move || drop(sender.send(Config::reread_env())));
    let unreadable =
        |source: io::Error| ConfigError::Unreadable { path: "the file in a separate thread".into(), source };
    thread.map_err(unreadable)?;
    config.await.unwrap_or_else(|e| Err(unreadable(io::Error::other(e))))
}
