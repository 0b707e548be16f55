//! The listening socket, which the platform may hold and pass on.

use std::net::SocketAddr;

use socket2::{SockRef, Type};
use tokio::net::TcpListener;
use tokio_listener::{ListenerAddress, SystemOptions, UserOptions};

/// Whether a descriptor that was passed on is an open socket.
///
/// # Errors
///
/// What it is instead, in words.
pub fn check_socket(fd: i32) -> Result<(), String> {
    match std::fs::read_link(format!("/proc/self/fd/{fd}")) {
        Ok(what) if what.to_string_lossy().starts_with("socket:") => Ok(()),
        Ok(_) => Err(format!("descriptor {fd} is no socket")),
        Err(_) => Err(format!("descriptor {fd} is not open")),
    }
}

/// Listens on an address or, where a descriptor was passed on, takes the socket that listens already.
///
/// # Errors
///
/// The address cannot be bound, or the descriptor is no listening TCP socket.
pub async fn listen(
    address: SocketAddr,
    accept_fd: Option<i32>,
) -> Result<TcpListener, Box<dyn std::error::Error>> {
    match accept_fd {
        None => Ok(TcpListener::bind(address).await?),
        Some(fd) => Ok(inherited(fd).await.map_err(|problem| format!("ROUTER_ACCEPT_FD: {problem}"))?),
    }
}

/// The listening socket that the platform holds.
async fn inherited(fd: i32) -> Result<TcpListener, String> {
    let mut options = UserOptions::default();
    options.sd_accept_ignore_environment = true;
    let address = ListenerAddress::FromFd(fd);
    let taken = tokio_listener::Listener::bind(&address, &SystemOptions::default(), &options).await;
    let taken = taken.map_err(|error| error.to_string())?;
    let listener = taken.try_into_tcp_listener().map_err(|_| "is no TCP socket".to_owned())?;
    let socket = SockRef::from(&listener);
    match socket.r#type().is_ok_and(|kind| kind == Type::STREAM) && socket.is_listener().unwrap_or(false) {
        true => Ok(listener),
        false => Err(format!("descriptor {fd} is no listening TCP socket")),
    }
}
