//! Types for the names and numbers that identify parts of the system.

use std::fmt;
use std::str;

use crate::error;
use crate::macros;

/// The longest name allowed, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

macros::name! {
    /// The name of an instance: the place where one process of the system runs.
    InstanceId
}
macros::name! {
    /// The name of a data centre, whose servers and instances may fail together.
    DataCentre
}
macros::name! {
    /// The name of a client account.
    ClientAccountId
}
macros::name! {
    /// The name of a backend server: a model engine or a plain service.
    BackendServerId
}
macros::name! {
    /// The software version that a backend server runs.
    SoftwareVersion
}
macros::name! {
    /// The name of a model.
    ModelId
}
macros::name! {
    /// The public name of an API key; its secret is never stored.
    KeyId
}
macros::name! {
    /// The name of a route to plain services.
    RouteId
}
macros::name! {
    /// The name that an operator gives to one request; sent again under it, the request runs once.
    OperationId
}
macros::number! {
    /// The revision of the replicated configuration; each change increases it.
    Revision
}
macros::number! {
    /// The epoch of the membership; it increases when a member joins, leaves or fails.
    Epoch
}
macros::number! {
    /// An election term of the replicated log; it has at most one leader.
    Term
}
macros::number! {
    /// The position of an entry in the replicated log; the first is 1.
    LogIndex
}
macros::number! {
    /// A fencing token: a backend server that checks it refuses orders with a number below the
    /// highest that it has seen, so that an older sender can no longer act on it.
    FencingNumber
}
macros::number! {
    /// A reservation of engine capacity at a scheduler owner.
    ReservationId
}
macros::number! {
    /// Identifies one run of a process or one creation of a data folder; drawn at random, never 0.
    Incarnation
}

impl Incarnation {
    pub fn random() -> Self {
        Self::new(rand::random::<u64>() | 1)
    }
}

macros::data! {copy
    /// Identifies one request of a caller in all processes; drawn at random.
    #[serde(into = "String", try_from = "String")]
    pub struct RequestId(u128);
}

impl RequestId {
    pub fn random() -> Self {
        Self(rand::random())
    }

    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    pub const fn as_u128(self) -> u128 {
        self.0
    }

    /// Returns the id that the engines are given for an attempt; attempts count from 0, and the
    /// first has the id of the request.
    #[must_use]
    pub const fn for_attempt(self, attempt: u32) -> Self {
        Self(self.0.wrapping_add(attempt as u128))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for RequestId {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        u128::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| error::Error::bad_value("RequestId", s, "use up to 32 hex digits"))
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for RequestId {
    type Error = error::Error;

    fn try_from(s: String) -> error::Result<Self> {
        s.parse()
    }
}

/// Checks that `s` is a valid name: 1 to [`MAX_NAME_BYTES`] characters of `a-z A-Z 0-9 . _ : -`.
///
/// # Errors
///
/// Fails if it is not; the error names `kind`, the value and the characters allowed.
pub fn check_name(kind: &str, s: &str) -> error::Result<()> {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    if !s.is_empty() && s.len() <= MAX_NAME_BYTES && s.chars().all(ok) {
        return Ok(());
    }
    let remedy = "use 1 to 64 of the characters a-z A-Z 0-9 . _ : -";
    Err(error::Error::bad_value(kind, s, remedy))
}
