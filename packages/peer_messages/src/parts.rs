//! The basic types of messages: length-prefixed bytes, texts and lists, and addresses.

use deku::no_std_io::{Read, Seek, Write};
use deku::prelude::*;
use std::net::{IpAddr, SocketAddr};

/// Bytes, encoded with a 32-bit length prefix. Example: `Bytes::from(vec![1, 2])`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub Vec<u8>);

/// UTF-8 text, encoded with a 32-bit length prefix. Example: `Text::from("proof")`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Text(pub String);

/// A list, encoded with a 32-bit item count. Example: `List(vec![Text::from("proof")])`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct List<T>(pub Vec<T>);

/// An IP address by its family. Every message carries addresses, so an IPv4 address is encoded in four bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
enum Host {
    #[deku(id = "4")]
    V4([u8; 4]),
    #[deku(id = "6")]
    V6([u8; 16]),
}

/// A socket address: an IP address and a port. An IPv4-mapped IPv6 address is converted to IPv4.
///
/// Example: `Address::from("127.0.0.1:80".parse::<SocketAddr>().unwrap()).socket().port() == 80`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, DekuRead, DekuWrite)]
pub struct Address {
    host: Host,
    port: u16,
}

impl Address {
    /// The address as the standard library's type. Example: `address.socket().is_ipv4()`.
    pub fn socket(&self) -> SocketAddr {
        let ip = match self.host {
            Host::V4(octets) => IpAddr::V4(octets.into()),
            Host::V6(octets) => IpAddr::V6(octets.into()),
        };
        SocketAddr::new(ip, self.port)
    }
}

impl From<SocketAddr> for Address {
    fn from(socket_address: SocketAddr) -> Address {
        let host = match socket_address.ip().to_canonical() {
            IpAddr::V4(ipv4) => Host::V4(ipv4.octets()),
            IpAddr::V6(ipv6) => Host::V6(ipv6.octets()),
        };
        Address { host, port: socket_address.port() }
    }
}

impl From<&str> for Text {
    fn from(source_text: &str) -> Text {
        Text(source_text.to_owned())
    }
}

impl From<String> for Text {
    fn from(source_text: String) -> Text {
        Text(source_text)
    }
}

impl From<Vec<u8>> for Bytes {
    fn from(source_bytes: Vec<u8>) -> Bytes {
        Bytes(source_bytes)
    }
}

impl<T> FromIterator<T> for List<T> {
    fn from_iter<I: IntoIterator<Item = T>>(source_items: I) -> List<T> {
        List(source_items.into_iter().collect())
    }
}

impl<'a> DekuReader<'a, ()> for Bytes {
    fn from_reader_with_ctx<R: Read + Seek>(
        byte_reader: &mut Reader<R>,
        _context: (),
    ) -> Result<Bytes, DekuError> {
        let mut remaining_count = u32::from_reader_with_ctx(byte_reader, ())? as usize;
        let mut read_bytes = Vec::new();
        // Read in steps, so that a false length never allocates much more than the frame contains.
        while remaining_count > 0 {
            let step_count = remaining_count.min(65_536);
            let step_start = read_bytes.len();
            read_bytes.resize(step_start + step_count, 0);
            byte_reader.read_bytes(step_count, &mut read_bytes[step_start..], Default::default())?;
            remaining_count -= step_count;
        }
        Ok(Bytes(read_bytes))
    }
}

impl DekuWriter<()> for Bytes {
    fn to_writer<W: Write + Seek>(&self, byte_writer: &mut Writer<W>, _context: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(byte_writer, ())?;
        byte_writer.write_bytes(&self.0)
    }
}

impl<'a> DekuReader<'a, ()> for Text {
    fn from_reader_with_ctx<R: Read + Seek>(
        byte_reader: &mut Reader<R>,
        context: (),
    ) -> Result<Text, DekuError> {
        let read_bytes = Bytes::from_reader_with_ctx(byte_reader, context)?;
        String::from_utf8(read_bytes.0).map(Text).map_err(|_| DekuError::Parse("text is not UTF-8"))
    }
}

impl DekuWriter<()> for Text {
    fn to_writer<W: Write + Seek>(&self, byte_writer: &mut Writer<W>, _context: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(byte_writer, ())?;
        byte_writer.write_bytes(self.0.as_bytes())
    }
}

impl<'a, T: DekuReader<'a, ()>> DekuReader<'a, ()> for List<T> {
    fn from_reader_with_ctx<R: Read + Seek>(
        byte_reader: &mut Reader<R>,
        _context: (),
    ) -> Result<List<T>, DekuError> {
        let item_count = u32::from_reader_with_ctx(byte_reader, ())?;
        let mut read_items = Vec::new();
        for _ in 0..item_count {
            read_items.push(T::from_reader_with_ctx(byte_reader, ())?);
        }
        Ok(List(read_items))
    }
}

impl<T: DekuWriter<()>> DekuWriter<()> for List<T> {
    fn to_writer<W: Write + Seek>(&self, byte_writer: &mut Writer<W>, _context: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(byte_writer, ())?;
        self.0.iter().try_for_each(|item| item.to_writer(byte_writer, ()))
    }
}
