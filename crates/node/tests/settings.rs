//! Faults in settings files are all reported in one run, each with its code, path and line.

use redwingtrestle_core::{cases, time::Span};
use redwingtrestle_node::settings::{Policy, Settings};
use redwingtrestle_wire::config::ConfigDoc;
use std::path::Path;

const VALID_SETTINGS: &str = r#"{
    // Where callers connect.
    "entry": "127.0.0.1:8080",
    "peer": "127.0.0.1:7070",
    "data_centre": "concord",
    "region": "new-england",
    "log": "http://127.0.0.1:9400",
    "seeds": ["127.0.0.2:7070"],
    "policy": "local",
    "entries_ttl_ms": 5000, // short, for tests
}"#;

fn faults_after_edit((from, to): (&str, &str)) -> Vec<String> {
    let text = VALID_SETTINGS.replace(from, to);
    assert!(from.is_empty() || text != VALID_SETTINGS, "{from:?} is not in the file");
    let faults = Settings::parse(&text).err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

fn single_fault(text: &str) -> Vec<String> {
    vec![text.to_string()]
}

cases! {
    faults_after_edit;
    valid_settings_have_no_fault: ("", "") => Vec::<String>::new(),
    /// Guards against ignoring a misspelt key and using its default.
    unknown_key_is_a_fault: ("\"policy\"", "\"polices\"")
        => single_fault("5003 settings_unknown_key: line 9: polices: this key is not known"),
    /// Guards against starting with a default for a setting that must be set.
    missing_key_is_a_fault: ("\"log\": \"http://127.0.0.1:9400\",", "")
        => single_fault("5004 settings_missing: line 1: log: must be set"),
    entry_without_ip_address_is_a_fault: ("127.0.0.1:8080", "localhost:8080")
        => single_fault("5005 settings_value: line 3: entry: \"localhost:8080\" is not an IP address and port"),
    seed_without_port_is_a_fault: ("127.0.0.2:7070", "127.0.0.2")
        => single_fault("5005 settings_value: line 8: seeds[0]: \"127.0.0.2\" is not an IP address and port"),
    unknown_policy_is_a_fault: ("\"local\"", "\"best\"")
        => single_fault("5005 settings_value: line 9: policy: \"best\" is none of full, local, round_robin"),
    number_below_minimum_is_a_fault: ("5000", "5")
        => single_fault("5005 settings_value: line 10: entries_ttl_ms: must be a whole number of at least 1000"),
    log_url_without_scheme_is_a_fault: ("http://127.0.0.1:9400", "127.0.0.1:9400")
        => single_fault("5005 settings_value: line 7: log: \"127.0.0.1:9400\" is not of the form http://IP:PORT"),
    /// Guards against reporting only the first fault, which would cost an operator one start per fault.
    all_faults_are_reported_in_one_run: ("\"data_centre\": \"concord\"", "\"data_centre\": 7, \"x\": 1") => vec![
        "5005 settings_value: line 5: data_centre: must be a string".to_string(),
        "5003 settings_unknown_key: line 5: x: this key is not known".to_string(),
    ],
}

/// Guards against a syntax fault without the line on which it is.
#[test]
fn syntax_fault_has_its_line() {
    let faults = Settings::parse("{\n  \"entry\": [,\n}").unwrap_err();
    assert_eq!((faults.len(), faults[0].code.number(), faults[0].line), (1, 5002, 2));
}

/// Guards against reporting an unreadable file as a fault in its content.
#[test]
fn unreadable_file_has_its_code() {
    let faults = Settings::read(Path::new("no/such/file.json")).unwrap_err();
    assert_eq!(faults[0].code.number(), 5001);
}

/// Guards against defaults that replace the values of the file.
#[test]
fn settings_have_the_values_of_the_file() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.policy, Policy::Local);
    assert_eq!(settings.entries_ttl, Span::from_secs(5));
    assert_eq!(settings.seeds.len(), 1);
}

/// Guards against example settings that a node rejects.
#[test]
fn example_settings_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["kerlouan.json", "authority.json"] {
        let settings = Settings::read(&folder.join(name));
        assert!(settings.is_ok(), "{name}: {settings:?}");
    }
}

/// Guards against example configurations that cannot be published or no longer have the sizes of the two users.
#[test]
fn example_configurations_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (name, servers) in [("kerlouan", [6, 17, 8]), ("authority", [10, 6, 20])] {
        let text = std::fs::read_to_string(folder.join(format!("{name}-config.json"))).unwrap();
        let value = jsonc_parser::parse_to_serde_value(&text, &Default::default()).unwrap();
        let doc: ConfigDoc = serde_json::from_value(value.unwrap()).unwrap();
        assert_eq!(doc.faults(), Vec::<String>::new(), "{name}");
        let counts: Vec<usize> = doc.services.values().map(|s| s.servers.len()).collect();
        assert_eq!(counts, servers, "{name}");
    }
}
