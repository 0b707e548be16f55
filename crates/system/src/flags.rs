//! The sub-commands and their options.

#![allow(missing_docs, reason = "the macro makes items without comments; its own comments are the help text")]

use std::path::PathBuf;

xflags::xflags! {
    /// An ingest and dispatch service. Without a sub-command: the dispatcher in service.
    ///
    /// Roles read the settings file that RUDDERVALVE_BOOT names. Exit codes: 0 ended as asked, 1 failed while running,
    /// 2 the command line, settings or configuration are faulty.
    cmd ruddervalve {
        /// Accepts messages of clients and delivers them to runners.
        cmd edge {}
        /// Agrees with other coordinators on configuration, members and placement.
        cmd coordinator {}
        /// Keeps shards of the queue.
        cmd store {}
        /// Checks a settings file, or an operator's configuration, and prints all faults.
        cmd check {
            /// The file.
            required file: PathBuf
            /// The file is an operator's configuration.
            optional --configuration
        }
        /// Prints what a data folder holds; changes nothing.
        cmd inspect {
            /// The folder.
            required folder: PathBuf
        }
        /// Plays the whole system in one process, with faults by seeds, and checks the rules after each step.
        cmd simulate {
            /// The seeds, FROM..TO; 0..100 if not given.
            optional --seeds seeds: String
            /// A scenario file; all kinds of faults together if not given.
            optional --scenario scenario: PathBuf
            /// Plays one seed again and prints all that happens.
            optional --replay seed: u64
            /// How many threads play; all cores if not given.
            optional --jobs jobs: usize
            /// Goes on after the first seed that breaks a rule.
            optional --all
        }
    }
}
