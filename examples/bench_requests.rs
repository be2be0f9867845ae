//! Prints the request path benchmark: `cargo run --release --example bench_requests [seed]`.

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    println!("{}", sapphirecroft::bench::run_requests(seed.unwrap_or(1)));
}
