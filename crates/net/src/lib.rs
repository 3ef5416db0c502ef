//! TCP sockets and transfers with timeouts on dead paths, for all daemons.

mod accept;
mod admission;
mod body;
mod buffers;
mod caller_connection;
mod caller_stream;
mod connect;
mod delivery;
mod drain;
mod head_limit;
mod head_scanner;
mod held;
mod status;

pub use accept::accept;
pub use admission::{Admission, AdmissionCounts, Place, Reservation};
pub use body::{BodyError, read_body};
pub use buffers::{limit_buffers, limit_server_buffer};
pub use caller_connection::CallerConnection;
pub use caller_stream::CallerStream;
pub use connect::{connect, set_path_timeouts};
pub use delivery::{DeliveredStream, Delivery};
pub use drain::drain;
pub use head_limit::{HEAD_BUFFER_BYTES, HeadLimit, HeadLimitedStream};
pub use held::{Collector, HeldBytes};
pub use status::is_final;
