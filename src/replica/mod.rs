//! The replicated log of the control group.
