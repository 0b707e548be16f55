//! One connection: greeting, frames both ways, its end.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use nanoserde::DeBin;
use ruddervalve_protocol::{Greeting, PROTOCOL_VERSION};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::{MAGIC, Outbox, RpcError, frame};

/// A greeting is small; more is nonsense.
const GREETING_LIMIT: usize = 4_096;
/// Bytes by which a read buffer grows at least.
const READ_BYTES: usize = 16 * 1_024;
/// Above this capacity an empty write buffer is given back.
const KEPT_BUFFER_BYTES: usize = 256 * 1_024;

/// Limits of connections between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkSettings {
    /// The longest frame that is taken, in bytes.
    pub max_frame_bytes: usize,
    /// Bytes that may wait for a peer that does not read.
    pub max_queued_bytes: usize,
    /// Bytes from which on senders of large messages wait until some have left, see [`Outbox::has_room`].
    pub window_bytes: usize,
    /// A peer is given up when nothing came from it for so long.
    pub silence_ms: u64,
    /// How long opening a connection may take: a machine without power says nothing, and is asked anew when it is back.
    pub connect_timeout_ms: u64,
    /// How long the peer's machine may leave bytes unacknowledged.
    pub user_timeout_ms: u64,
}

/// Opens a connection and greets.
pub async fn connect(
    address: SocketAddr,
    greeting: &Greeting,
    settings: &LinkSettings,
) -> Result<TcpStream, RpcError> {
    let limit = Duration::from_millis(settings.connect_timeout_ms);
    let opened = timeout(limit, TcpStream::connect(address)).await;
    let mut stream = opened
        .map_err(|_| RpcError::ConnectTimeout(settings.connect_timeout_ms))?
        .map_err(RpcError::Connect)?;
    tune(&stream, settings);
    let mut bytes = MAGIC.to_vec();
    frame::encode(greeting, &mut bytes);
    stream.write_all(&bytes).await.map_err(RpcError::Broken)?;
    Ok(stream)
}

/// Reads the greeting of a connection that was opened to this process.
pub async fn accept(
    mut stream: TcpStream,
    settings: &LinkSettings,
) -> Result<(Greeting, TcpStream), RpcError> {
    tune(&stream, settings);
    let limit = Duration::from_millis(settings.silence_ms);
    let greeting = timeout(limit, read_greeting(&mut stream)).await;
    let greeting = greeting.map_err(|_| RpcError::Silent(settings.silence_ms))??;
    if greeting.version != PROTOCOL_VERSION {
        return Err(RpcError::Version { theirs: greeting.version, ours: PROTOCOL_VERSION });
    }
    Ok((greeting, stream))
}

async fn read_greeting(stream: &mut TcpStream) -> Result<Greeting, RpcError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await.map_err(RpcError::Broken)?;
    if magic != MAGIC {
        return Err(RpcError::NotOurs);
    }
    let mut header = [0; frame::HEADER_BYTES];
    stream.read_exact(&mut header).await.map_err(RpcError::Broken)?;
    let header = frame::Header::read(header, GREETING_LIMIT)?;
    let mut bytes = vec![0; header.length];
    stream.read_exact(&mut bytes).await.map_err(RpcError::Broken)?;
    header.message(&bytes)
}

/// Frames leave at once, and a machine that answers nothing is noticed. A socket that takes an option not is used
/// without it.
fn tune(stream: &TcpStream, settings: &LinkSettings) {
    let socket = SockRef::from(stream);
    let limit = Duration::from_millis(settings.user_timeout_ms);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(limit));
}

/// Carries frames both ways until the connection ends, and returns why it did.
pub async fn run<M: DeBin>(
    stream: TcpStream,
    settings: &LinkSettings,
    outbox: &Outbox,
    on_message: impl FnMut(M),
) -> RpcError {
    let (reader, writer) = stream.into_split();
    let error = tokio::select! {
        biased;
        error = read(reader, settings, on_message) => error,
        error = write(writer, outbox) => error,
    };
    outbox.close();
    error
}

/// As [`run`], and tells each time that there is room again in the outbox after there was none.
pub async fn run_paced<M: DeBin>(
    stream: TcpStream,
    settings: &LinkSettings,
    outbox: &Outbox,
    on_message: impl FnMut(M),
    on_room: impl FnMut(),
) -> RpcError {
    tokio::select! {
        error = run(stream, settings, outbox, on_message) => error,
        never = tell_room(outbox, on_room) => match never {},
    }
}

async fn tell_room(outbox: &Outbox, mut on_room: impl FnMut()) -> Infallible {
    loop {
        outbox.room().await;
        on_room();
    }
}

async fn read<M: DeBin>(
    mut reader: OwnedReadHalf,
    settings: &LinkSettings,
    mut on_message: impl FnMut(M),
) -> RpcError {
    let silence = Duration::from_millis(settings.silence_ms);
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    loop {
        loop {
            match frame::decode(&mut buffer, settings.max_frame_bytes) {
                Ok(Some(message)) => on_message(message),
                Ok(None) => break,
                Err(error) => return error,
            }
        }
        buffer.reserve(READ_BYTES);
        match timeout(silence, reader.read_buf(&mut buffer)).await {
            Err(_) => return RpcError::Silent(settings.silence_ms),
            Ok(Err(error)) => return RpcError::Broken(error),
            Ok(Ok(0)) => return RpcError::Closed,
            Ok(Ok(_)) => {}
        }
    }
}

async fn write(mut writer: OwnedWriteHalf, outbox: &Outbox) -> RpcError {
    let mut buffer = Vec::new();
    while outbox.next(&mut buffer).await {
        if let Err(error) = write_buffer(&mut writer, &buffer, outbox).await {
            return RpcError::Broken(error);
        }
        if buffer.capacity() > KEPT_BUFFER_BYTES {
            buffer = Vec::new();
        }
    }
    if outbox.overflowed() {
        return RpcError::Overflow(outbox.limit());
    }
    let _ = writer.shutdown().await;
    RpcError::Closed
}

/// Writes all of a buffer, and tells the outbox how far it is.
async fn write_buffer(writer: &mut OwnedWriteHalf, buffer: &[u8], outbox: &Outbox) -> io::Result<()> {
    let mut rest = buffer;
    while !rest.is_empty() {
        let count = writer.write(rest).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        rest = &rest[count..];
        outbox.written(count);
    }
    Ok(())
}
