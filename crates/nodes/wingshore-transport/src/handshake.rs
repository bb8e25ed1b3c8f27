//! The first frames of a connection: each side checks the other's version and site.

use crate::codec::{MAX_HELLO_BYTES, encode, read_frame};
use crate::error::FrameError;
use std::io::{Read, Write};
use wingshore_types::protocol::wire::{ConnectionRefusal, Frame, Hello, WIRE_VERSION};

/// Why a handshake did not succeed.
#[derive(Debug)]
pub(crate) enum HandshakeError {
    /// Bytes could not be read or written, or were no frame.
    Frame(FrameError),
    /// One side refused the other.
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

/// The opening side: says hello and checks the answer.
pub(crate) fn open(
    stream: &mut (impl Read + Write),
    hello: &Hello,
) -> Result<Hello, HandshakeError> {
    write_frame(stream, &Frame::Hello(hello.clone()))?;
    let theirs = read_hello(stream)?;
    check(hello, &theirs)?;
    Ok(theirs)
}

/// The accepting side: checks the other's hello and answers with its own, or refuses.
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

/// Refuses a connection, whatever its hello says.
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

/// An operator's tool that was pointed at a process by its address names no site and takes that
/// process's own. Replicas, relays and nodes always name theirs, so they never mix by accident.
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
