//! Combines all tests that start the `mothvale` program into one test binary.

mod test_deadly_request;
mod test_gateway_process;
mod test_soak;
mod test_soak_check;
