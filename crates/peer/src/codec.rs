//! Encoding of the frames that members send each other.
//!
//! An encoded frame is a little-endian length of four bytes, then the postcard encoding of an
//! [`Envelope`]. The dispatchers of entries and nodes encode, [`crate::mesh`] decodes.

use std::net::SocketAddr;

use base::record;
use derive_more::{Display, Error as StdError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a frame in bytes: the largest configuration and 1 KiB for the fields around it.
pub const MAX_FRAME_BYTES: usize = 1_048_576 + 1_024;
/// Version of the encoding, which must be the same at both ends of a connection.
pub const VERSION: u16 = 1;

record! {
    /// Unit of transfer on a stream.
    pub enum Envelope<F> {
        /// The first frame of a stream.
        Hello(Hello),
        /// Any later frame.
        Frame(F),
    }

    /// Introduction of the sender.
    #[derive(Copy)]
    pub struct Hello {
        /// Version of the encoding.
        pub version: u16,
        /// Identifier of the sender.
        pub ident: u64,
        /// Address on which the sender accepts connections of peers.
        pub address: SocketAddr,
    }
}

/// Failure to encode or to decode a frame.
#[derive(Clone, Debug, PartialEq, Eq, Display, StdError)]
pub enum Error {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[display("frame of {size} bytes exceeds the maximum of {MAX_FRAME_BYTES} bytes")]
    TooLarge {
        /// Size of the frame in bytes.
        size: usize,
    },
    /// Postcard could not encode the envelope or decode the bytes.
    #[display("malformed frame: {cause}")]
    Malformed {
        /// Error of postcard.
        #[error(source)]
        cause: postcard::Error,
    },
    /// Bytes are left over after the frame.
    #[display("{size} trailing bytes after the frame")]
    Trailing {
        /// Number of trailing bytes.
        size: usize,
    },
}

/// Encodes one envelope, prefixed with its length.
///
/// # Errors
///
/// Returns an error if the frame exceeds [`MAX_FRAME_BYTES`] or postcard cannot encode it.
pub fn encode<F: Serialize>(envelope: &Envelope<F>) -> Result<Vec<u8>, Error> {
    let body = postcard::to_stdvec(envelope).map_err(|cause| Error::Malformed { cause })?;
    let size = body.len();
    let length = u32::try_from(size).ok().filter(|_| size <= MAX_FRAME_BYTES);
    let length = length.ok_or(Error::TooLarge { size })?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(body);
    Ok(bytes)
}

/// Decodes one envelope from its bytes without the length prefix.
///
/// # Errors
///
/// Returns an error if the bytes are not an envelope, or if bytes are left over after it.
pub fn decode<F: DeserializeOwned>(bytes: &[u8]) -> Result<Envelope<F>, Error> {
    let decoded = postcard::take_from_bytes(bytes);
    let (envelope, rest) = decoded.map_err(|cause| Error::Malformed { cause })?;
    match rest.len() {
        0 => Ok(envelope),
        size => Err(Error::Trailing { size }),
    }
}
