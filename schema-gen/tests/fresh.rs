//! Guards against generated code that no longer matches `schema/*.json`.

use std::fs;

#[test]
fn generated_code_matches_the_schema() {
    for name in schema_gen::schema_names() {
        let expected = schema_gen::generate(&name);

        let found = fs::read_to_string(schema_gen::target(&name)).unwrap_or_default();

        assert!(
            found == expected,
            "src/schema/{name}.rs is stale; run `cargo run -p schema-gen`"
        );
    }
}
