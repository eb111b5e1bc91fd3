//! Combines all integration tests of the library into one test binary.

mod test_adapters;
mod test_admission;
mod test_answer;
mod test_bad_input;
mod test_cache;
mod test_claim;
mod test_core;
mod test_fleet;
mod test_gateway;
mod test_group;
mod test_lease;
mod test_log;
mod test_path;
mod test_retire;
mod test_route;
mod test_settings;
mod test_streams;
mod test_tls;
