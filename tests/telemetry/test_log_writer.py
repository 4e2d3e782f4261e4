"""Logging must neither block a process nor lose lines silently.

The reader of standard output stops reading, or one event floods the log. Lines
are then dropped and counted. The lines that are written must be parsed to the
same pairs in both formats, so that a request's history is complete.
"""

from __future__ import annotations

import json
import os
import threading
import unittest

from snipebend.telemetry.log_lines import explain, read_line, render_json
from snipebend.telemetry.log_limits import LogLimits
from snipebend.telemetry.log_writer import MAX_BUFFERED_BYTES, LogWriter

LINE = 'time=1 level=INFO event=tick {0}\n'.format('x' * 200)


class TestLimits(unittest.TestCase):
    """Lines of one event are limited per second."""

    def test_excess_lines_are_suppressed_and_counted(self):
        limits = LogLimits(per_s=3)
        limits.start_second(10)
        allowed = [limits.allow('storm') for _ in range(8)]
        self.assertEqual(sum(allowed), 3)
        self.assertTrue(all(allowed[:3]))
        self.assertTrue(limits.allow('other'))
        self.assertEqual(limits.start_second(10.9), [])
        self.assertEqual(limits.start_second(11), [('storm', 5)])
        self.assertTrue(limits.allow('storm'))
        self.assertEqual(limits.start_second(12), [])


class TestLogWriter(unittest.TestCase):
    """Writing to a pipe that is read, and to one that isn't."""

    def setUp(self):
        ends = os.pipe()
        self.reader = ends[0]
        self.descriptor = ends[1]

    def test_lines_keep_their_order(self):
        writer = LogWriter(self.descriptor)
        for number in range(50):
            writer(f'event=e number={number}\n')
        writer.close()
        os.close(self.descriptor)
        with os.fdopen(self.reader) as stream:
            numbers = [line.split('=')[-1] for line in stream]
        self.assertEqual([int(text) for text in numbers], list(range(50)))

    def test_json_lines_have_the_same_pairs(self):
        writer = LogWriter(self.descriptor, render=render_json)
        line = 'time=1 level=INFO event=e reason="it is over" n=3\n'
        writer(line)
        writer('Traceback of nothing\n')
        writer.close()
        os.close(self.descriptor)
        with os.fdopen(self.reader) as stream:
            event, other = stream.readlines()
        self.assertEqual(read_line(event).pairs, read_line(line).pairs)
        self.assertEqual(json.loads(other), {'text': 'Traceback of nothing'})
        self.assertIsNone(read_line(event[:9]))

    def test_unread_pipe_does_not_block(self):
        writer = LogWriter(self.descriptor, LogLimits(per_s=10**9))
        lines = 3 * MAX_BUFFERED_BYTES // len(LINE)

        def log_all():
            for _ in range(lines):
                writer(LINE)

        logging = threading.Thread(target=log_all, daemon=True)
        logging.start()
        logging.join(20)
        self.assertFalse(logging.is_alive())
        self.assertGreater(writer.dropped_total, lines // 3)
        drain = threading.Thread(target=self._drain, daemon=True)
        drain.start()
        writer.close()
        os.close(self.descriptor)
        drain.join(20)
        self.assertGreater(self.read, MAX_BUFFERED_BYTES // 2)

    def test_dropped_lines_are_reported(self):
        writer = LogWriter(self.descriptor)
        writer.dropped = 7
        writer('event=e\n')
        writer.close()
        os.close(self.descriptor)
        with os.fdopen(self.reader) as stream:
            self.assertIn('event=log_lines_dropped number=7', stream.read())

    def _drain(self):
        self.read = 0
        data = os.read(self.reader, 65536)
        while data:
            self.read += len(data)
            data = os.read(self.reader, 65536)


LOG = """\
time=01 level=INFO process=e1 event=document_in_force number=3 peer=a
time=02 level=INFO process=e1 event=document_in_force number=4 peer=b
time=02 level=INFO process=e2 event=document_in_force number=4 peer=b
time=03 level=INFO process=e1 event=upstream_seen upstream=i-1 phase=READY
time=03 level=INFO process=e1 event=upstream_seen upstream=i-2 phase=READY
time=05 level=INFO process=e1 event=call_begun request=r1 upstream=i-1
time=06 level=INFO process=e1 event=upstream_seen upstream=i-1 phase=LEAVING
time=07 level=INFO process=e1 event=call_ended request=r1 reason='a b'
time=08 level=INFO process=e1 event=refused request=r1 status=502
time=09 level=INFO process=e1 event=refused request=r2 status=503
no event at all
"""


class TestExplain(unittest.TestCase):
    """A request's lines, with the state that its decisions depend on."""

    def setUp(self):
        read = (read_line(text) for text in LOG.splitlines())
        self.lines = [line for line in read if line]

    def test_history_of_a_request(self):
        found = explain('r1', self.lines)
        events = [(line.time, line.pairs['event']) for line in found]
        self.assertEqual(
            events,
            [
                ('02', 'document_in_force'),
                ('03', 'upstream_seen'),
                ('05', 'call_begun'),
                ('06', 'upstream_seen'),
                ('07', 'call_ended'),
                ('08', 'refused'),
            ],
        )
        self.assertEqual(found[4].pairs['reason'], 'a b')

    def test_unknown_request(self):
        self.assertEqual(explain('r3', self.lines), [])
