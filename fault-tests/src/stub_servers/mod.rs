//! Stub servers on loopback addresses that stand in for the peers of gateways: [`StubHost`] and
//! [`StubDiscovery`].
//!
//! A stub server has a listener for each gateway, so that the stub server knows which gateway connects.
//! Dropping a stub
//! server closes its listeners.
mod discovery;
mod host;

pub use discovery::StubDiscovery;
pub use host::{HostBehaviour, RecurringFault, ResponseFault, StubHost};

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use ternstack_gateway::http1::CompleteMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// The listeners of a stub server, one task each.
#[derive(Debug, Default)]
struct Listeners(Vec<JoinHandle<()>>);

impl Drop for Listeners {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

impl Listeners {
    /// Adds a listener on a free port, whose connections are handled by `serve`, and returns its address.
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

/// Returns the value of a header field, or an empty string if the message has no such field.
fn field<S>(message: &CompleteMessage<S>, name: &str) -> String {
    message.fields.text(name).unwrap_or("").to_string()
}
