//! Generates the Rust types in `lib/src/generated` from the schemas in `lib/schema`. The output
//! is committed.

use std::{error::Error, fs, path::Path};

use typify::{TypeSpace, TypeSpaceSettings};

const JSON_SCHEMAS: [&str; 3] = ["openai", "settings", "wire"];

fn main() -> Result<(), Box<dyn Error>> {
    let lib = Path::new(env!("CARGO_MANIFEST_DIR")).parent().ok_or("no parent directory")?;
    let schema = lib.join("schema");
    let generated = lib.join("src/generated");
    for name in JSON_SCHEMAS {
        let text = fs::read_to_string(schema.join(format!("{name}.schema.json")))?;
        fs::write(generated.join(format!("{name}.rs")), generate(&text)?)?;
    }
    pilota_build::Builder::pb().include_dirs(vec![schema.clone()]).ignore_unused(false).compile(
        [schema.join("peer.proto")],
        pilota_build::Output::File(generated.join("peer_proto.rs")),
    );
    Ok(())
}

/// Returns the Rust types for a JSON schema. Patterns, ranges and lengths are left out of the
/// types: they are checked when a document is read, so that all errors are reported at once.
fn generate(text: &str) -> Result<String, Box<dyn Error>> {
    let mut schema: serde_json::Value = serde_json::from_str(text)?;
    remove_constraints(&mut schema);
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(serde_json::from_value(schema)?)?;
    let file = syn::parse2::<syn::File>(space.to_stream())?;
    Ok(prettyplease::unparse(&file))
}

/// Removes from a schema the constraints that would turn a field's type into a wrapper type.
fn remove_constraints(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            let constraints = ["pattern", "minLength", "maxLength", "minItems", "maximum"];
            map.retain(|key, it| !constraints.contains(&key.as_str()) || it.is_object());
            // A minimum of zero keeps the type an unsigned integer; any other makes it a wrapper.
            if let Some(minimum) = map.get_mut("minimum").filter(|it| it.is_number()) {
                *minimum = 0.into();
            }
            map.values_mut().for_each(remove_constraints);
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(remove_constraints),
        _ => {}
    }
}
