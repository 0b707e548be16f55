//! Starts the real program and speaks to it as submitters, execute nodes, discovery, operators and Gearman peers do.

mod crossings;
mod gearman;
mod http;
mod rig;
mod switches;
