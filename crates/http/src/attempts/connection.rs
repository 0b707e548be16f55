//! A connection to a runner for one exchange at a time.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

use actix_service::fn_service;
use actix_tls::connect::{ConnectError as TcpError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use ruddervalve_broker::{Broker, Clock, Counters, LONGEST_WAIT, duration_from_ms};
use ruddervalve_settings::Network;
use tokio::net::TcpStream;

use super::socket::{Outgoing, Socket};

/// A client that holds one connection at most, so that it is known whether an attempt went out on a kept one.
pub(crate) struct RunnerConnection {
    pub(crate) http_client: Client,
    /// Connections made so far.
    pub(super) made: Rc<Cell<usize>>,
    pub(super) outgoing: Rc<Outgoing>,
    pub(super) idle_since_ms: f64,
}

impl RunnerConnection {
    /// What goes out next is no attempt.
    pub(crate) fn begin_probe(&self) {
        self.outgoing.begin(None);
    }

    /// How many connections it has made so far.
    pub(crate) fn made(&self) -> usize {
        self.made.get()
    }

    pub(super) fn new(
        network: &Network,
        broker: &Rc<Broker>,
        counters: &Rc<Counters>,
        clock: &Clock,
    ) -> Self {
        let (clock, counters, broker) = (clock.clone(), counters.clone(), broker.clone());
        let (attempt, hold_last_byte, withheld) = (RefCell::new(None), Cell::new(false), Cell::new(false));
        let outgoing = Rc::new(Outgoing { broker, attempt, hold_last_byte, withheld });
        let made = Rc::new(Cell::new(0));
        let (count, outgoing_there) = (made.clone(), outgoing.clone());
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let (count, outgoing, counters) = (count.clone(), outgoing_there.clone(), counters.clone());
            let clock = clock.clone();
            async move {
                let asked = clock.now();
                let stream = open(&info).await?;
                let one_way_ms = (clock.now() - asked) / 2.0;
                count.set(count.get() + 1);
                if !outgoing.may_go(one_way_ms) {
                    return Err(TcpError::Io(io::ErrorKind::TimedOut.into()));
                }
                let (last_byte_timer, writing) = (None, Cell::new(false));
                let socket = Socket { stream, outgoing, last_byte_timer, writing, one_way_ms, counters };
                Ok(Connection::new(info.request().clone(), socket))
            }
        });
        let connector =
            Connector::new().connector(connect).timeout(duration_from_ms(network.connect_timeout_ms));
        // How long a connection is kept is looked at here, not in the pool.
        let connector = connector.conn_keep_alive(LONGEST_WAIT).conn_lifetime(LONGEST_WAIT);
        let builder = Client::builder().connector(connector).disable_timeout().disable_redirects();
        Self { http_client: builder.no_default_headers().finish(), made, outgoing, idle_since_ms: 0.0 }
    }
}

/// A connection whose small writes go out at once: what the system still holds back goes with a reset.
async fn open(info: &ConnectInfo<Uri>) -> Result<TcpStream, TcpError> {
    let address = info.addrs().next().ok_or(TcpError::Unresolved)?;
    let stream = TcpStream::connect(address).await.map_err(TcpError::Io)?;
    stream.set_nodelay(true).map_err(TcpError::Io)?;
    Ok(stream)
}

/// The client for discovery: no retries, no redirects, no time-out but that of connecting.
pub(crate) fn discovery_client(network: &Network) -> Client {
    let connect = fn_service(|info: ConnectInfo<Uri>| async move {
        let stream = open(&info).await?;
        Ok::<_, TcpError>(Connection::new(info.request().clone(), stream))
    });
    let connector = Connector::new().connector(connect).timeout(duration_from_ms(network.connect_timeout_ms));
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}
