from ebonyrack.config.document import parse_document

GOOD = """
[group scheduling-a]
owner = databases
upstreams = up-1=127.0.2.1:5432@bangkok-1, up-2=127.0.2.2:5432@bangkok-2
    up-3=127.0.2.3:5432@nonthaburi
[application booking]
owner = booking
user = booking
verifier = SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy
groups = scheduling-a
"""


def test_good_document_is_read():
    document, faults = parse_document(GOOD, 7)
    assert faults == ()
    assert document.revision == 7
    group = document.groups["scheduling-a"]
    assert [upstream.name for upstream in group.upstreams] == ["up-1", "up-2", "up-3"]


def test_all_faults_are_listed():
    text = GOOD.replace("@nonthaburi", "") + "[colour red]\nx = 1\n"
    document, faults = parse_document(text, 7)
    assert document is None
    assert {fault.section for fault in faults} == {"group scheduling-a", "colour red"}
