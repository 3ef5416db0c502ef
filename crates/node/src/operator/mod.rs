//! The port for operators.

mod port;

pub(crate) use port::OperatorPort;
