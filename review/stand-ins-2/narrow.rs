//! Channels of consumers behind a narrow link: segments of the size of an Ethernet frame and a small window.
//!
//! The standard library has no calls for these socket options, which have to be set before the channel is opened.

use std::{
    ffi::{c_int, c_void},
    io::Error,
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;
/// The segment size that every host has to accept.
const SEGMENT_BYTES: c_int = 536;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn connect(fd: c_int, address: *const SockAddrIn, len: u32) -> c_int;
}

fn set(fd: c_int, level: c_int, name: c_int, value: c_int) -> Result<(), Error> {
    let pointer = (&raw const value).cast();
    // SAFETY: the pointer is to a `c_int` that outlives the call.
    let result = unsafe { setsockopt(fd, level, name, pointer, size_of::<c_int>() as u32) };
    if result == 0 {
        Ok(())
    } else {
        Err(Error::last_os_error())
    }
}

/// Opens a channel whose receive buffer has this size.
pub fn open(to: SocketAddr, window_bytes: i32) -> Result<TcpStream, Error> {
    let SocketAddr::V4(to) = to else {
        return Err(Error::other("only IPv4 is used"));
    };
    // SAFETY: plain call; the result is checked.
    let fd = unsafe { socket(AF_INET, SOCK_STREAM, 0) };
    if fd < 0 {
        return Err(Error::last_os_error());
    }
    // SAFETY: the descriptor is open and owned by nothing else.
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    set(fd, SOL_SOCKET, SO_RCVBUF, window_bytes)?;
    set(fd, IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)?;
    let address = SockAddrIn {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        address: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointer is to an address of the given length.
    let result = unsafe { connect(fd, &raw const address, size_of::<SockAddrIn>() as u32) };
    if result == 0 {
        Ok(stream)
    } else {
        Err(Error::last_os_error())
    }
}
