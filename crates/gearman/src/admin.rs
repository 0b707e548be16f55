//! Owns the text protocol for administration that shares the port: lines in, lines out, as the public description words
//! them, and two commands of this program's own to drain a worker. It must never answer a line with a packet, nor let
//! `shutdown` through where the operator file does not allow it.

use std::fmt::Write as _;

use crate::server::Server;
use crate::workers::ConnectionId;

impl Server {
    /// A line came on a connection.
    pub(crate) fn line(&mut self, connection: ConnectionId, line: &[u8]) {
        let text = String::from_utf8_lossy(line).into_owned();
        let words: Vec<&str> = text.split_ascii_whitespace().collect();
        self.counters.count("gearman", "admin_lines");
        let answer = match words.as_slice() {
            [] => return,
            ["status"] => self.functions_text(),
            ["workers"] => self.workers_text(),
            ["version"] => format!("OK {}\n", env!("CARGO_PKG_VERSION")),
            ["getpid"] => format!("OK {}\n", std::process::id()),
            ["maxqueue", function] => self.max_queue(function, None),
            ["maxqueue", function, limit, ..] => self.max_queue(function, Some(limit)),
            ["show", "jobs"] => self.jobs_text(),
            ["show", "unique", "jobs"] => self.unique_text(),
            ["cancel", "job", handle] => match self.cancel(handle.as_bytes()) {
                Ok(()) => "OK\n".to_owned(),
                Err(problem) => format!("ERR {problem} not+cancelled\n"),
            },
            ["worker", way @ ("drain" | "resume"), name] => match self.drain_worker(name, *way == "drain") {
                true => "OK\n".to_owned(),
                false => "ERR UNKNOWN_WORKER no+such+worker\n".to_owned(),
            },
            ["shutdown"] | ["shutdown", "graceful"] => match self.ask_shutdown() {
                true => "OK\n".to_owned(),
                false => "ERR NOT_ALLOWED shutdown+is+off+in+the+operator+file\n".to_owned(),
            },
            _ => "ERR UNKNOWN_COMMAND Unknown+server+command\n".to_owned(),
        };
        self.send_text(connection, &answer);
    }

    /// For each function: jobs open, jobs that run, connections that can do it.
    fn functions_text(&self) -> String {
        let mut text = String::new();
        for function in self.functions() {
            let (open, running) = (function.counts.open.get(), function.counts.running.get());
            let able = self.workers.able(&function.name);
            let _ = writeln!(text, "{}\t{open}\t{running}\t{able}", function.text);
        }
        text + ".\n"
    }

    /// For each connection: its number, where it comes from, its name, what it can do.
    fn workers_text(&self) -> String {
        let mut lines: Vec<_> = self.connections().collect();
        lines.sort_unstable();
        let mut text = String::new();
        for (connection, peer, name) in lines {
            let slot = self.workers.slot(connection);
            // One that offers nothing has no name in this list, as the protocol has it.
            let name = if slot.is_some() { name } else { "-" };
            let _ = write!(text, "{connection} {peer} {name} :");
            for function in slot.into_iter().flat_map(|slot| slot.abilities.keys()) {
                let _ = write!(text, " {}", String::from_utf8_lossy(function));
            }
            text.push('\n');
        }
        text + ".\n"
    }

    fn max_queue(&mut self, function: &str, limit: Option<&str>) -> String {
        let Some(function) = self.function(function.as_bytes()) else {
            return "ERR UNKNOWN_FUNCTION no+such+function\n".to_owned();
        };
        let limit = match limit.map(str::parse::<i64>) {
            // None, or a negative number: no bound of its own.
            None | Some(Ok(..0)) => usize::MAX,
            Some(Ok(limit)) => limit as usize,
            Some(Err(_)) => return "ERR INVALID_ARGUMENTS a+number+was+expected\n".to_owned(),
        };
        function.counts.limit.set(limit);
        "OK\n".to_owned()
    }

    /// For each job: its handle, times it was assigned, whether nobody waits, whether it has not started.
    fn jobs_text(&self) -> String {
        let mut jobs: Vec<_> = self.jobs.all().collect();
        jobs.sort_unstable_by_key(|job| job.id);
        let mut text = String::new();
        for job in jobs {
            let (handle, flag) = (String::from_utf8_lossy(&job.handle), |set: bool| u8::from(set));
            let (again, ignored) =
                (job.assigned.saturating_sub(1), job.waiting.is_empty() && !job.background);
            let _ = writeln!(text, "{handle}\t{again}\t{}\t{}", flag(ignored), flag(!job.running));
        }
        text + ".\n"
    }

    fn unique_text(&self) -> String {
        let mut ids: Vec<_> =
            self.jobs.all().filter(|job| !job.unique.is_empty()).map(|job| &job.unique).collect();
        ids.sort_unstable();
        // A line each, whatever is in them.
        let lines = ids.into_iter().map(|unique| format!("{}\n", unique.escape_ascii()));
        lines.collect::<String>() + ".\n"
    }
}
