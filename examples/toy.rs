//! A toy execute node and a toy discovery that lists it, to try the dispatcher with: every job runs for a fixed time.
//!
//! `cargo run --example toy` listens on 127.0.0.1:8500 (discovery) and 127.0.0.1:9000 (execute node); the dispatcher is
//! started with `ROUTER_CONFIG=examples/config.json`.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const NODE: &str = "127.0.0.1:9000";
/// How long a job runs.
const RUN: Duration = Duration::from_millis(150);
/// A watch on which nothing changes says so at this interval.
const EMPTY_LINE: Duration = Duration::from_secs(2);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn main() -> io::Result<()> {
    let (discovery, node) = (TcpListener::bind(DISCOVERY)?, TcpListener::bind(NODE)?);
    println!("discovery on {DISCOVERY}, an execute node on {NODE}");
    thread::spawn(move || accept(&discovery, watch));
    accept(&node, run);
    Ok(())
}

fn accept(listener: &TcpListener, serve: fn(TcpStream) -> io::Result<()>) {
    for stream in listener.incoming().map_while(Result::ok) {
        // An error ends the one connection only.
        thread::spawn(move || serve(stream));
    }
}

/// Reads a request: its first line, its id and its body.
fn request(from: &mut impl BufRead) -> io::Result<Option<(String, String, Vec<u8>)>> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "x-txn" => id = value.to_owned(),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), id, body)))
}

fn chunk(to: &mut TcpStream, text: &str) -> io::Result<()> {
    write!(to, "{:x}\r\n{text}\r\n", text.len())
}

/// Tells the list once, then that nothing changes.
fn watch(mut stream: TcpStream) -> io::Result<()> {
    if request(&mut BufReader::new(stream.try_clone()?))?.is_none() {
        return Ok(());
    }
    stream.write_all(HEAD.as_bytes())?;
    let node = format!(
        "{{\"id\":\"s-toy\",\"addr\":\"{NODE}\",\"zone\":\"north\",\"kind\":\"box\",\"cell\":0,\"state\":\"active\",\
         \"weight\":1.0,\"started_ms\":0}}"
    );
    chunk(&mut stream, &format!("{{\"version\":1,\"full\":true,\"servers\":[{node}]}}\n"))?;
    loop {
        thread::sleep(EMPTY_LINE);
        chunk(&mut stream, "\n")?;
    }
}

/// Runs jobs, one after the other on a connection.
fn run(mut stream: TcpStream) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    while let Some((first, id, body)) = request(&mut from)? {
        println!("{first} {id}, {} bytes", body.len());
        let line = |state: &str| format!("{{\"id\":\"{id}\",\"from\":\"s-toy\",\"state\":\"{state}\"");
        stream.write_all(HEAD.as_bytes())?;
        chunk(&mut stream, &format!("{}}}\n", line("started")))?;
        thread::sleep(RUN);
        let result = format!("{} bytes mixed", body.len());
        chunk(&mut stream, &format!("{},\"result\":\"{result}\",\"load\":{{\"x0\":4}}}}\n", line("done")))?;
        chunk(&mut stream, "")?;
    }
    Ok(())
}
