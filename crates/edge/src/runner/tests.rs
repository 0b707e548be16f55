//! Tests of what other parts cannot see.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use super::carried::Carried;
use super::connection::{Exchange, ExchangeError, RunnerConnection};
use super::pool::{OwnerRef, Permit, Pool, Pooled};
use super::request;

const OWNER: OwnerRef<'static> = OwnerRef { service: "s", instance: None };

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn pooled(connection: u32, permit: Permit) -> Pooled<u32> {
    Pooled { connection, owner: OWNER.into(), permit }
}

/// How the other side ends a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Closed,
    Reset,
}

/// A connection that the other side has ended, whether the runtime knows or not.
async fn ended(end: End) -> RunnerConnection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("accepted");
    stream.set_nodelay(true).expect("an option");
    let connection = RunnerConnection::new(stream).await.expect("made");
    assert!(connection.is_usable());
    let (peer, _) = listener.accept().await.expect("a connection");
    if end == End::Reset {
        peer.set_zero_linger().expect("an option");
    }
    drop(peer);
    connection
}

async fn failure(mut connection: RunnerConnection) -> Option<ExchangeError> {
    let request = request::health(address(1), "/health").expect("a request");
    let limit = pin!(sleep(Duration::from_secs(60)));
    let exchange = Exchange { request, request_id: None, most: 0 };
    connection.exchange(exchange, limit).await.err()
}

#[tokio::test]
async fn ended_connection_is_not_usable_though_the_runtime_does_not_know() {
    for end in [End::Closed, End::Reset] {
        assert!(!ended(end).await.is_usable(), "{end:?}");
    }
}

#[tokio::test]
async fn nothing_was_written_on_a_connection_known_to_have_ended() {
    for end in [End::Closed, End::Reset] {
        let connection = ended(end).await;
        for _ in 0..16 {
            yield_now().await;
        }
        assert_eq!(failure(connection).await, Some(ExchangeError::NotWritten), "{end:?}");
    }
}

#[tokio::test]
async fn bytes_given_to_the_system_may_have_arrived() {
    let connection = ended(End::Closed).await;
    assert!(matches!(failure(connection).await, Some(ExchangeError::Unclear(_))));
    assert_eq!(failure(ended(End::Reset).await).await, Some(ExchangeError::NotWritten));
}

#[test]
fn last_connection_in_is_first_out() {
    let mut pool = Pool::new(3);
    for number in 0..4 {
        let permit = pool.permit(address(1), 9, 0).expect("room");
        pool.checkin(address(1), pooled(number, permit), 100);
    }
    let permits: Vec<Permit> = (0..3).map(|_| pool.permit(address(2), 9, 0).expect("room")).collect();
    assert_eq!(pool.open_connections(&address(1)), 3, "the oldest gave way to the bound of idle ones");
    let mut taken = Vec::new();
    while let Some(pooled) = pool.take_idle(address(1), OWNER, 0, |_| true) {
        taken.push(pooled.connection);
    }
    assert_eq!(taken, [3, 2, 1]);
    assert_eq!(pool.open_connections(&address(1)), 0);
    assert_eq!(pool.open_connections(&address(2)), permits.len());
}

#[test]
fn time_runs_out_for_idle_connections() {
    let mut pool = Pool::new(3);
    for expires_ms in [100, 200] {
        let permit = pool.permit(address(1), 2, 0).expect("room");
        pool.checkin(address(1), pooled(1, permit), expires_ms);
    }
    pool.prune(100);
    assert_eq!(pool.open_connections(&address(1)), 1);
    assert!(pool.take_idle(address(1), OWNER, 200, |_| true).is_none());
    pool.prune(200);
    assert_eq!(pool.open_connections(&address(1)), 0);
}

#[test]
fn connection_from_before_an_address_was_given_up_does_not_come_back() {
    let mut pool = Pool::new(3);
    let permit = pool.permit(address(1), 1, 0).expect("room");
    pool.retain(|_| false);
    let again = pool.permit(address(1), 1, 0).expect("a new owner has its own bound");
    pool.checkin(address(1), pooled(1, permit), 100);
    assert!(pool.take_idle(address(1), OWNER, 0, |_| true).is_none());
    pool.checkin(address(1), pooled(2, again), 100);
    assert_eq!(pool.take_idle(address(1), OWNER, 0, |_| true).map(|pooled| pooled.connection), Some(2));
}

#[test]
fn idle_connection_that_does_not_fit_stays() {
    let mut pool = Pool::new(3);
    for number in [1, 2] {
        let permit = pool.permit(address(1), 2, 0).expect("room");
        pool.checkin(address(1), pooled(number, permit), 100);
    }
    let taken = pool.take_idle(address(1), OWNER, 0, |connection| *connection != 2);
    assert_eq!(taken.map(|pooled| pooled.connection), Some(1));
    assert!(pool.take_idle(address(1), OWNER, 0, |connection| *connection != 2).is_none());
    let taken = pool.take_idle(address(1), OWNER, 0, |_| true);
    assert_eq!(taken.map(|pooled| pooled.connection), Some(2));
}

#[test]
fn messages_that_were_carried_are_remembered_up_to_a_bound() {
    let mut carried = Carried::default();
    assert!(!carried.contains("m0"));
    for number in 0..20 {
        carried.note(&format!("m{number}"));
        assert!(carried.contains(&format!("m{number}")));
    }
    assert!(!carried.contains("m3"));
    assert!((4..20).all(|number| carried.contains(&format!("m{number}"))));
}
