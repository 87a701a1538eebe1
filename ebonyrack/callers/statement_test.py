import pytest

from ebonyrack.callers import statement
from ebonyrack.callers.statement import Statement
from ebonyrack.callers.statement import StatementCache
from ebonyrack.callers.statement import StatementKind
from ebonyrack.callers.statement import classify_statement

READS = """
SELECT 1
SELECT * FROM slots WHERE id = $1
VALUES (1), (2)
TABLE slots
SHOW server_version
EXPLAIN SELECT * FROM slots
EXPLAIN (ANALYZE, BUFFERS) SELECT count(*) FROM slots
WITH free AS (SELECT * FROM slots) SELECT * FROM free UNION SELECT * FROM slots
SELECT lower(name), now(), extract(day FROM day) FROM slots ORDER BY rank() OVER ()
SELECT pg_catalog.count(*) FROM slots WHERE day BETWEEN 1 AND 2 AND name LIKE 'a%'
SELECT 1; SELECT 2
SELECT * FROM slots -- FOR UPDATE
""".strip().splitlines()

WRITES = """
INSERT INTO slots VALUES (1)
UPDATE slots SET taken = true WHERE id = $1
DELETE FROM slots
MERGE INTO slots USING other ON true WHEN MATCHED THEN DELETE
CREATE TABLE slots (id int)
SELECT * FROM slots FOR UPDATE
SELECT * FROM (SELECT * FROM slots FOR SHARE) AS inner_slots
SELECT * INTO copied FROM slots
WITH gone AS (DELETE FROM slots RETURNING *) SELECT * FROM gone
SELECT nextval('s')
SELECT setval('s', 3)
SELECT 1 WHERE 2 IN (1, nextval('s'))
VALUES (1), (nextval('s'))
SELECT booking.lower(name) FROM slots
SELECT reserve_slot(3)
SELECT * FROM reserve_slot(3)
SELECT a OPERATOR(booking.+) b FROM slots
SELECT a <<<>>> b FROM slots
SELECT pg_advisory_xact_lock(1)
SELECT txid_current()
SELECT pg_is_in_recovery()
SHOW transaction_read_only
EXPLAIN ANALYZE DELETE FROM slots
EXPLAIN ANALYZE SELECT nextval('s')
LOCK TABLE slots
DO 'BEGIN END'
CALL confirm()
SAVEPOINT a
SET LOCAL statement_timeout = 5
SET TRANSACTION READ ONLY
SELECT set_config('statement_timeout', '5', true)
DECLARE c CURSOR FOR SELECT 1
SELECT 1; DELETE FROM slots
SELEC 1
SELECT 1; SELEC 2
""".strip().splitlines()

UNSUPPORTED = """
LISTEN news
UNLISTEN *
NOTIFY news
SELECT pg_notify('news', '')
CREATE TEMP TABLE t (id int)
CREATE TEMPORARY VIEW t AS SELECT 1
CREATE TEMP TABLE t AS SELECT 1
SELECT * INTO TEMP t FROM slots
CREATE TABLE pg_temp.t (id int)
SELECT * FROM pg_temp_3.t
DECLARE c CURSOR WITH HOLD FOR SELECT 1
PREPARE p AS SELECT 1
EXECUTE p
EXPLAIN EXECUTE p
CREATE TABLE t AS EXECUTE p
SELECT pg_advisory_lock(1)
SELECT 1 WHERE pg_try_advisory_lock(1)
SELECT lastval()
SET statement_timeout = 5
RESET work_mem
SET ROLE admin
SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY
SELECT set_config('statement_timeout', '5', false)
SELECT set_config('statement_timeout', '5', $1)
SET LOCAL ebonyrack.token = 'a'
COPY slots TO STDOUT
COPY slots FROM STDIN
COMMIT AND CHAIN
ROLLBACK AND CHAIN
PREPARE TRANSACTION 'a'
COMMIT PREPARED 'a'
SELECT ebonyrack_fence(9)
SELECT * FROM public.ebonyrack_promote(9)
BEGIN; DELETE FROM slots; COMMIT
DELETE FROM slots; COMMIT
SELECT 1; SET ebonyrack.token = 'a'
SELECT 1; LISTEN news
LOAD 'library'
""".strip().splitlines()


@pytest.mark.parametrize(
    "sql, kind",
    [(sql, StatementKind.READ) for sql in READS]
    + [(sql, StatementKind.WRITE) for sql in WRITES]
    + [(sql, StatementKind.UNSUPPORTED) for sql in UNSUPPORTED],
)
def test_statement_kind(sql, kind):
    found = StatementCache().classify(sql)
    assert found.kind is kind
    assert bool(found.reason) == (kind is StatementKind.UNSUPPORTED)


