//! The gateway daemon: callers, owner roles and the link to the control group.
