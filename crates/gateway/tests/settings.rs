//! Settings files with values that a gateway cannot use.

use redwingtrestle_core::{codes::ResultCode, time::Span};
use redwingtrestle_gateway::settings::{Fault, ReadSettings, Settings};

const REQUIRED: &str = r#""node": "n", "entry": "127.0.0.1:1", "health": "127.0.0.1:2", "directory": "127.0.0.1:3",
    "peer": "127.0.0.1:4", "metrics": "127.0.0.1:5", "data_centre": "a", "store": "127.0.0.1:6""#;

fn parse(more: &str) -> Result<ReadSettings, Vec<Fault>> {
    Settings::parse(&format!("{{{REQUIRED}, {more}}}"))
}

/// Returns the settings, and the codes of the faults of those that are replaced.
fn accepted(more: &str) -> (Settings, Vec<ResultCode>) {
    let ReadSettings { settings, replaced } = parse(more).expect("accepted settings");
    (settings, replaced.iter().map(|fault| fault.code).collect())
}

/// Guards against a process that does not start because the time of a planned stop has a fraction.
#[test]
fn stop_in_seconds_may_have_a_fraction() {
    let (settings, replaced) = accepted(r#""stop_s": 6.5"#);
    assert_eq!((settings.max_stop, replaced), (Span::from_millis(6_500), vec![]));
}

/// Guards against files of earlier versions that are no longer read.
#[test]
fn stop_in_milliseconds_is_read() {
    let (settings, replaced) = accepted(r#""stop_ms": 6000"#);
    assert_eq!((settings.max_stop, replaced), (Span::from_secs(6), vec![]));
}

/// Guards against a process that does not start because a number of the retry budget has a fraction.
#[test]
fn retry_budget_may_have_fractions() {
    let (settings, replaced) = accepted(r#""retry_floor": 58.5, "retry_window_s": 7.5"#);
    assert_eq!((settings.retry_floor, settings.retry_window), (58.5, Span::from_millis(7_500)));
    assert_eq!(replaced, vec![]);
}

/// Guards against a process that ends over a value that it can do without.
#[test]
fn unusable_values_are_replaced_by_defaults() {
    let (settings, replaced) = accepted(
        r#""stop_s": true, "retry_floor": "many", "retry_window_s": 0, "floor_share": 1.5, "entries_ttl_s": 0"#,
    );
    let (defaults, _) = accepted(r#""seeds": []"#);
    assert_eq!(settings, defaults);
    assert_eq!(replaced, vec![ResultCode::SettingsValue; 5]);
}

/// Guards against one undecodable seed that takes the others with it.
#[test]
fn undecodable_seed_is_left_out() {
    let (settings, replaced) = accepted(r#""seeds": ["10.0.0.1:1", "nowhere", "10.0.0.2:1"]"#);
    assert_eq!((settings.seeds.len(), replaced), (2, vec![ResultCode::SettingsValue]));
}

/// Guards against a misspelt setting that nobody hears of, and against one that keeps the process from starting.
#[test]
fn unknown_setting_is_reported_and_ignored() {
    let (_, replaced) = accepted(r#""stop_sec": 5"#);
    assert_eq!(replaced, vec![ResultCode::SettingsUnknownKey]);
}

/// Guards against a process that starts without an address, or whose check names only the first fault.
#[test]
fn missing_address_and_empty_name_are_refused() {
    let text = REQUIRED.replace(r#""store": "127.0.0.1:6""#, r#""stop_s": "x""#);
    let text = text.replace(r#""node": "n""#, r#""node": """#);
    let faults = Settings::parse(&format!("{{{text}}}")).expect_err("refused settings");
    let codes: Vec<ResultCode> = faults.iter().map(|fault| fault.code).collect();
    use ResultCode::{SettingsMissing, SettingsValue};
    assert_eq!(codes, [SettingsValue, SettingsMissing, SettingsValue], "{faults:?}");
}

/// Guards against two listeners on one address.
#[test]
fn entry_that_is_also_the_peer_is_refused() {
    let text = REQUIRED.replace("127.0.0.1:4", "127.0.0.1:1");
    let faults = Settings::parse(&format!("{{{text}}}")).expect_err("refused settings");
    assert_eq!(faults[0].code, ResultCode::SettingsValue);
}

/// Guards against a panic at a file that holds no object.
#[test]
fn file_without_an_object_is_refused() {
    for text in ["", "[]", "{\"node\": 000}"] {
        let faults = Settings::parse(text).expect_err("refused settings");
        assert_eq!(faults[0].code, ResultCode::SettingsSyntax, "{text:?}");
    }
}

/// Guards against a refused file whose known settings are called unknown, as reading stopped at the first fault.
#[test]
fn refused_file_names_only_real_faults() {
    let text = REQUIRED.replace(r#""store": "127.0.0.1:6""#, r#""seeds": ["10.0.0.1:1"]"#);
    let faults = Settings::parse(&format!("{{{text}}}")).expect_err("refused settings");
    let codes: Vec<ResultCode> = faults.iter().map(|fault| fault.code).collect();
    assert_eq!(codes, [ResultCode::SettingsMissing], "{faults:?}");
}
