//! Names and numbers that identify things.

use std::fmt;
use std::str;

use crate::error;
use crate::macros;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

macros::name! {
    /// The name of one instance that runs a process of the system.
    InstanceId
}
macros::name! {
    /// The name of a data centre.
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
    /// The name of a model.
    ModelId
}
macros::name! {
    /// The public name of a key; the secret is never stored.
    KeyId
}
macros::name! {
    /// The name of a route to plain services.
    RouteId
}
macros::name! {
    /// The name of one operator request, chosen by the operator, for idempotent resends.
    OperationId
}
macros::number! {
    /// The revision of the replicated configuration; it only grows.
    Revision
}
macros::number! {
    /// The epoch of the membership; every join, leave or death makes a new one.
    Epoch
}
macros::number! {
    /// An election term of the replicated log.
    Term
}
macros::number! {
    /// A position in the replicated log; the first entry has 1.
    LogIndex
}
macros::number! {
    /// The number that lets a backend server refuse orders of an older sender.
    FencingNumber
}
macros::number! {
    /// A reservation of engine capacity at a scheduler owner.
    ReservationId
}
macros::number! {
    /// One life of a process or of a data folder, drawn at random.
    Incarnation
}

impl Incarnation {
    /// Draws a new incarnation.
    pub fn random() -> Self {
        Self::new(rand::random::<u64>() | 1)
    }
}

macros::data! {copy
    /// The identity of one caller request across all processes, drawn at random.
    #[serde(into = "String", try_from = "String")]
    pub struct RequestId(u128);
}

impl RequestId {
    /// Draws a new request id.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Wraps a plain number.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn as_u128(self) -> u128 {
        self.0
    }

    /// Returns the id by which the engines know the given attempt, counted from 0.
    #[must_use]
    pub const fn of_attempt(self, attempt: u32) -> Self {
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

/// Checks that `s` is a well-formed name: 1 to 64 of `a-z A-Z 0-9 . _ : -`.
///
/// # Errors
///
/// Names the kind, the value and what a name may hold.
pub fn check_name(kind: &str, s: &str) -> error::Result<()> {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    if !s.is_empty() && s.len() <= MAX_NAME_BYTES && s.chars().all(ok) {
        return Ok(());
    }
    let remedy = "use 1 to 64 of the characters a-z A-Z 0-9 . _ : -";
    Err(error::Error::bad_value(kind, s, remedy))
}
