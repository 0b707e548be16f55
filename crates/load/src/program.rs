//! The program under load.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use super::{CONFIG, Failure, OPERATORS};

/// The program, ended when dropped.
pub(super) struct Program {
    child: Child,
    pub(super) http: SocketAddr,
    pub(super) gearman: SocketAddr,
    folder: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Program {
    pub(super) fn start(
        program: &PathBuf,
        discovery: SocketAddr,
        connections: usize,
    ) -> Result<Self, Failure> {
        let folder = std::env::temp_dir().join(format!("ruddervalve-load-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (config, operators) = (folder.join("config.json"), folder.join("operators.xml"));
        let text =
            CONFIG.replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", &discovery.to_string());
        // All tenants' work is within their share, so that no job is worth less.
        let text = text.replace("\"sockets\": 1024", "\"sockets\": 16384");
        std::fs::File::create(&config)?.write_all(text.as_bytes())?;
        let text = OPERATORS.replace("127.0.0.1:4730", "127.0.0.1:0");
        let text = text.replace("connections=\"256\"", &format!("connections=\"{connections}\""));
        std::fs::File::create(&operators)?.write_all(text.as_bytes())?;
        let mut child = Command::new("taskset")
            .args(["-c", "0"])
            .arg(program)
            .arg("--operators")
            .arg(&operators)
            .env("ROUTER_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()?;
        let mut said = BufReader::new(child.stderr.take().ok_or("no standard error")?);
        let mut address = |what: &str| -> Result<SocketAddr, Failure> {
            let mut line = String::new();
            while !line.contains(what) {
                line.clear();
                if said.read_line(&mut line)? == 0 {
                    return Err(format!("the program ended before it said '{what}'").into());
                }
            }
            Ok(line.trim().rsplit(' ').next().unwrap_or_default().parse()?)
        };
        let (http, gearman) = (address("listens on")?, address("gearman listens on")?);
        std::thread::spawn(move || for _ in said.lines() {});
        Ok(Self { child, http, gearman, folder })
    }

    /// CPU time so far, in milliseconds.
    pub(super) fn cpu_ms(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks =
            |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or_default();
        // Ticks of a hundredth of a second, as Linux tells them everywhere.
        Ok((ticks(11) + ticks(12)) * 10.0)
    }

    /// Memory held, in bytes.
    pub(super) fn memory(&self) -> Result<f64, Failure> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
        Ok(line.trim().trim_end_matches(" kB").parse::<f64>()? * 1024.0)
    }
}
