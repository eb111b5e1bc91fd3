//! Combines all integration tests of the library into one test binary.

mod test_adapters;
mod test_admission;
mod test_answer;
mod test_bad_input;
mod test_cache_gc;
mod test_cache_index;
mod test_claim;
mod test_departure;
mod test_fleet;
mod test_gateway;
mod test_group_commit;
mod test_health_tracker;
mod test_lease;
mod test_lease_era;
mod test_log;
mod test_path;
mod test_pause;
mod test_poison;
mod test_settings;
mod test_store_era;
mod test_store_history;
mod test_store_link;
mod test_streams;
mod test_tls;
mod test_upstream_choice;
mod test_zone_leader;
