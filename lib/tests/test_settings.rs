//! Tests that a settings file's errors are all reported at once, each with its line and field.

use mothvale_lib::settings::Settings;

const VALID: &str = r#"
host: {name: host1, zone: hobart}
listen: {public: "127.0.0.1:8080", admin: "127.0.0.1:9080"}
table: {address: "127.0.0.1:7000", timeout: 500ms}
models: [{name: demo}]
classes: [{name: paid, priority: 200}]
workspaces:
- name: bedline
  keys: [{sha256: "0000000000000000000000000000000000000000000000000000000000000000", class: paid}]
  models: [demo]
upstreams:
- {name: engine1, zone: hobart, address: "127.0.0.1:7001", models: [demo]}
limits: {body: 1MiB, body_stall: 2s}
"#;

/// Parses settings that must be invalid, and returns the text of all errors.
fn parse_errors(text: &str) -> String {
    Settings::parse("host.yaml", text).unwrap_err().to_string()
}

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse("host.yaml", VALID).unwrap();
    assert_eq!(settings.catalog.limits.body, 1 << 20);
    assert_eq!(settings.table.timeout.as_millis(), 500);
    assert_eq!(settings.catalog.upstreams[0].cold_limit, 1);
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = VALID
        .replace("timeout: 500ms", "timeout: 500")
        .replace("priority: 200", "priority: 300, colour: red")
        .replace("models: [demo]\nupstreams", "models: [other]\nupstreams")
        .replace("127.0.0.1:7001", "127.0.0.1:70010")
        .replace("body: 1MiB", "body: 1048576");
    insta::assert_snapshot!(parse_errors(&text), @r#"
    host.yaml:4: table.timeout: 500 is not of type "string"; durations and sizes need a unit, such as `2s` or `1MiB`
    host.yaml:6: classes[0].colour: unknown field
    host.yaml:6: classes[0].priority: 300 is greater than the maximum of 255
    host.yaml:10: workspaces[0].models[0]: no model `other`
    host.yaml:12: upstreams[0].address: `127.0.0.1:70010`: must be an IP number and a port, such as `10.0.0.1:8080`
    host.yaml:13: limits.body: 1048576 is not of type "string"; durations and sizes need a unit, such as `2s` or `1MiB`
    "#);
}

#[test]
fn duplicate_names_and_unknown_references_are_rejected() {
    let text = VALID
        .replace(
            "upstreams:\n",
            "upstreams:\n- {name: engine1, zone: hobart, address: \"127.0.0.1:7002\", models: [demo, large]}\n",
        )
        .replace("class: paid}", "class: gold}");
    insta::assert_snapshot!(parse_errors(&text), @r"
    host.yaml:9: workspaces[0].keys[0].class: no class `gold`
    host.yaml:12: upstreams[0].models[1]: no model `large`
    host.yaml:13: upstreams[1].name: duplicate name `engine1`
    ");
}

#[test]
fn missing_certificate_files_are_rejected() {
    let text = VALID.replace(
        "admin: \"127.0.0.1:9080\"",
        "admin: \"127.0.0.1:9080\", tls: {certificate: /nowhere/cert.pem, key: nothing}",
    );
    insta::assert_snapshot!(parse_errors(&text), @r"
    host.yaml:3: listen.tls.certificate: cannot read `/nowhere/cert.pem`: No such file or directory (os error 2)
    host.yaml:3: listen.tls.key: cannot read `nothing`: No such file or directory (os error 2)
    ");
}

#[test]
fn a_yaml_syntax_error_reports_its_line() {
    insta::assert_snapshot!(parse_errors("host: {name: a\nlisten: ]"), @"host.yaml:2: document: while parsing a flow mapping, did not find expected ',' or '}'");
}

#[test]
fn a_duplicate_field_is_rejected() {
    let text = VALID.replace("table:", "models: [{name: demo}]\ntable:");
    insta::assert_snapshot!(parse_errors(&text), @"host.yaml:6: models: the field stands twice");
}

#[test]
fn an_empty_file_is_rejected() {
    insta::assert_snapshot!(parse_errors(""), @r#"host.yaml:1: document: null is not of type "object""#);
}
