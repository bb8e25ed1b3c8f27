//! Handshake of a connection: each process checks the other's wire version and site.

use crate::codec::{MAX_HELLO_BYTES, encode, read_frame};
use crate::error::FrameError;
use std::io::{Read, Write};
use wingshore_types::protocol::wire::{ConnectionRefusal, Frame, Hello, WIRE_VERSION};

/// Why a handshake failed.
#[derive(Debug)]
pub(crate) enum HandshakeError {
    /// A frame could not be read or written.
    Frame(FrameError),
    /// One of the two processes refused the connection.
    Refused(ConnectionRefusal),
}

impl From<FrameError> for HandshakeError {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::WrongVersion { ours, theirs } => {
                Self::Refused(ConnectionRefusal::WrongVersion { ours, theirs })
            }
            other => Self::Frame(other),
        }
    }
}

/// Performs the handshake of the connecting process: sends its hello and checks the answer.
pub(crate) fn open(
    stream: &mut (impl Read + Write),
    hello: &Hello,
) -> Result<Hello, HandshakeError> {
    write_frame(stream, &Frame::Hello(hello.clone()))?;
    let theirs = read_hello(stream)?;
    check(hello, &theirs)?;
    Ok(theirs)
}

/// Performs the handshake of the accepting process: checks the received hello and answers with its
/// own, or refuses the connection.
pub(crate) fn accept(
    stream: &mut (impl Read + Write),
    hello: &Hello,
) -> Result<Hello, HandshakeError> {
    let outcome = read_hello(stream).and_then(|theirs| {
        check(hello, &theirs)?;
        Ok(theirs)
    });
    match outcome {
        Ok(theirs) => {
            write_frame(stream, &Frame::Hello(hello.clone()))?;
            Ok(theirs)
        }
        Err(HandshakeError::Refused(refusal)) => {
            write_frame(stream, &Frame::Refused(refusal.clone()))?;
            Err(HandshakeError::Refused(refusal))
        }
        Err(error) => Err(error),
    }
}

/// Reads the hello of a connection and refuses it unconditionally.
pub(crate) fn refuse(
    stream: &mut (impl Read + Write),
    refusal: ConnectionRefusal,
) -> Result<(), HandshakeError> {
    read_hello(stream)?;
    write_frame(stream, &Frame::Refused(refusal))?;
    Ok(())
}

fn read_hello(stream: &mut impl Read) -> Result<Hello, HandshakeError> {
    match read_frame(stream, MAX_HELLO_BYTES)? {
        Frame::Hello(hello) => Ok(hello),
        Frame::Refused(refusal) => Err(HandshakeError::Refused(refusal)),
        _ => Err(HandshakeError::Refused(ConnectionRefusal::NoHello)),
    }
}

fn check(ours: &Hello, theirs: &Hello) -> Result<(), HandshakeError> {
    if theirs.version != WIRE_VERSION {
        return Err(HandshakeError::Refused(ConnectionRefusal::WrongVersion {
            ours: WIRE_VERSION,
            theirs: theirs.version,
        }));
    }
    if !same_site(ours, theirs) {
        return Err(HandshakeError::Refused(ConnectionRefusal::WrongSite {
            ours: ours.site.clone(),
            theirs: theirs.site.clone(),
        }));
    }
    Ok(())
}

/// Returns whether two processes belong to the same site. An operator's tool that connects to a
/// process by its address sends no site name and is accepted by any site. Replicas, relays and
/// nodes always send theirs, so those of different sites never connect by accident.
fn same_site(ours: &Hello, theirs: &Hello) -> bool {
    let is_tool = |hello: &Hello| hello.site.is_empty() && hello.replica.is_none();
    ours.site == theirs.site || is_tool(ours) || is_tool(theirs)
}

fn write_frame(stream: &mut impl Write, frame: &Frame) -> Result<(), FrameError> {
    let bytes = encode(frame)?;
    stream
        .write_all(&bytes)
        .map_err(|source| FrameError::Io { source })
}
