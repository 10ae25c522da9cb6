//! Stub servers on loopback in place of what gateways connect to: [`StubHost`] and [`StubDiscovery`].
//!
//! Each has a listener for every gateway, so that it knows who connects. All end when they are dropped.
mod discovery;
mod host;

pub use discovery::StubDiscovery;
pub use host::{FaultEvery, ResponseFault, ServerBehaviour, StubHost};

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use ternstack_gateway::http1::CompleteMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// The listeners of a stub server.
#[derive(Debug, Default)]
struct Listeners(Vec<JoinHandle<()>>);

impl Drop for Listeners {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

impl Listeners {
    /// Listens on a port of its own and has `serve` handle each connection; the address.
    async fn add<F: Future<Output = ()> + Send + 'static>(
        &mut self, serve: impl Fn(TcpStream) -> F + Send + 'static,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        self.0.push(tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream));
            }
        }));
        Ok(address)
    }
}

/// A header field's value, or an empty text.
fn field<S>(message: &CompleteMessage<S>, name: &str) -> String {
    message.fields.text(name).unwrap_or("").to_string()
}
