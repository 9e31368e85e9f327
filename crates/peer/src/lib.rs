//! Encoding and transport between peers, which are entries or nodes: postcard frames over QUIC,
//! with mutual TLS or with encryption alone ([`Keys::anonymous`]).

mod codec;
mod keys;
mod link;
mod links;
pub mod mesh;

pub use codec::{Envelope, Error as CodecError, Hello, MAX_FRAME_BYTES, decode, encode};
pub use keys::{Error as KeyError, Keys, Material, issue};
pub use link::{Error as LinkError, Incoming, Outgoing, endpoint};
pub use links::Links;
