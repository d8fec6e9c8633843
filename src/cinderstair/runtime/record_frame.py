"""The frames that carry messages over TCP: a header of fixed size, then the message."""

import asyncio
import struct
from typing import NamedTuple

FRAME_MAGIC = 0xC15D
FRAME_VERSION = 1
MAX_BODY_BYTES = 8 * 1024 * 1024

FRAME_HEADER = struct.Struct("!HBBIQ")
"""Magic, frame version, flags (always 0), size of the body in bytes, request number."""


class Frame(NamedTuple):
    """One message, and the number by which a response is matched with its request."""

    number: int
    body: bytes


def encode_frame(*, number: int, body: bytes) -> bytes:
    """Return a message with its frame header in front."""
    return FRAME_HEADER.pack(FRAME_MAGIC, FRAME_VERSION, 0, len(body), number) + body


async def read_frame(*, reader: asyncio.StreamReader) -> Frame:
    """Read the next frame.

    :raises ValueError: if the header is not valid. The stream's frame boundaries are then lost, so the connection
        has to be closed.
    :raises asyncio.IncompleteReadError: if the stream ends.
    """
    header = await reader.readexactly(FRAME_HEADER.size)
    magic, version, _flags, size, number = FRAME_HEADER.unpack(header)
    if magic != FRAME_MAGIC or version != FRAME_VERSION or size > MAX_BODY_BYTES:
        raise ValueError(f"invalid frame header: magic {magic:#06x}, version {version}, body of {size} bytes")
    return Frame(number, await reader.readexactly(size))
