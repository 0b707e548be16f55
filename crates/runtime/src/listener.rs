//! Where other processes connect.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ruddervalve_protocol::Greeting;
use ruddervalve_rpc::{LinkSettings, accept};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// New connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The pause after the system refused to accept, in milliseconds: descriptors have to come free.
const ACCEPT_PAUSE_MS: u64 = 10;

/// A connection that has greeted.
#[derive(Debug)]
pub struct Accepted {
    /// Who opened it, and for what.
    pub greeting: Greeting,
    /// The connection.
    pub stream: TcpStream,
}

/// Accepts connections of other processes until it is dropped.
#[derive(Debug)]
pub struct InternalListener {
    accepted: mpsc::UnboundedReceiver<Accepted>,
    task: JoinHandle<()>,
}

impl InternalListener {
    /// Begins to listen.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn bind(address: SocketAddr, settings: LinkSettings) -> io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let (sender, accepted) = mpsc::unbounded_channel();
        let task = tokio::task::spawn_local(accept_all(listener, settings, sender));
        Ok(Self { accepted, task })
    }

    /// The next connection that has greeted.
    pub async fn next(&mut self) -> Accepted {
        match self.accepted.recv().await {
            Some(accepted) => accepted,
            None => std::future::pending().await,
        }
    }
}

impl Drop for InternalListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, settings: LinkSettings, sender: mpsc::UnboundedSender<Accepted>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Small frames must not wait for the acknowledgement of those before.
                if let Err(error) = stream.set_nodelay(true) {
                    tracing::debug!(%error, "cannot set TCP_NODELAY: frames may come late");
                }
                tokio::task::spawn_local(greet(stream, settings, sender.clone()));
            }
            Err(error) => {
                tracing::debug!(%error, "a connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn greet(stream: TcpStream, settings: LinkSettings, sender: mpsc::UnboundedSender<Accepted>) {
    match accept(stream, &settings).await {
        Ok((greeting, stream)) => {
            let _ = sender.send(Accepted { greeting, stream });
        }
        Err(error) => tracing::debug!(%error, "a connection was dropped"),
    }
}
