//! Bodies on their way through an entry.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use base::prelude::*;
use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use policy::attempt::Event;
use tokio::time::{Instant, Sleep};

use crate::dispatch::{Handle, Progress};
use crate::pool::Connection;

/// A body that could not be passed on whole.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The sender's side broke or sent less than it said.
    #[display("the body broke: {_0}")]
    Broken(hyper::Error),
    /// The body is longer than permitted.
    #[display("the body is too large")]
    #[from(skip)]
    TooLarge,
    /// The deadline passed.
    #[display("the deadline passed within the body")]
    #[from(skip)]
    DeadlinePassed,
}

/// The body of a request to an upstream.
#[derive(Debug)]
pub enum Outgoing {
    /// Kept whole, so that it can be sent again.
    Buffered(Full<Bytes>),
    /// Passed through.
    Stream(Upload),
}

/// A caller's body, passed through with a bound on its size.
#[derive(Debug)]
pub struct Upload {
    incoming: Incoming,
    remaining: u64,
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// Made by this entry.
    Local(Full<Bytes>),
    /// Passed through from an upstream.
    Relay(Box<Relay>),
}

/// An upstream's body, which reports its end to the decisions.
#[derive(Debug)]
pub struct Relay {
    incoming: Incoming,
    exchange: Exchange,
    deadline: Pin<Box<Sleep>>,
}

/// An exchange in progress, which is reported exactly once when it ends.
#[derive(Debug)]
pub struct Exchange {
    /// The decisions.
    pub dispatcher: Handle,
    /// The mark of the request.
    pub token: u64,
    /// The attempt.
    pub attempt: key::Attempt,
    /// The connection, until the exchange has ended.
    pub connection: Option<Connection>,
    /// Whether the connection may be used again.
    pub reusable: bool,
}

impl Upload {
    /// Makes a body that passes at most `limit` bytes.
    #[must_use]
    pub fn new(incoming: Incoming, limit: u64) -> Self {
        Self { incoming, remaining: limit }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let frame = match ready!(Pin::new(&mut self.incoming).poll_frame(context)) {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
            None => return Poll::Ready(None),
        };
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.remaining.checked_sub(size) {
            Some(remaining) => self.remaining = remaining,
            None => return Poll::Ready(Some(Err(Fault::TooLarge))),
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match self.get_mut() {
            Self::Buffered(body) => poll_full(body, context),
            Self::Stream(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}

impl Relay {
    /// Makes the body of an answer that has to end by `deadline`.
    #[must_use]
    pub fn new(incoming: Incoming, exchange: Exchange, deadline: Instant) -> Self {
        let mut relay =
            Self { incoming, exchange, deadline: Box::pin(tokio::time::sleep_until(deadline)) };
        relay.finish_if_ended();
        relay
    }

    fn finish_if_ended(&mut self) {
        if self.incoming.is_end_stream() {
            self.exchange.finish(Event::End);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.exchange.finish(Event::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.exchange.finish(Event::End);
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(self.deadline.as_mut().poll(context));
                self.exchange.finish(Event::Late);
                Poll::Ready(Some(Err(Fault::DeadlinePassed)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match self.get_mut() {
            Self::Local(body) => poll_full(body, context),
            Self::Relay(body) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Relay(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Relay(body) => body.size_hint(),
        }
    }
}

impl Exchange {
    /// Reports the end of the exchange, unless it was reported before.
    pub fn finish(&mut self, event: Event) {
        let Some(connection) = self.connection.take() else { return };
        // Dropping the way to the connection closes it, which cancels the exchange.
        let reused = Some(connection).filter(|_| event == Event::End && self.reusable);
        let progress = Progress::new(self.token, self.attempt, event);
        self.dispatcher.report(Progress { connection: reused, ..progress });
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.finish(Event::Cancelled);
    }
}

fn poll_full(
    body: &mut Full<Bytes>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
    let frame = ready!(Pin::new(body).poll_frame(context));
    Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
}
