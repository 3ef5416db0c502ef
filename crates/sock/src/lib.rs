//! Questions to sockets that no library answers.

use std::io;
use std::os::fd::AsFd;

use rustix::ioctl::{Getter, Opcode, ioctl};

/// `SIOCOUTQ`, see tcp(7).
const OUTPUT_QUEUE: Opcode = 0x5411;

/// Returns the number of bytes that were written to a TCP socket and that its peer has not
/// acknowledged.
///
/// # Errors
///
/// The system does not know it of this socket.
///
/// # Examples
///
/// ```
/// let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
/// let stream = std::net::TcpStream::connect(listener.local_addr()?)?;
/// assert_eq!(briarbank_sock::unacknowledged_bytes(&stream)?, 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn unacknowledged_bytes(socket: impl AsFd) -> io::Result<u64> {
    // SAFETY: the request is defined for sockets, on which it writes one `int`, and fails on
    // other descriptors.
    #[expect(unsafe_code, reason = "no safe library makes this call")]
    let bytes = unsafe { ioctl(socket, Getter::<OUTPUT_QUEUE, i32>::new()) }?;
    Ok(u64::try_from(bytes).unwrap_or(0))
}
