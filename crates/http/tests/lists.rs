//! How lists of runners are found in what comes of a watch, wherever it is cut.

use bytes::BytesMut;
use ruddervalve_http::{next_list, read_list};

const ONE: &str = r#"{"version":41,"full":true,"servers":[{"id":"s-\u00e9\"}{","addr":"10.1.0.18:8000","zone":null,
  "kind":"m2","cell":-3e0,"state":"active","weight":-0.125E+1,"started_ms":1764.5e-2}]}"#;
const OTHER: &str = r#"{ "version" : 42, "full" : false, "servers" : [] }"#;

/// What is found when this comes piece by piece.
fn found(pieces: &[&[u8]]) -> Result<Vec<String>, String> {
    let (mut read_buffer, mut found) = (BytesMut::new(), Vec::new());
    for read_more in pieces {
        read_buffer.extend_from_slice(read_more);
        while let Some(list) = next_list(&mut read_buffer)? {
            found.push(String::from_utf8(list.to_vec()).unwrap());
        }
    }
    Ok(found)
}

#[test]
fn lists_are_found_whole_wherever_they_are_cut() {
    // Guards against a cut within a number, an escape or a word that is taken for a fault: what had been written counted as
    // told, and the watch was given up.
    let text = format!("\n\n{ONE}{OTHER}\r\n \n{OTHER}\n");
    let whole = Ok(vec![ONE.to_owned(), OTHER.to_owned(), OTHER.to_owned()]);
    for cut in 0..=text.len() {
        let (one, other) = text.as_bytes().split_at(cut);
        assert_eq!(found(&[one, other]), whole, "cut at {cut}");
    }
    let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
    assert_eq!(found(&bytes), whole, "byte by byte");
    assert!(read_list(OTHER.as_bytes()).unwrap().version == 42);
}

#[test]
fn what_is_no_list_is_a_fault_once_more_has_come() {
    for text in [
        "<html>\n",
        "{\"version\":4x}",
        "{\"version\":-,\"full\":true}",
        "{\"a\":1.}\n",
        "}{",
        "\"\u{1}\" ",
        "nul! ",
    ] {
        assert!(found(&[text.as_bytes()]).is_err(), "{text:?}");
        let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        assert!(found(&bytes).is_err(), "{text:?} byte by byte");
    }
    // One that never ends is given up.
    let endless = [b"{\"version\":1,\"servers\":[".to_vec(), vec![b' '; 5 << 20]].concat();
    assert_eq!(found(&[&endless]), Err("a list without an end".to_owned()));
}
