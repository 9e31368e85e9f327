//! Reading stored documents with a schema number.

use derive_more::{Display, Error};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A document that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The bytes are not a document of the expected kind.
    #[display("document does not parse: {cause}")]
    Syntax {
        /// The parser's account.
        cause: String,
    },
    /// The document is of a schema that this build does not know.
    #[display("document has schema {found}, this build reads up to {known}")]
    Schema {
        /// The document's schema.
        found: u32,
        /// The newest schema that this build reads.
        known: u32,
    },
}

/// The part that is read before anything else is trusted.
#[derive(Deserialize)]
struct Header {
    schema: u32,
}

/// Reads a document whose schema is at most `known`.
///
/// # Errors
///
/// Returns [`Fault::Schema`] for a newer schema and [`Fault::Syntax`] for anything else that is
/// not such a document.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], known: u32) -> Result<T, Fault> {
    // A structure may also be read from an array, which no document of ours is.
    if bytes.trim_ascii_start().first() != Some(&b'{') {
        return Err(Fault::Syntax { cause: "not an object".into() });
    }
    let syntax = |error: serde_json::Error| Fault::Syntax { cause: error.to_string() };
    let header: Header = serde_json::from_slice(bytes).map_err(syntax)?;
    if header.schema > known {
        return Err(Fault::Schema { found: header.schema, known });
    }
    serde_json::from_slice(bytes).map_err(syntax)
}
