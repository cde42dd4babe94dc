//! The daemon or tool `gateway`.

fn main() {}
