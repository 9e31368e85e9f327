//! Connections between peers, each with one stream from the member that opened it.
//!
//! [`crate::mesh`] opens and accepts them.

use std::net::SocketAddr;

use derive_more::{Display, Error as StdError, From};
use quinn::{Connection, Endpoint, ReadExactError, RecvStream, SendStream};
use serde::de::DeserializeOwned;

use crate::codec::{self, Envelope, Hello, MAX_FRAME_BYTES, VERSION};
use crate::keys::{CERTIFICATE_NAME, Keys};

/// Failure of a connection or of the local endpoint.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The endpoint cannot listen on its address.
    #[display("cannot listen for peers: {_0}")]
    Listen(std::io::Error),
    /// The parameters of a new connection are invalid.
    #[display("{_0}")]
    Connect(quinn::ConnectError),
    /// The connection ended.
    #[display("{_0}")]
    Connection(quinn::ConnectionError),
    /// A frame could not be written.
    #[display("{_0}")]
    Write(quinn::WriteError),
    /// A frame could not be read.
    #[display("{_0}")]
    Read(ReadExactError),
    /// A frame could not be encoded or decoded.
    #[display("{_0}")]
    Codec(codec::Error),
    /// The peer uses another version of the encoding.
    #[display("peer uses version {found} of the encoding instead of {VERSION}")]
    #[from(skip)]
    Version {
        /// Version that the peer uses.
        found: u16,
    },
    /// The first envelope of the peer was not [`Envelope::Hello`].
    #[display("first frame of the peer is not a hello")]
    #[from(skip)]
    MissingHello,
}

/// Binds the endpoint that opens and accepts connections.
///
/// # Errors
///
/// Returns an error if the endpoint cannot listen on the address.
pub fn endpoint(address: SocketAddr, keys: &Keys) -> Result<Endpoint, Error> {
    let mut endpoint = Endpoint::server(keys.server.clone(), address)?;
    endpoint.set_default_client_config(keys.client.clone());
    Ok(endpoint)
}

/// Connection that this member opened, used for sending only.
#[derive(Debug)]
pub struct Outgoing {
    connection: Connection,
    stream: SendStream,
}

impl Outgoing {
    /// Opens a connection and sends the hello.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached or does not authenticate as a member.
    pub async fn open(
        endpoint: &Endpoint,
        address: SocketAddr,
        ident: u64,
        own_address: SocketAddr,
    ) -> Result<Self, Error> {
        let connection = endpoint.connect(address, CERTIFICATE_NAME)?.await?;
        let stream = connection.open_uni().await?;
        let mut outgoing = Self { connection, stream };
        let hello: Envelope<()> =
            Envelope::Hello(Hello { version: VERSION, ident, address: own_address });
        outgoing.send(&codec::encode(&hello)?).await?;
        Ok(outgoing)
    }

    /// Sends an encoded frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }

    /// Waits until the connection ends.
    pub async fn closed(&self) -> Error {
        self.connection.closed().await.into()
    }
}

/// Connection that a peer opened, used for receiving only.
#[derive(Debug)]
pub struct Incoming {
    /// Introduction of the sending peer.
    pub hello: Hello,
    stream: RecvStream,
    /// Dropping the last handle would close the connection.
    _connection: Connection,
}

impl Incoming {
    /// Accepts a connection and receives the hello of the peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not authenticate as a member, sends no hello first, or
    /// uses another version of the encoding.
    pub async fn accept(incoming: quinn::Incoming) -> Result<Self, Error> {
        let connection = incoming.await?;
        let mut stream = connection.accept_uni().await?;
        let (envelope, _) = receive::<()>(&mut stream).await?;
        let Envelope::Hello(hello) = envelope else { return Err(Error::MissingHello) };
        if hello.version != VERSION {
            return Err(Error::Version { found: hello.version });
        }
        Ok(Self { hello, stream, _connection: connection })
    }

    /// Receives the next envelope and its size in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or the bytes are not a valid envelope.
    pub async fn receive<F: DeserializeOwned>(&mut self) -> Result<(Envelope<F>, usize), Error> {
        receive(&mut self.stream).await
    }
}

async fn receive<F: DeserializeOwned>(
    stream: &mut RecvStream,
) -> Result<(Envelope<F>, usize), Error> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let size = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
    if size > MAX_FRAME_BYTES {
        return Err(codec::Error::TooLarge { size }.into());
    }
    let mut body = vec![0; size];
    stream.read_exact(&mut body).await?;
    Ok((codec::decode(&body)?, size + length.len()))
}
