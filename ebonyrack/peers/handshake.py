"""Mutual authentication of two processes by their shared secret."""

from __future__ import annotations

import hmac
import secrets

from ebonyrack.peers.codec import PROTOCOL_VERSION
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.frames import FrameStream
from ebonyrack.peers.link_messages import Hello
from ebonyrack.peers.link_messages import Proof
from ebonyrack.peers.member import Member
from ebonyrack.peers.message import BadMessageError

NONCE_BYTES = 16


def build_hello(member: Member, role: str) -> Hello:
    """Build the hello message of one link, with a fresh challenge."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return Hello(PROTOCOL_VERSION, role, member, nonce)


async def perform_handshake(
    stream: FrameStream, hello: Hello, is_dialler: bool, secret: str
) -> Hello:
    """Exchange hellos and proofs; accept frames of full size afterwards.

    Args:
        stream: A stream on which nothing was sent yet.
        hello: Hello message of this side.
        is_dialler: Whether this side opened the connection.
        secret: Secret that all processes share.

    Returns:
        Hello message of the other side.

    Raises:
        BadMessageError: If the other side breaks the protocol or its proof is wrong.
        ConnectionError: If the other side closed the stream.
    """
    stream.write_frame(hello)
    remote = await read_hello(stream)
    stream.write_frame(Proof(build_digest(hello, remote, is_dialler, secret)))
    proof, _ = await stream.read_frame()
    expected = build_digest(remote, hello, not is_dialler, secret)
    if not isinstance(proof, Proof) or not hmac.compare_digest(proof.digest, expected):
        raise BadMessageError("the proof of the secret is wrong")
    stream.accept_full_frames()
    return remote


async def read_hello(stream: FrameStream) -> Hello:
    """Read the other side's hello and check its version and challenge."""
    remote, _ = await stream.read_frame()
    if not isinstance(remote, Hello):
        raise BadMessageError("the first message is not a hello")
    if remote.version != PROTOCOL_VERSION:
        raise BadMessageError(f"protocol version {remote.version} is not supported")
    if len(remote.nonce) < NONCE_BYTES:
        raise BadMessageError("the challenge is too short")
    return remote


def build_digest(
    sender: Hello, receiver: Hello, is_dialler: bool, secret: str
) -> bytes:
    """Build the digest that proves that the sender of a hello knows the secret."""
    side = b"dialler" if is_dialler else b"listener"
    content = side + pack_message(sender) + pack_message(receiver)
    return hmac.digest(secret.encode(), content, "sha256")
