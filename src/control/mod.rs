//! The control daemon: the replicated log, sessions of gateways and the admin interface.
