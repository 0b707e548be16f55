//! Runners of a listed service.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::site::{Failure, Record, Site};

/// The name of the service in the configuration.
const SERVICE: &str = "formula";

/// Successes by request id: when each run began, in milliseconds.
pub type Successes = Arc<Mutex<BTreeMap<String, Vec<u64>>>>;

/// Starts runners that work for so long on each message and answer with a body of so many bytes.
pub fn start(
    site: &mut Site,
    count: usize,
    work: Duration,
    answer_bytes: usize,
) -> Result<Successes, Failure> {
    let successes = Successes::default();
    let mut list = Vec::new();
    for number in 0..count {
        let address = site.next_address();
        let uid = format!("i-{number:04}");
        list.push(format!(
            r#"{{"Backend":"{SERVICE}","Address":"{address}","Zone":"shubra","ResourceVersion":"v1","Capacity":6,"Phase":"ready","ColdRemainingMs":0,"Uid":"{uid}"}}"#
        ));
        let successes = Arc::clone(&successes);
        let runner = Runner { record: site.record.clone(), uid, successes, work, answer_bytes };
        http::serve(address, move |stream| {
            let _ = runner.serve(stream);
        })?;
    }
    site.set_list(format!("[{}]", list.join(",")));
    Ok(successes)
}

struct Runner {
    record: Record,
    uid: String,
    successes: Successes,
    work: Duration,
    answer_bytes: usize,
}

impl Runner {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(request) = http::read(&mut reader)? {
            let id = request.header("request-id").unwrap_or("-").to_owned();
            if request.header("expected-instance").is_some_and(|uid| uid != self.uid) {
                let headers = [("Request-Id", id.as_str())];
                writer.write_all(&http::answer("421 Misdirected Request", &headers, b""))?;
                continue;
            }
            let began = self.record.now();
            self.record.note(format!("runs {id}"));
            thread::sleep(self.work);
            let signature = format!("{id}.{began}");
            let headers = [("Request-Id", id.as_str()), ("Response-Signature", signature.as_str())];
            writer.write_all(&http::answer("200 OK", &headers, &vec![b'a'; self.answer_bytes]))?;
            let took = self.record.now() - began;
            self.record.note(format!("run of {id} ended with 200, whole after {took} ms"));
            if let Ok(mut successes) = self.successes.lock() {
                successes.entry(id).or_default().push(began);
            }
        }
        Ok(())
    }
}

/// A configuration with one route to the service.
pub fn configuration() -> String {
    format!(
        r#"{{"ResourceVersion":1,"Routes":[{{"Name":"r-formula","Hostname":"formula.example","PathPrefix":"/formula/","Type":"asynchronous","TimeoutMs":2500,"TargetLatencyMs":120,"PriorityClass":2,"Backend":"{SERVICE}","MaxRetries":4,"Ordered":false,"RetentionS":90.0,"CallbackUrl":false,"ScheduleTargetMs":1000}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false,"RatePerS":0.0,"Idempotent":false,"PullMode":false,"StaticEndpoint":null}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}
