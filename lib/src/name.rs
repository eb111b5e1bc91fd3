//! Typed names of the hosts, workspaces, models and other entities that the settings define.
//! They are shared immutable strings, so that copies are cheap.

use std::fmt;

use faststr::FastStr;

/// Defines one string type for each kind of name, so that they cannot be mixed up.
macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(FastStr);

        impl $name {
            /// Wraps a name that has already been validated.
            pub fn new<S>(name: S) -> Self
            where
                S: Into<FastStr>,
            {
                $name(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! {
    /// Name of a host that runs this program.
    Host;
    /// Name of an availability zone.
    Zone;
    /// Name of a workspace.
    Workspace;
    /// Name of a priority class.
    Class;
    /// Name of a model.
    Model;
    /// Name of a model engine, or of one instance of a plain service.
    Upstream;
    /// Version of the software that an upstream runs; empty if the upstream does not tell it.
    Build;
    /// Name of a plain service, which is an HTTP service beside the engines.
    Service;
}
