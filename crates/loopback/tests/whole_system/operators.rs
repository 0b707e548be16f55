//! The operator's connections: each answer is that of the request before it, on the connection that brought it.

use std::net::SocketAddr;

use ruddervalve_loopback::{ConfigurationPlan, HttpConnection, HttpRequest, Route, call};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::stage::{HOST, LETTERS, STEP, Stage};

const GET_CONFIGURATION: &str = "/api/Config.Get";
const REPLACE_CONFIGURATION: &str = "/api/Config.Replace";
/// The version of the stage's configuration, and of the next one.
const FIRST_VERSION: u64 = 1;
const SECOND_VERSION: u64 = 4;

fn request(method: &str, target: &str) -> HttpRequest {
    HttpRequest::new(method, target).with("Host", "control")
}

async fn connect(address: SocketAddr) -> HttpConnection {
    HttpConnection::new(TcpStream::connect(address).await.unwrap())
}

/// The coordinator that answers for the configuration itself.
async fn leading(stage: &Stage) -> SocketAddr {
    for address in stage.system.control_addresses() {
        let answer = call(address, &request("GET", GET_CONFIGURATION), STEP).await.unwrap();
        if answer.status == 200 {
            return address;
        }
    }
    panic!("no coordinator leads");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_and_split_calls_are_answered_in_their_order() {
    let mut stage = Stage::set_up().await;
    let leader = leading(&stage).await;
    let calls = [
        (request("GET", "/api/unknown"), 404),
        (request("GET", GET_CONFIGURATION), 200),
        (request("DELETE", GET_CONFIGURATION), 405),
        (request("POST", REPLACE_CONFIGURATION).with("Base-Version", "1").with_body(b"{".to_vec()), 400),
        (request("GET", "/api/Retire.Get/nobody"), 404),
        (request("GET", GET_CONFIGURATION), 200),
    ];
    let bytes: Vec<u8> = calls.iter().flat_map(|(call, _)| call.to_bytes()).collect();
    for piece in [bytes.len(), 7] {
        let mut connection = connect(leader).await;
        for piece in bytes.chunks(piece) {
            connection.write_bytes(piece).await.unwrap();
        }
        for (call, expected) in &calls {
            let answer = timeout(STEP, connection.read_response()).await.unwrap().unwrap();
            assert_eq!(answer.status, *expected, "{} {}", call.method, call.target);
            if answer.status == 200 {
                assert_eq!(answer.body, stage.configuration.to_bytes());
            }
        }
    }
    stage.ends_well(&[]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_whose_connection_breaks_is_answered_to_nobody_else_and_may_be_sent_again() {
    let mut stage = Stage::set_up().await;
    let leader = leading(&stage).await;
    let mut second: ConfigurationPlan = stage.configuration.clone();
    second.resource_version = SECOND_VERSION;
    second.routes.push(Route { name: "parcels".to_owned(), ..Route::to(LETTERS, HOST, "/parcels/") });
    let order = request("POST", REPLACE_CONFIGURATION)
        .with("Base-Version", &FIRST_VERSION.to_string())
        .with("Content-Type", "application/json")
        .with_body(second.to_bytes());
    let bytes = order.to_bytes();
    // Broken off within the order, at its end, and with an answer under way.
    for sent in [bytes.len() / 2, bytes.len() - 1, bytes.len()] {
        let mut connection = connect(leader).await;
        connection.write_bytes(&bytes[..sent]).await.unwrap();
        connection.reset();
        let other = call(leader, &request("GET", "/api/unknown"), STEP).await.unwrap();
        assert_eq!(other.status, 404, "an answer of another connection");
    }
    let operator = stage.system.operator();
    operator.replace(FIRST_VERSION, &second, STEP).await.unwrap();
    assert_eq!(operator.newest(STEP).await.unwrap().body, second.to_bytes());
    stage.ends_well(&[]);
}
