//! One connection of a hollow node: the frames of the transport over a socket that never blocks,
//! so that one thread serves hundreds of nodes.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use wingshore_transport::{
    FrameError, HEADER_BYTES, MAX_FRAME_BYTES, decode_body, decode_header, encode,
};
use wingshore_types::protocol::wire::Frame;

/// Longest time until a connection on loopback stands.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes taken from a socket at once.
const READ_BYTES: usize = 64 << 10;

/// What all hollow nodes sent and received.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Frames sent.
    pub frames_sent: AtomicU64,
    /// Bytes sent.
    pub bytes_sent: AtomicU64,
    /// Frames received.
    pub frames_received: AtomicU64,
    /// Bytes received.
    pub bytes_received: AtomicU64,
}

/// A connection.
#[derive(Debug)]
pub struct FrameLink {
    stream: TcpStream,
    inbound: Vec<u8>,
    outbound: Vec<u8>,
}

impl FrameLink {
    /// Connects.
    ///
    /// # Errors
    /// When nobody listens there.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        Ok(Self {
            stream,
            inbound: Vec::new(),
            outbound: Vec::new(),
        })
    }

    /// Sends a frame, as far as the socket takes it now.
    ///
    /// # Errors
    /// When the connection is lost.
    pub fn send(&mut self, frame: &Frame, traffic: &LinkTraffic) -> Result<(), FrameError> {
        self.outbound.extend(encode(frame)?);
        traffic.frames_sent.fetch_add(1, Ordering::Relaxed);
        self.flush(traffic)
    }

    /// Writes what waits, as far as the socket takes it now.
    ///
    /// # Errors
    /// When the connection is lost.
    pub fn flush(&mut self, traffic: &LinkTraffic) -> Result<(), FrameError> {
        while !self.outbound.is_empty() {
            match self.stream.write(&self.outbound) {
                Ok(0) => return Err(FrameError::Closed),
                Ok(count) => {
                    self.outbound.drain(..count);
                    traffic
                        .bytes_sent
                        .fetch_add(count as u64, Ordering::Relaxed);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(source) => return Err(FrameError::Io { source }),
            }
        }
        Ok(())
    }

    /// The next whole frame, if it has come.
    ///
    /// # Errors
    /// When the connection is lost, or what came is no frame.
    pub fn receive(&mut self, traffic: &LinkTraffic) -> Result<Option<Frame>, FrameError> {
        self.read_available(traffic)?;
        let Some(start) = self.inbound.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let header = decode_header(*start, MAX_FRAME_BYTES)?;
        let end = HEADER_BYTES + header.length as usize;
        if self.inbound.len() < end {
            return Ok(None);
        }
        let frame = decode_body(header, &self.inbound[HEADER_BYTES..end])?;
        self.inbound.drain(..end);
        if self.inbound.is_empty() {
            // A snapshot's space is given back; the usual frames are small.
            self.inbound.shrink_to(READ_BYTES / 64);
        }
        traffic.frames_received.fetch_add(1, Ordering::Relaxed);
        Ok(Some(frame))
    }

    fn read_available(&mut self, traffic: &LinkTraffic) -> Result<(), FrameError> {
        let mut buffer = [0; READ_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(FrameError::Closed),
                Ok(count) => {
                    self.inbound.extend_from_slice(&buffer[..count]);
                    let counter = &traffic.bytes_received;
                    counter.fetch_add(count as u64, Ordering::Relaxed);
                    if count < READ_BYTES {
                        return Ok(());
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(source) => return Err(FrameError::Io { source }),
            }
        }
    }
}
