//! One side of a Gearman connection.

use std::net::SocketAddr;

use bytes::BytesMut;
use ruddervalve_gearman::codec::{Decoder, Frame, Kind, Magic, encode_packet};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use super::Failure;

/// One side of a Gearman connection.
pub(super) struct Peer {
    pub(super) stream: TcpStream,
    pub(super) read_buffer: BytesMut,
    write_buffer: BytesMut,
}

impl Peer {
    pub(super) async fn connect(address: SocketAddr) -> Result<Self, Failure> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, read_buffer: BytesMut::new(), write_buffer: BytesMut::new() })
    }

    pub(super) fn queue_packet(&mut self, kind: Kind, args: &[&[u8]]) {
        encode_packet(&mut self.write_buffer, Magic::Req, kind, args);
    }

    pub(super) async fn flush(&mut self) -> Result<(), Failure> {
        self.stream.write_all(&self.write_buffer).await?;
        self.write_buffer.clear();
        Ok(())
    }

    pub(super) async fn packet(&mut self) -> Result<(Kind, bytes::Bytes), Failure> {
        let decoder = Decoder { longest_body: 1 << 20, longest_line: 1 << 10 };
        loop {
            if let Some(Frame::Packet(packet)) = decoder.decode(&mut self.read_buffer)? {
                return Ok((packet.kind, packet.body));
            }
            if self.stream.read_buf(&mut self.read_buffer).await? == 0 {
                return Err("the program closed a connection".into());
            }
        }
    }

    /// A worker that does nothing with each job.
    pub(super) async fn work(mut self, id: Option<usize>) -> Result<(), Failure> {
        if let Some(id) = id {
            self.queue_packet(Kind::SetClientId, &[format!("w{id}").as_bytes()]);
        }
        self.queue_packet(Kind::CanDo, &[b"tint"]);
        loop {
            self.queue_packet(Kind::GrabJob, &[]);
            self.flush().await?;
            loop {
                match self.packet().await? {
                    (Kind::NoJob, _) => {
                        self.queue_packet(Kind::PreSleep, &[]);
                        self.flush().await?;
                    }
                    (Kind::JobAssign, body) => {
                        let handle = body.split(|byte| *byte == 0).next().unwrap_or_default();
                        self.queue_packet(Kind::WorkComplete, &[handle, b""]);
                        break;
                    }
                    (Kind::Noop, _) => break,
                    (kind, body) => return Err(format!("{kind:?} {body:?}").into()),
                }
            }
        }
    }

    /// One empty job; false if it was refused.
    pub(super) async fn job(&mut self) -> Result<bool, Failure> {
        self.queue_packet(Kind::SubmitJob, &[b"tint", b"", b""]);
        self.flush().await?;
        loop {
            match self.packet().await? {
                (Kind::WorkComplete, _) => return Ok(true),
                (Kind::WorkFail | Kind::Error, _) => return Ok(false),
                _ => {}
            }
        }
    }
}
