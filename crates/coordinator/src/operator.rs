//! The operator's API, without the network: which call a request is, and what it is answered.

pub use crate::operator_answer::{Answer, Status, answer_replace, answer_retire};
pub use crate::operator_call::{Endpoint, OperatorCall, ReplaceOrder, RetireOrder};
