//! Settings of a process and the operator's configurations: reading, checking, the route table
