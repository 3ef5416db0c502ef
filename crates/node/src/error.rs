//! Fatal errors of a node.

use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Error that keeps a node from running.
    #[derive(Debug)]
    pub enum Error {
        /// Opening a port failed.
        Bind(port: &'static str, address: SocketAddr, error: std::io::Error) {
            source(error)
            display("{port} port {address} can't be opened: {error}; choose another address in the settings")
        }
        /// Starting the control actor failed.
        Start(error: ractor::SpawnErr) {
            source(error)
            display("control actor can't be started: {error}")
        }
        /// The control actor ended unexpectedly.
        ControlEnded {
            display("control actor ended unexpectedly; the node cannot continue")
        }
    }
}
