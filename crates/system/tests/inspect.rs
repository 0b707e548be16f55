//! The exit codes of `inspect`.

use std::path::PathBuf;
use std::process::ExitCode;

use ruddervalve_system::run;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ruddervalve-inspect-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder for the test");
        Self(path)
    }

    fn inspected(&self) -> String {
        let code = run(vec!["inspect".into(), self.0.clone().into()]);
        format!("{:?}", code.expect("it is a sub-command"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn an_empty_folder_is_in_order() {
    assert_eq!(Folder::new("empty").inspected(), format!("{:?}", ExitCode::SUCCESS));
}

#[test]
fn a_damaged_folder_fails() {
    let folder = Folder::new("damaged");
    for slot in ["slot-0", "slot-1"] {
        std::fs::write(folder.0.join(slot), b"this is no checkpoint").expect("the file is written");
    }
    assert_eq!(folder.inspected(), format!("{:?}", ExitCode::FAILURE));
}
