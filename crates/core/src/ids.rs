//! Identifiers exchanged between processes.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a router host, unique in the host list.
    HostName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a region, which holds availability zones.
    RegionName
}
name_type! {
    /// Name of a backend server, unique in the server list.
    ServerName
}
name_type! {
    /// Name of a workspace.
    WorkspaceName
}
name_type! {
    /// Name of a profile.
    ProfileName
}
name_type! {
    /// Name of a model or of a plain service.
    TargetName
}
name_type! {
    /// Name of a service that is the destination of routes.
    ServiceName
}
name_type! {
    /// Identifier of a request, chosen by the caller (`Idempotency-Key`).
    RequestId
}

/// Revision of a published value; a higher number is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Random number that identifies one run of the process on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One call received by this process, unique within the process.
///
/// Two calls may have the same [`RequestId`], but never the same `CallId`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// One dispatch of a call to a server, unique across processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Process that started the attempt.
    pub incarnation: Incarnation,
    /// Number of the attempt within that process.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.0, self.number)
    }
}
