//! Changes to the membership of the control group.

use std::net;

use hyper::Method;

use crate::error;
use crate::macros;
use crate::replica::core::members;

macros::data! {
    /// The body of `PUT /v1/control-members/NAME`.
    #[serde(deny_unknown_fields)]
    pub struct Admission {
        /// The address at which other processes reach the new member.
        pub peer_address: net::SocketAddr,
    }
}

/// Parses a membership change: PUT admits the member, any other method dismisses it.
///
/// # Errors
///
/// Fails when the name or the body is malformed.
pub fn change(method: &Method, name: &str, body: &[u8]) -> error::Result<members::MemberChange> {
    let instance = name.parse()?;
    if method != Method::PUT {
        return Ok(members::MemberChange::Dismiss(instance));
    }
    let admission: Admission = serde_json::from_slice(body).map_err(|e| {
        let remedy = r#"send {"peer_address":"IP:port"}"#;
        error::Error::bad_value("body", e, remedy)
    })?;
    Ok(members::MemberChange::Admit {
        instance,
        address: admission.peer_address,
    })
}
