//! The command-line options of `hostile`, and the runs that they select.
use super::kind::HostileKind;
use super::{Circumstance, Plan, PROTOCOL_PATIENCE};
use std::path::PathBuf;
use std::time::Duration;

/// The command-line options of `hostile`.
#[derive(clap::Args, Debug)]
pub struct HostileOptions {
    /// Kinds of clients; all if none is given.
    #[arg(long, value_delimiter = ',')]
    kind: Vec<HostileKind>,
    /// What happens meanwhile; all circumstances if none is given.
    #[arg(long, value_delimiter = ',')]
    circumstance: Vec<Circumstance>,
    /// Values of the gateway's `limits.memory_mb`.
    #[arg(long, value_delimiter = ',', default_value = "32")]
    memory_mb: Vec<u64>,
    /// Values of the gateway's `limits.sockets`.
    #[arg(long, value_delimiter = ',', default_value = "1024")]
    sockets: Vec<usize>,
    /// Number of hostile clients.
    #[arg(long, default_value_t = 900)]
    clients: usize,
    /// Length of the hosts' responses, in bytes.
    #[arg(long, default_value_t = 60 * 1024)]
    response_bytes: usize,
    /// Length of an attack, in seconds.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Share of a processor core that the gateway gets; without it there is no quota.
    #[arg(long)]
    cpu_share: Option<f64>,
    /// Path of the gateway program; this program itself if none is given.
    #[arg(long)]
    pub program: Option<PathBuf>,
}

impl HostileOptions {
    /// Returns a run for each combination of the options.
    pub fn plans(&self) -> Vec<Plan> {
        let kinds = if self.kind.is_empty() { &HostileKind::ALL[..] } else { &self.kind };
        let circumstances =
            if self.circumstance.is_empty() { &Circumstance::ALL[..] } else { &self.circumstance };
        let mut plans = Vec::new();
        for &memory_mb in &self.memory_mb {
            for &sockets in &self.sockets {
                for &circumstance in circumstances {
                    plans.extend(kinds.iter().map(|&kind| Plan {
                        kind,
                        circumstance,
                        memory_mb,
                        sockets,
                        clients: self.clients,
                        response_bytes: self.response_bytes,
                        duration: Duration::from_secs(self.seconds),
                        cpu_share: self.cpu_share,
                        patience: PROTOCOL_PATIENCE,
                    }));
                }
            }
        }
        plans
    }
}
