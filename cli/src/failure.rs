//! Failures of a command, with their exit codes.

/// Something went wrong while a command ran.
pub const EXIT_FAILURE: u8 = 1;
/// The command line or the settings are wrong, and nothing was done.
pub const EXIT_USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// The process's exit code.
    pub code: u8,
    /// Lines for standard error.
    pub message: String,
}

impl Failure {
    /// Creates the failure of a command that ran.
    pub fn failed<S>(message: S) -> Self
    where
        S: ToString,
    {
        Failure { code: EXIT_FAILURE, message: format!("mothvale: {}", message.to_string()) }
    }

    /// Creates the failure of a command that was asked for wrongly.
    pub fn usage<S>(message: S) -> Self
    where
        S: ToString,
    {
        let message = format!("mothvale: {} (see --help)", message.to_string());
        Failure { code: EXIT_USAGE, message }
    }

    /// Creates the failure of wrong settings; each line names file, line and field.
    pub fn settings<S>(message: S) -> Self
    where
        S: ToString,
    {
        Failure { code: EXIT_USAGE, message: message.to_string() }
    }
}

impl From<lexopt::Error> for Failure {
    fn from(err: lexopt::Error) -> Self {
        Failure::usage(err)
    }
}