def test_kinds_do_not_depend_on_cache():
    cache = StatementCache()
    for sqls, kind in (
        (READS, StatementKind.READ),
        (WRITES, StatementKind.WRITE),
        (UNSUPPORTED, StatementKind.UNSUPPORTED),
    ):
        for sql in sqls + sqls:
            assert cache.classify(sql).kind is kind, sql


@pytest.mark.parametrize(
    "sql, kind, variable, value",
    [
        ("SET ebonyrack.max_age = '5s'", "set_variable", "ebonyrack.max_age", "5s"),
        ("SET Ebonyrack.Max_Age TO 5", "set_variable", "ebonyrack.max_age", "5"),
        ("SET ebonyrack.max_age = 1.5", "set_variable", "ebonyrack.max_age", "1.5"),
        ("RESET ebonyrack.token", "set_variable", "ebonyrack.token", ""),
        ("SET ebonyrack.token TO DEFAULT", "set_variable", "ebonyrack.token", ""),
        ("SHOW ebonyrack.token", "show_variable", "ebonyrack.token", ""),
        ("SET NAMES 'utf8'", "set_variable", "client_encoding", "utf8"),
        ("SET DateStyle = ISO, MDY", "set_variable", "datestyle", "iso, mdy"),
        ("SET TIME ZONE 'UTC'", "set_variable", "timezone", "UTC"),
        ("DISCARD ALL", "discard", "all", ""),
        (
            "SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL;",
            "discard",
            "session",
            "",
        ),
        ("RESET ALL", "discard", "variables", ""),
        ("DEALLOCATE ALL", "discard", "statements", ""),
        ("DEALLOCATE p", "discard", "statement", "p"),
        ("COMMIT", "commit", "", ""),
        ("END", "commit", "", ""),
        ("ABORT", "rollback", "", ""),
        ("", "empty", "", ""),
        (" ; -- nothing", "empty", "", ""),
    ],
)
def test_session_statements(sql, kind, variable, value):
    assert classify_statement(sql) == Statement(StatementKind(kind), variable, value)


def test_session_statements_are_not_shared_across_literals():
    for value in ("a", "b", "a"):
        assert classify_statement(f"SET ebonyrack.token = '{value}'").value == value


@pytest.mark.parametrize(
    "options, read_only",
    [
        ("", False),
        ("READ ONLY", True),
        ("READ WRITE", False),
        ("ISOLATION LEVEL SERIALIZABLE, READ ONLY", True),
    ],
)
def test_begin_read_only_is_detected(options, read_only):
    for verb in ("BEGIN", "START TRANSACTION"):
        found = classify_statement(f"{verb} {options}")
        assert (found.kind, found.read_only) == (StatementKind.BEGIN, read_only)


def test_long_text_is_rejected_without_parsing(monkeypatch):
    monkeypatch.setattr(statement, "MAXIMUM_TEXT_BYTES", 20)
    assert StatementCache().classify("SELECT 1").kind is StatementKind.READ
    found = StatementCache().classify("SELECT 1 -- " + "x" * 20)
    assert found.kind is StatementKind.UNSUPPORTED


def test_caches_are_bounded(monkeypatch):
    monkeypatch.setattr(statement, "MAXIMUM_CACHED_TEXTS", 3)
    monkeypatch.setattr(statement, "MAXIMUM_CACHED_FINGERPRINTS", 2)
    cache = StatementCache()
    for number in range(10):
        assert cache.classify(f"SELECT c{number}").kind is StatementKind.READ
        assert cache.classify(f"SELECT {number}").kind is StatementKind.READ
    assert (len(cache.texts), len(cache.fingerprints)) == (3, 2)


def test_texts_that_differ_in_literals_share_one_fingerprint_entry():
    cache = StatementCache()
    for number in range(10):
        cache.classify(f"SELECT * FROM slots WHERE id = {number}")
    assert (len(cache.texts), len(cache.fingerprints)) == (10, 1)


def test_session_reset_with_other_statements_is_rejected():
    for sql in (
        "SELECT pg_advisory_unlock_all() WHERE f(1); RESET ALL",
        "SELECT pg_advisory_unlock_all(), f(1); RESET ALL",
        "UNLISTEN news; RESET ALL",
        "INSERT INTO t VALUES (1); RESET ALL",
    ):
        assert classify_statement(sql).kind is StatementKind.UNSUPPORTED
