//! Stops listening without resetting connections that are already established.
//!
//! Closing a listening socket resets connections that the kernel has established but nobody has
//! accepted yet: their callers have sent a request and never learn whether it ran. So the socket
//! first stops taking new connections, then hands out the established ones, and is closed only
//! after that. Later callers are refused, which tells them for certain that their request did not
//! run.

use socket2::{Domain, SockAddr, SockFilter, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener};

/// Offset of the source port in a TCP header, in bytes.
const SOURCE_PORT_OFFSET: u32 = 0;
/// Offset of the flags in a TCP header, in bytes.
const FLAGS_OFFSET: u32 = 13;
/// The SYN flag, set in packets that open a connection.
const SYN_FLAG: u32 = 0x02;

/// BPF instruction: load 16 bits.
const LOAD_HALF: u16 = 0x28;
/// BPF instruction: load 8 bits.
const LOAD_BYTE: u16 = 0x30;
/// BPF instruction: jump if equal.
const JUMP_EQUAL: u16 = 0x15;
/// BPF instruction: jump if any of these bits is set.
const JUMP_SET: u16 = 0x45;
/// BPF instruction: return the number of bytes of the packet to keep.
const RETURN: u16 = 0x06;
/// Return value that keeps the whole packet.
const KEEP_WHOLE_PACKET: u32 = u32::MAX;

/// A second handle to a listening socket, used to stop listening.
#[derive(Debug)]
pub struct ListenerHandle {
    listener: TcpListener,
}

impl ListenerHandle {
    /// Creates a handle to `listener`.
    ///
    /// # Errors
    /// Fails when the socket cannot be duplicated.
    pub fn of(listener: &TcpListener) -> io::Result<Self> {
        let listener = listener.try_clone()?;
        Ok(Self { listener })
    }

    /// Stops listening. `accept` on the socket returns all established connections, then the error
    /// [`io::ErrorKind::WouldBlock`]; the caller of `accept` must then drop the socket.
    ///
    /// # Errors
    /// Fails when a system call fails; the socket may then still be listening.
    pub fn close(self) -> io::Result<()> {
        let address = reachable_address(self.listener.local_addr()?);
        let last = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        last.bind(&SockAddr::from(SocketAddr::new(address.ip(), 0)))?;
        let last_port = last.local_addr()?.as_socket().map_or(0, |own| own.port());
        Socket::from(self.listener.try_clone()?).attach_filter(&syn_filter(last_port))?;
        self.listener.set_nonblocking(true)?;
        // Wakes a thread that is blocked in `accept`, after all other connections were accepted.
        last.connect(&SockAddr::from(address))
    }
}

/// Returns a packet filter that drops connection requests unless they come from `port`.
fn syn_filter(port: u16) -> [SockFilter; 6] {
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_SET, 0, 3, SYN_FLAG),
        SockFilter::new(LOAD_HALF, 0, 0, SOURCE_PORT_OFFSET),
        SockFilter::new(JUMP_EQUAL, 1, 0, u32::from(port)),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, KEEP_WHOLE_PACKET),
    ]
}

/// Returns the address at which a socket bound to `address` is reachable from this machine.
pub(super) fn reachable_address(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
