"""Imports every module of messages, so that each type registers its code."""

from ebonyrack.peers import document_messages
from ebonyrack.peers import edit_messages
from ebonyrack.peers import link_messages
from ebonyrack.peers import member_messages
from ebonyrack.peers import operator_messages
from ebonyrack.peers import primary_messages
from ebonyrack.peers import proxy_link_messages
from ebonyrack.peers import reply_messages
from ebonyrack.peers import session_messages

__all__ = [
    "document_messages",
    "edit_messages",
    "link_messages",
    "member_messages",
    "operator_messages",
    "primary_messages",
    "proxy_link_messages",
    "reply_messages",
    "session_messages",
]
