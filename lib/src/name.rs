//! Names of the things that settings define, as shared immutable strings.

use std::fmt;

use faststr::FastStr;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(FastStr);

        impl $name {
            /// Wraps a name that its source has already checked.
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
    /// A host that runs this program.
    Host;
    /// An availability zone.
    Zone;
    /// A workspace.
    Workspace;
    /// A priority class.
    Class;
    /// A model.
    Model;
    /// A model engine, or one instance of a plain service.
    Upstream;
    /// A plain service beside the engines.
    Service;
}
