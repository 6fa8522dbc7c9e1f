//! Reads arguments and calls the library.

fn main() {}
