//! Failures of a command, with their exit codes.

/// Exit code of a command that failed while it ran.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line or invalid settings; nothing was done.
pub const EXIT_USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// The process's exit code.
    pub code: u8,
    /// Text to print to standard error; may have several lines.
    pub message: String,
}

impl Failure {
    /// Creates a failure that occurred while a command ran.
    pub fn failed<S>(message: S) -> Self
    where
        S: ToString,
    {
        Failure { code: EXIT_FAILURE, message: format!("mothvale: {}", message.to_string()) }
    }

    /// Creates a failure due to an invalid command line.
    pub fn usage<S>(message: S) -> Self
    where
        S: ToString,
    {
        let message = format!("mothvale: {} (see --help)", message.to_string());
        Failure { code: EXIT_USAGE, message }
    }

    /// Creates a failure due to invalid settings. Each line of `message` already names file, line
    /// and field, so no program name is put in front.
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
