"""Inspects parse trees for writes and for features that need a session."""

from __future__ import annotations

from typing import Any

from ebonyrack.callers.parse_tree import iterate_nodes
from ebonyrack.callers.read_functions import READ_FUNCTIONS
from ebonyrack.callers.read_functions import READ_OPERATORS
from ebonyrack.callers.read_functions import RESERVED_FUNCTION_PREFIX
from ebonyrack.callers.read_functions import SESSION_FUNCTIONS
from ebonyrack.callers.statement_kinds import READ
from ebonyrack.callers.statement_kinds import UNSHARED_WRITE
from ebonyrack.callers.statement_kinds import WRITE
from ebonyrack.callers.statement_kinds import Statement
from ebonyrack.callers.statement_kinds import build_unsupported

WRITING_NODES = frozenset(
    {
        "InsertStmt",
        "UpdateStmt",
        "DeleteStmt",
        "MergeStmt",
        "LockingClause",
        "IntoClause",
    }
)
UNSUPPORTED_NODES = {
    "ExecuteStmt": "SQL-level prepared statements are bound to a server session",
    "PrepareStmt": "SQL-level prepared statements are bound to a server session",
    "CopyStmt": "COPY is not supported",
    "ListenStmt": "notifications are bound to a server session",
    "UnlistenStmt": "notifications are bound to a server session",
    "NotifyStmt": "notifications are bound to a server session",
    "LoadStmt": "LOAD changes the session",
}


def inspect_tree(node: Any, is_read: bool) -> Statement:
    """Classify a statement by its nodes as a read, a write or unsupported.

    Args:
        node: Statement node.
        is_read: Whether it is a read if no node makes it a write.

    Returns:
        The statement.
    """
    is_shared = True
    for child in iterate_nodes(node):
        kind = type(child).__name__
        if kind in WRITING_NODES:
            is_read = False
        elif kind == "RangeVar" and is_temporary(child):
            return build_unsupported("temporary tables are bound to a server session")
        elif kind in UNSUPPORTED_NODES:
            return build_unsupported(UNSUPPORTED_NODES[kind])
        elif kind == "A_Expr":
            is_read = is_read and is_read_operator(child)
        elif kind == "FuncCall":
            name, is_standard = get_function_name(child)
            reason = find_function_restriction(name, child)
            if reason:
                return build_unsupported(reason)
            is_shared = is_shared and name != "set_config"
            is_read = is_read and is_standard and name in READ_FUNCTIONS
    if is_read:
        return READ
    return WRITE if is_shared else UNSHARED_WRITE


def is_temporary(table: Any) -> bool:
    """Return whether a table reference names a temporary table.

    Args:
        table: RangeVar node.
    """
    return table.relpersistence == "t" or table.schemaname.startswith("pg_temp")


def is_read_operator(expression: Any) -> bool:
    """Return whether an operator is known not to write.

    Args:
        expression: A_Expr node.
    """
    names = [part.string.sval for part in expression.name]
    if len(names) > 1 and names[0] != "pg_catalog":
        return False
    return names[-1] in READ_OPERATORS


def get_function_name(call: Any) -> tuple[str, bool]:
    """Return a function's name and whether it may be a built-in function.

    Args:
        call: FuncCall node.
    """
    names = [part.string.sval for part in call.funcname]
    return names[-1], len(names) == 1 or names[0] == "pg_catalog"


def find_function_restriction(name: str, call: Any) -> str:
    """Return why a function can't be called over a pooled connection.

    Args:
        name: Name of the function.
        call: FuncCall node.

    Returns:
        The reason, or an empty string.
    """
    if name.startswith(RESERVED_FUNCTION_PREFIX):
        return f"function {name} is reserved for the proxy"
    if name in SESSION_FUNCTIONS:
        return f"function {name} is bound to a server session"
    if name == "set_config" and not is_local_setting(call):
        return "set_config changes the session unless its third argument is true"
    return ""


def is_local_setting(call: Any) -> bool:
    """Return whether a call of set_config is certainly limited to the transaction.

    Args:
        call: FuncCall node of set_config.
    """
    if len(call.args) != 3:
        return False
    return bool(call.args[2].a_const.boolval.boolval)
