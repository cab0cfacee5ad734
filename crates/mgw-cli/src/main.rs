//! Program start.

fn main() {}
