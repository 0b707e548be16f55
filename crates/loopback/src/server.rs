//! Serving connections until the server is dropped or ended.

use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// A listener with the tasks of its connections. All end when it is dropped: the connections are closed.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on a free port of this address and gives each connection to `serve`.
    pub(crate) async fn start<F>(
        ip: IpAddr,
        serve: impl Fn(TcpStream) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_all(listener, serve));
        Ok(Self { address, task })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes everything.
    pub(crate) fn end(&self) {
        self.task.abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

async fn accept_all<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted
                    && stream.set_nodelay(true).is_ok()
                {
                    connections.spawn(serve(stream));
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}
