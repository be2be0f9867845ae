//! Writes the generated modules anew.

use std::fs;

fn main() {
    for name in schema_gen::schema_names() {
        fs::write(schema_gen::target(&name), schema_gen::generate(&name))
            .expect("generated file is writable");
    }
}
