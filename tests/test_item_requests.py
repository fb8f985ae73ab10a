"""Tests of the requests that are made from submitted items."""

from __future__ import annotations

from dataclasses import replace

from test_unframed_answers import RunHarness


# Guards against an item whose headers change where its request ends, or whose
# it is.
def test_headers_of_an_item_do_not_replace_those_of_its_run() -> None:
    """Each header that the run sets is sent once, with its value."""
    submitted = (
        ('Attempt-Id', 'r9'),
        ('Host', 'other.example'),
        ('Content-Length', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('Connection', 'x-hop'),
        ('X-Hop', '1'),
        ('Expect-Instance', 'e9'),
        ('Last-Event-Id', '7'),
        ('Model', 'm'),
    )
    run = RunHarness.at(1).run
    run.progress.record = replace(run.progress.record, headers=submitted)
    lines = run.encode(b'{}').partition(b'\r\n\r\n')[0].split(b'\r\n')
    assert sorted(lines[1:]) == [
        b'attempt-id: i1',
        b'content-length: 2',
        b'deadline-ms: 60000',
        b'expect-instance: e1',
        b'host: h.example',
        b'model: m',
    ]
