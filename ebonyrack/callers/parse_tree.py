"""Traversal of statement parse trees."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from postgast import pg_query_pb2

SKIPPED_NODE_TYPES = frozenset(
    {
        pg_query_pb2.A_Const,
        pg_query_pb2.ColumnRef,
        pg_query_pb2.String,
        pg_query_pb2.TypeName,
    }
)


def iterate_nodes(root: Any) -> Iterator[Any]:
    """Yield the nodes of a parse tree that can affect a statement's kind.

    Constants, column references and type names are skipped, which makes this several
    times faster than the traversal of the library.

    Args:
        root: Root of the tree.

    Yields:
        Unwrapped nodes, in unspecified order.
    """
    stack = [root]
    while stack:
        node = unwrap(stack.pop())
        if type(node) in SKIPPED_NODE_TYPES:
            continue
        yield node
        for field, value in node.ListFields():
            if field.message_type is None:
                continue
            if field.is_repeated:
                stack.extend(value)
            else:
                stack.append(value)


def unwrap(node: Any) -> Any:
    """Return the concrete node inside a generic `Node` wrapper.

    Args:
        node: A node, wrapped or not.
    """
    if type(node) is not pg_query_pb2.Node:
        return node
    name = node.WhichOneof("node")
    return node if name is None else getattr(node, name)
