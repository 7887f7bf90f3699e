//! Counted parts that messages are made of: texts, bytes, lists, addresses.

use deku::no_std_io::{Read, Seek, Write};
use deku::prelude::*;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};

/// Bytes behind a 32-bit count. Example: `Bytes::from(vec![1, 2])`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub Vec<u8>);

/// Text behind a 32-bit count. Example: `Text::from("proof")`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Text(pub String);

/// A list behind a 32-bit count. Example: `List(vec![Text::from("proof")])`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

/// A socket address as 16 bytes of IPv6 (IPv4 mapped) and a port.
///
/// Example: `Address::from("127.0.0.1:80".parse::<SocketAddr>().unwrap()).socket().port() == 80`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, DekuRead, DekuWrite)]
pub struct Address {
    ip: [u8; 16],
    port: u16,
}

impl Address {
    /// The address for the socket library. Example: `address.socket().is_ipv4()`.
    pub fn socket(&self) -> SocketAddr {
        SocketAddr::new(Ipv6Addr::from(self.ip).to_canonical(), self.port)
    }
}

impl From<SocketAddr> for Address {
    fn from(socketAddress: SocketAddr) -> Address {
        let mappedIp = match socketAddress.ip() {
            IpAddr::V4(shortIp) => shortIp.to_ipv6_mapped(),
            IpAddr::V6(longIp) => longIp,
        };
        Address { ip: mappedIp.octets(), port: socketAddress.port() }
    }
}

impl From<&str> for Text {
    fn from(sourceText: &str) -> Text {
        Text(sourceText.to_owned())
    }
}

impl From<String> for Text {
    fn from(sourceText: String) -> Text {
        Text(sourceText)
    }
}

impl From<Vec<u8>> for Bytes {
    fn from(sourceBytes: Vec<u8>) -> Bytes {
        Bytes(sourceBytes)
    }
}

impl<T> FromIterator<T> for List<T> {
    fn from_iter<I: IntoIterator<Item = T>>(sourceItems: I) -> List<T> {
        List(sourceItems.into_iter().collect())
    }
}

impl<'a> DekuReader<'a, ()> for Bytes {
    fn from_reader_with_ctx<R: Read + Seek>(
        byteReader: &mut Reader<R>,
        _context: (),
    ) -> Result<Bytes, DekuError> {
        let mut remainingCount = u32::from_reader_with_ctx(byteReader, ())? as usize;
        let mut readBytes = Vec::new();
        // Read in steps, so that a lying count never reserves more than the frame really holds.
        while remainingCount > 0 {
            let stepCount = remainingCount.min(65_536);
            let stepStart = readBytes.len();
            readBytes.resize(stepStart + stepCount, 0);
            byteReader.read_bytes(stepCount, &mut readBytes[stepStart..], Default::default())?;
            remainingCount -= stepCount;
        }
        Ok(Bytes(readBytes))
    }
}

impl DekuWriter<()> for Bytes {
    fn to_writer<W: Write + Seek>(&self, byteWriter: &mut Writer<W>, _context: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(byteWriter, ())?;
        byteWriter.write_bytes(&self.0)
    }
}

impl<'a> DekuReader<'a, ()> for Text {
    fn from_reader_with_ctx<R: Read + Seek>(
        byteReader: &mut Reader<R>,
        context: (),
    ) -> Result<Text, DekuError> {
        let readBytes = Bytes::from_reader_with_ctx(byteReader, context)?;
        String::from_utf8(readBytes.0).map(Text).map_err(|_| DekuError::Parse("text is not UTF-8"))
    }
}

impl DekuWriter<()> for Text {
    fn to_writer<W: Write + Seek>(&self, byteWriter: &mut Writer<W>, _context: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(byteWriter, ())?;
        byteWriter.write_bytes(self.0.as_bytes())
    }
}

impl<'a, T: DekuReader<'a, ()>> DekuReader<'a, ()> for List<T> {
    fn from_reader_with_ctx<R: Read + Seek>(
        byteReader: &mut Reader<R>,
        _context: (),
    ) -> Result<List<T>, DekuError> {
        let itemCount = u32::from_reader_with_ctx(byteReader, ())?;
        let mut readItems = Vec::new();
        for _ in 0..itemCount {
            readItems.push(T::from_reader_with_ctx(byteReader, ())?);
        }
        Ok(List(readItems))
    }
}

impl<T: DekuWriter<()>> DekuWriter<()> for List<T> {
    fn to_writer<W: Write + Seek>(&self, byteWriter: &mut Writer<W>, _context: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(byteWriter, ())?;
        self.0.iter().try_for_each(|item| item.to_writer(byteWriter, ()))
    }
}
