//! Frames as bytes: a length in four bytes, the lowest first, then postcard.

use std::net::SocketAddr;

use base::record;
use derive_more::{Display, Error as StdError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest frame in bytes: a configuration of the largest size and what goes around it.
pub const MAX_FRAME_BYTES: usize = 1_048_576 + 1_024;
/// Version of the encoding, which both ends of a connection have to share.
pub const VERSION: u16 = 1;

record! {
    /// What goes over a stream.
    pub enum Envelope<F> {
        /// The first frame of a stream.
        Hello(Hello),
        /// Every other frame.
        Frame(F),
    }

    /// Who sends.
    #[derive(Copy)]
    pub struct Hello {
        /// Version of the encoding.
        pub version: u16,
        /// The sender's identity.
        pub ident: u64,
        /// Where the sender takes connections of peers.
        pub address: SocketAddr,
    }
}

/// Bytes that are not a frame, or a frame that is too large.
#[derive(Clone, Debug, PartialEq, Eq, Display, StdError)]
pub enum Error {
    /// The frame is larger than permitted.
    #[display("a frame of {size} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// The bytes are not a frame.
    #[display("not a frame: {cause}")]
    Malformed {
        /// The library's account.
        #[error(source)]
        cause: postcard::Error,
    },
    /// Bytes follow the frame.
    #[display("{size} bytes follow the frame")]
    Trailing {
        /// Their number.
        size: usize,
    },
}

/// Encodes one envelope with its length before it.
///
/// # Errors
///
/// Returns an error if the frame is too large.
pub fn encode<F: Serialize>(envelope: &Envelope<F>) -> Result<Vec<u8>, Error> {
    let body = postcard::to_stdvec(envelope).map_err(|cause| Error::Malformed { cause })?;
    let size = body.len();
    let length = u32::try_from(size).ok().filter(|_| size <= MAX_FRAME_BYTES);
    let length = length.ok_or(Error::TooLarge { size })?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(body);
    Ok(bytes)
}

/// Decodes one envelope from exactly its bytes, without the length.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one envelope.
pub fn decode<F: DeserializeOwned>(bytes: &[u8]) -> Result<Envelope<F>, Error> {
    let decoded = postcard::take_from_bytes(bytes);
    let (envelope, rest) = decoded.map_err(|cause| Error::Malformed { cause })?;
    match rest.len() {
        0 => Ok(envelope),
        size => Err(Error::Trailing { size }),
    }
}
