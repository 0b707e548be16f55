//! Lines of the wire, and what is said of faulty ones.

use super::*;

#[test]
fn splits_fields_and_keeps_json_whole() {
    let line = Line::parse("ATTACH rng_seed=7 info={\"a\": \"b c=d\"}").unwrap();
    assert_eq!(line.name, "ATTACH");
    assert_eq!(line.number::<u64>("rng_seed"), Ok(7));
    assert_eq!(line.text("info"), Some("{\"a\": \"b c=d\"}"));
    assert_eq!(line.optional::<u64>("other"), Ok(None));
}

#[test]
fn tells_what_was_expected() {
    let error = Line::parse("DEMAND rid").unwrap_err();
    assert_eq!(error.to_string(), "expected name=value, found 'rid'");
    let line = Line::parse("DEADLINE_HIT mark=x").unwrap();
    let error = line.number::<u64>("mark").unwrap_err();
    assert_eq!(error.to_string(), "DEADLINE_HIT: field 'mark' is 'x', expected a number");
    assert!(line.flag("mark").is_err());
}
