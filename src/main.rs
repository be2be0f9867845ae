//! The `sapphirecroft` program.

fn main() {}
