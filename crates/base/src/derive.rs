//! Macros that apply the common sets of derives.

/// Derives copying, comparison, hashing and serialization for small values.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )*
    };
}

/// Derives cloning, comparison and serialization for owned records.
#[macro_export]
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Declares a fieldless enum whose variants have fixed names and dense indices.
///
/// The names appear in chart files, in serialized data and in dumps.
#[macro_export]
macro_rules! symbols {
    ($(#[$meta:meta])* $vis:vis enum $name:ident {
        $($(#[$item:meta])* $variant:ident = $text:literal),+ $(,)?
    }) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        $vis enum $name { $($(#[$item])* #[serde(rename = $text)] $variant),+ }

        impl $crate::derive::Symbol for $name {
            const ALL: &'static [Self] = &[$(Self::$variant),+];

            fn name(self) -> &'static str {
                match self { $(Self::$variant => $text),+ }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

/// A fieldless enum whose variants each have a name and an index.
pub trait Symbol: Copy + Eq + 'static {
    /// All variants in the order of their indices.
    const ALL: &'static [Self];

    /// Returns the name used in chart files, in serialized data and in dumps.
    fn name(self) -> &'static str;

    /// Returns the position of the variant in [`Symbol::ALL`].
    fn index(self) -> usize;

    /// Finds the variant with the given name.
    fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|symbol| symbol.name() == name)
    }
}
