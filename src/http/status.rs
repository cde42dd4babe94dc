//! Which statuses an answer may have.

/// Returns whether an answer that ends an exchange may have this status.
///
/// Interim answers never reach the callers of hyper, and 101 only ends a request to switch protocols,
/// which is never sent. From 600 on there are no statuses.
pub fn is_final(status: hyper::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
