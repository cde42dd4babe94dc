//! Settings files of the daemons and the planners' sheet.

pub mod settings;
