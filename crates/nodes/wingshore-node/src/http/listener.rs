//! Ends listening without cutting a caller.
//!
//! Closing a listening socket resets connections that the system has already made and nobody has
//! accepted yet: their callers have sent a request and never learn whether it ran. So the socket
//! first makes no new connection, then hands out those it has made, and only then is closed. A
//! caller that comes later is refused, which says for certain that its request did not run.

use socket2::{Domain, SockAddr, SockFilter, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener};

/// Offset of the source port in a TCP header.
const SOURCE_PORT: u32 = 0;
/// Offset of the flags in a TCP header.
const FLAGS: u32 = 13;
/// The flag of a packet that asks for a connection.
const SYNCHRONIZE: u32 = 0x02;

/// Filter instruction of the system: load 16 bits.
const LOAD_HALF: u16 = 0x28;
/// Filter instruction: load 8 bits.
const LOAD_BYTE: u16 = 0x30;
/// Filter instruction: jump where equal.
const JUMP_EQUAL: u16 = 0x15;
/// Filter instruction: jump where a bit is set.
const JUMP_SET: u16 = 0x45;
/// Filter instruction: give the length of the packet that is kept.
const RETURN: u16 = 0x06;
/// Keeps a packet whole.
const WHOLE: u32 = u32::MAX;

/// A second handle on a listening socket, by which its listening is ended.
#[derive(Debug)]
pub struct ListenerHandle {
    listener: TcpListener,
}

impl ListenerHandle {
    /// A handle on `listener`.
    ///
    /// # Errors
    /// When the system has no handle left.
    pub fn of(listener: &TcpListener) -> io::Result<Self> {
        let listener = listener.try_clone()?;
        Ok(Self { listener })
    }

    /// Ends listening. Who accepts from the socket gets all connections that were made, then the
    /// error [`io::ErrorKind::WouldBlock`], and must drop the socket then.
    ///
    /// # Errors
    /// When the system refuses a step; the socket may listen on.
    pub fn close(self) -> io::Result<()> {
        let address = reachable(self.listener.local_addr()?);
        let last = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        last.bind(&SockAddr::from(SocketAddr::new(address.ip(), 0)))?;
        let last_port = last.local_addr()?.as_socket().map_or(0, |own| own.port());
        Socket::from(self.listener.try_clone()?).attach_filter(&only_from(last_port))?;
        self.listener.set_nonblocking(true)?;
        // Wakes who waits in `accept`, behind all other connections.
        last.connect(&SockAddr::from(address))
    }
}

/// Packets that ask for a connection are dropped unless they come from `port`.
fn only_from(port: u16) -> [SockFilter; 6] {
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
        SockFilter::new(JUMP_SET, 0, 3, SYNCHRONIZE),
        SockFilter::new(LOAD_HALF, 0, 0, SOURCE_PORT),
        SockFilter::new(JUMP_EQUAL, 1, 0, u32::from(port)),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, WHOLE),
    ]
}

/// Where a socket that listens at `address` is reached from this machine.
pub(super) fn reachable(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
