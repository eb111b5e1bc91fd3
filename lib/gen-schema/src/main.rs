//! Writes the committed code of `lib/src/generated` from `lib/schema`.

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

/// Generates types for a JSON schema. Patterns, ranges and lengths are checked when a
/// document is read, so that all mistakes are reported at once; the types stay plain.
fn generate(text: &str) -> Result<String, Box<dyn Error>> {
    let mut schema: serde_json::Value = serde_json::from_str(text)?;
    strip(&mut schema);
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(serde_json::from_value(schema)?)?;
    let file = syn::parse2::<syn::File>(space.to_stream())?;
    Ok(prettyplease::unparse(&file))
}

fn strip(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            let checked = ["pattern", "minLength", "maxLength", "minItems", "maximum"];
            map.retain(|key, it| !checked.contains(&key.as_str()) || it.is_object());
            // Zero keeps a number unsigned, any other bound would make its type a wrapper.
            if let Some(minimum) = map.get_mut("minimum").filter(|it| it.is_number()) {
                *minimum = 0.into();
            }
            map.values_mut().for_each(strip);
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(strip),
        _ => {}
    }
}
