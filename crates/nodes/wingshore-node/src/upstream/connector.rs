//! Marks errors of connecting, so that they are never taken for errors after bytes have left.

use snafu::Snafu;
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector, Transport};

/// No connection was made: no byte of the request left.
#[derive(Debug, Snafu)]
#[snafu(display("cannot connect: {source}"))]
pub struct ConnectError {
    source: ureq::Error,
}

/// Connects over TCP; its errors are [`ConnectError`]s.
#[derive(Debug, Default)]
pub struct MarkingConnector {
    inner: TcpConnector,
}

impl<In: Transport> Connector<In> for MarkingConnector {
    type Out = <TcpConnector as Connector<In>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        self.inner
            .connect(details, chained)
            .map_err(|source| ureq::Error::Other(Box::new(ConnectError { source })))
    }
}
