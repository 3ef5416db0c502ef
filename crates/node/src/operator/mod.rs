//! Operator port: health, metrics, state and drain.

mod port;

pub(crate) use port::OperatorPort;
