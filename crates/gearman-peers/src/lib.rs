//! Stand-ins of Gearman clients and workers for tests and measurements: blocking sockets that do what a test says, faults
//! included, and judge nothing. Written from the public protocol description; the framing alone is shared with the server.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ruddervalve_gearman::codec::{Decoder, Frame, Kind, Magic, Packet, encode_packet};

/// Far longer than any answer takes: whoever waits so long waits for ever.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// One connection to a server.
#[derive(Debug)]
pub struct Peer {
    stream: TcpStream,
    inbox: BytesMut,
}

/// A job as a worker gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assigned {
    /// Its handle.
    pub handle: Bytes,
    /// Its function.
    pub function: Bytes,
    /// Its unique id.
    pub unique: Bytes,
    /// Its payload.
    pub payload: Bytes,
}

/// How a client's job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// With a result.
    Complete(Bytes),
    /// Without, and what was said before.
    Fail(Option<Bytes>),
    /// An error came instead of the job.
    Error(Bytes),
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Peer {
    /// Connects.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Self { stream, inbox: BytesMut::new() })
    }

    /// Sends a packet.
    pub fn send(&mut self, kind: Kind, args: &[&[u8]]) -> io::Result<()> {
        let mut out = BytesMut::new();
        encode_packet(&mut out, Magic::Req, kind, args);
        self.raw(&out)
    }

    /// Sends bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Ends its sending.
    pub fn end(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Another hold on the socket, to end it from outside.
    pub fn stream(&self) -> io::Result<TcpStream> {
        self.stream.try_clone()
    }

    /// The next frame; none at the end.
    pub fn frame(&mut self) -> io::Result<Option<Frame>> {
        let decoder = Decoder { longest_body: 64 << 20, longest_line: 64 << 10 };
        loop {
            let broken = |broken| io::Error::new(io::ErrorKind::InvalidData, broken);
            if let Some(frame) = decoder.decode(&mut self.inbox).map_err(broken)? {
                return Ok(Some(frame));
            }
            let mut piece = [0; 16 << 10];
            match self.stream.read(&mut piece)? {
                0 => return Ok(None),
                read => self.inbox.extend_from_slice(&piece[..read]),
            }
        }
    }

    /// The next packet; an error at the end.
    pub fn packet(&mut self) -> io::Result<Packet> {
        match self.frame()? {
            Some(Frame::Packet(packet)) => Ok(packet),
            Some(Frame::Line(line)) => Err(io::Error::other(String::from_utf8_lossy(&line).into_owned())),
            None => Err(ended()),
        }
    }

    /// Asks the administration protocol; the lines of the answer, without the last '.'.
    pub fn ask(&mut self, line: &str) -> io::Result<Vec<String>> {
        self.raw(format!("{line}\n").as_bytes())?;
        let mut lines = Vec::new();
        loop {
            let Some(Frame::Line(line)) = self.frame()? else { return Err(ended()) };
            let line = String::from_utf8_lossy(&line).into_owned();
            if line == "." {
                return Ok(lines);
            }
            let single = line.starts_with("OK") || line.starts_with("ERR");
            lines.push(line);
            if single {
                return Ok(lines);
            }
        }
    }

    /// Submits a job and waits for its handle; an error packet comes as an error.
    pub fn submit(&mut self, kind: Kind, function: &str, unique: &str, payload: &[u8]) -> io::Result<Bytes> {
        self.send(kind, &[function.as_bytes(), unique.as_bytes(), payload])?;
        let packet = self.packet()?;
        match packet.kind {
            Kind::JobCreated => Ok(packet.body),
            _ => Err(io::Error::other(String::from_utf8_lossy(&packet.body).into_owned())),
        }
    }

    /// Waits for the end of the one job out on this connection.
    pub fn outcome(&mut self) -> io::Result<Ended> {
        let mut said = None;
        loop {
            let packet = self.packet()?;
            match packet.kind {
                Kind::WorkComplete => {
                    let [_, result] = packet.split::<2>().ok_or_else(ended)?;
                    return Ok(Ended::Complete(result));
                }
                Kind::WorkFail => return Ok(Ended::Fail(said)),
                Kind::Error => return Ok(Ended::Error(packet.body)),
                Kind::WorkWarning | Kind::WorkException => said = packet.split::<2>().map(|[_, text]| text),
                _ => {}
            }
        }
    }

    /// Submits a job and waits for its end.
    pub fn run(&mut self, function: &str, unique: &str, payload: &[u8]) -> io::Result<Ended> {
        self.submit(Kind::SubmitJob, function, unique, payload)?;
        self.outcome()
    }

    /// Offers functions under a name.
    pub fn offer(&mut self, name: &str, functions: &[&str]) -> io::Result<()> {
        if !name.is_empty() {
            self.send(Kind::SetClientId, &[name.as_bytes()])?;
        }
        functions.iter().try_for_each(|function| self.send(Kind::CanDo, &[function.as_bytes()]))
    }

    /// Waits for a job as libraries do: grabs, and sleeps where there is none.
    pub fn next_job(&mut self) -> io::Result<Assigned> {
        loop {
            self.send(Kind::GrabJobUniq, &[])?;
            loop {
                let packet = self.packet()?;
                match packet.kind {
                    Kind::JobAssignUniq => {
                        let [handle, function, unique, payload] = packet.split::<4>().ok_or_else(ended)?;
                        return Ok(Assigned { handle, function, unique, payload });
                    }
                    Kind::NoJob => self.send(Kind::PreSleep, &[])?,
                    Kind::Noop => break,
                    _ => {}
                }
            }
        }
    }

    /// Ends a job with a result.
    pub fn complete(&mut self, job: &Assigned, result: &[u8]) -> io::Result<()> {
        self.send(Kind::WorkComplete, &[&job.handle, result])
    }

    /// Ends a job without.
    pub fn fail(&mut self, job: &Assigned) -> io::Result<()> {
        self.send(Kind::WorkFail, &[&job.handle])
    }
}
