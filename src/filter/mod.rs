//! The chain of filters that every caller request passes.
