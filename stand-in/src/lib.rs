//! Small stand-ins for model engines, plain services and the platform.
