//! Decodes stored JSON documents that carry a schema number.

use derive_more::{Display, Error};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// The reason why a document cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The bytes are not a JSON document of the expected type.
    #[display("document does not parse: {cause}")]
    Syntax {
        /// Message of the parser.
        cause: String,
    },
    /// The schema is newer than this build supports.
    #[display("document has schema {found}, this build reads up to {known}")]
    Schema {
        /// Schema of the document.
        found: u32,
        /// Newest schema that this build reads.
        known: u32,
    },
}

/// The part of a document that is decoded first, as its schema decides how to read the rest.
#[derive(Deserialize)]
struct Header {
    schema: u32,
}

/// Decodes a document whose schema is at most `known`.
///
/// # Errors
///
/// Returns [`Fault::Schema`] if the schema is newer, and [`Fault::Syntax`] if `bytes` is not a
/// document of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], known: u32) -> Result<T, Fault> {
    // Serde also accepts an array for a struct, but stored documents are always objects.
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
