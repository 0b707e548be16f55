//! Durable state of one process: two checkpoint slots written in turn, a short log between
