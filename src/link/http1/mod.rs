//! HTTP/1.1 on std sockets: heads by `httparse`, framing of bodies, exact time-outs.
//!
//! Why the library servers do not serve callers is measured in docs/DESIGN.md, "Callers' side".

pub mod body;
pub mod conn;
pub mod head;

pub use body::{BodyFraming, BodyReader, ChunkWriter};
pub use conn::{Conn, ReadError};
pub use head::{HeadError, RequestHead, ResponseHead};
