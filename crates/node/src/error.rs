//! Why a node can't run.

use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why a node can't run.
    #[derive(Debug)]
    pub enum Error {
        /// A port can't be opened.
        Bind(port: &'static str, address: SocketAddr, error: std::io::Error) {
            source(error)
            display("{port} port {address} can't be opened: {error}; choose another address in the settings")
        }
        /// The control actor can't be started.
        Start(error: ractor::SpawnErr) {
            source(error)
            display("control actor can't be started: {error}")
        }
        /// The control actor ended by itself.
        ControlEnded {
            display("control actor ended; the node can't go on")
        }
    }
}
