//! The edge: accepts messages, delivers them to runners, calls back
