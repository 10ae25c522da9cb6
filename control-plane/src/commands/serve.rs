//! The `origin` and `distributor` subcommands, which run a control server until a signal arrives.
use super::CommandError;
use crate::cli::ServeArguments;
use std::convert::Infallible;
use std::io;
use ternstack_control_plane::operator_file::{new_incarnation, OperatorFile, ServerRole};
use ternstack_control_plane::server::ControlServer;
use ternstack_replication::store::Store;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tracing::info;

/// Runs a control server until SIGTERM or SIGINT arrives.
pub async fn serve(arguments: ServeArguments, role: ServerRole) -> Result<(), CommandError> {
    tracing_subscriber::fmt()
        .with_max_level(arguments.log)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .init();
    let name = arguments.name;
    let operator = OperatorFile::from_file(&arguments.operator)?;
    let address = operator.server(&name, role)?.address;
    let serve_error = |cause: io::Error| CommandError::Serve { address, cause };
    let mut terminate = signal(SignalKind::terminate()).map_err(serve_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(serve_error)?;
    let listener = TcpListener::bind(address).await.map_err(serve_error)?;
    info!(name, %address, ?role, "serving");
    tokio::select! {
        never = run(&name, role, &operator, listener) => match never {},
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(name, "stopping");
    Ok(())
}

async fn run(name: &str, role: ServerRole, operator: &OperatorFile, listener: TcpListener) -> Infallible {
    match role {
        ServerRole::Primary => ControlServer::primary(name, operator.lease, Store::new()).run(listener).await,
        ServerRole::Replica => {
            let server = ControlServer::replica(new_incarnation(name), operator.lease);
            server.run(listener, operator.primary_addresses(), operator.lease).await
        }
    }
}
