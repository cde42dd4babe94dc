//! The daemon or tool `control`.

fn main() {}
