//! The HTTP interfaces towards callers and operators.
