//! Connections between entries, one stream for each direction.

use std::net::SocketAddr;

use derive_more::{Display, Error as StdError, From};
use quinn::{Connection, Endpoint, ReadExactError, RecvStream, SendStream};
use serde::de::DeserializeOwned;

use crate::codec::{self, Envelope, Hello, MAX_FRAME_BYTES, VERSION};
use crate::keys::{CERTIFICATE_NAME, Keys};

/// A connection that cannot be used any more.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The address cannot be listened on.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
    /// The connection cannot be started.
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
    /// The peer speaks another version of the encoding.
    #[display("the peer speaks version {found}")]
    #[from(skip)]
    Version {
        /// The peer's version.
        found: u16,
    },
    /// The first frame was not a greeting.
    #[display("the peer sent no greeting")]
    #[from(skip)]
    MissingHello,
}

/// Opens the endpoint for both directions.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
pub fn endpoint(address: SocketAddr, keys: &Keys) -> Result<Endpoint, Error> {
    let mut endpoint = Endpoint::server(keys.server.clone(), address)?;
    endpoint.set_default_client_config(keys.client.clone());
    Ok(endpoint)
}

/// A connection that this member opened, for sending.
#[derive(Debug)]
pub struct Outgoing {
    connection: Connection,
    stream: SendStream,
}

impl Outgoing {
    /// Opens a connection and greets the peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached or is not a member.
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

/// A connection that a peer opened, for receiving.
#[derive(Debug)]
pub struct Incoming {
    /// Who sends.
    pub hello: Hello,
    stream: RecvStream,
    /// Keeps the connection open.
    _connection: Connection,
}

impl Incoming {
    /// Accepts a connection and waits for the peer's greeting.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is not a member or does not greet.
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
    /// Returns an error if the connection ends or carries something else.
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
