//! Encoding and transport between entries: postcard frames over QUIC with mutual TLS.

mod codec;
mod keys;
mod link;
mod links;
pub mod mesh;

pub use codec::{Envelope, Error as CodecError, Hello, MAX_FRAME_BYTES, decode, encode};
pub use keys::{Error as KeyError, Keys, Material, issue};
pub use link::{Error as LinkError, Incoming, Outgoing, endpoint};
pub use links::Links;
