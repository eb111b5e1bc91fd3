//! Runs all tests of the library in one program.

mod test_settings;
