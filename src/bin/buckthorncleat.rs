//! The daemon or tool `buckthorncleat`.

fn main() {}
