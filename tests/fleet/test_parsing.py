"""Invalid fleet files must be rejected with all their problems.

Operators make mistakes in keys, types, values and references, several at once,
or apply a file that is too large or exhausts the parser. All problems must be
reported at once, with their keys and without API keys.
"""

from __future__ import annotations

from unittest import TestCase, mock

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.fleet import document
from snipebend.fleet.model import RoutingPolicy
from snipebend.fleet.parsing import MAX_FILE_BYTES, parse_fleet
from tests.fleet.test_rendering import EXAMPLES

VALID = (EXAMPLES / 'chanthavong.toml').read_text()
RANKS = 'ranks = 16\n'
RANKS_LINE = VALID[: VALID.index(RANKS)].count('\n') + 1
TIMEOUTS = 'request_timeout_s = 90.0\nattempt_timeout_s = 45.0\n'
SHORT_TIMEOUT = 'request_timeout_s = 5.0\n'
SERVICE = '[[services]]\n'
OTHER_SERVICE = 'upstream = "booking"\nname = "other"\npath_prefix = '
INSIDE_PREFIX = f'{SERVICE}{OTHER_SERVICE}"/booking/x"\n{SERVICE}'
RESERVED_PREFIX = f'{SERVICE}{OTHER_SERVICE}"/v1/x"\n{SERVICE}'

# Each case: the text to replace, its replacement, the key of the only problem
# and a part of its message.
CASES = (
    ('name', 'colour = 1\nname', 'colour', 'unknown key'),
    (RANKS, 'ranks = 16\nrank = 3\n', 'groups[0].rank', 'unknown key'),
    (RANKS, 'ranks = "2"\n', 'groups[0].ranks', 'valid integer'),
    (RANKS, 'ranks = 2.0\n', 'groups[0].ranks', 'valid integer'),
    (RANKS, 'ranks = true\n', 'groups[0].ranks', 'valid integer'),
    (RANKS, '', 'groups[0].ranks', 'missing'),
    (RANKS, 'ranks = -1\n', 'groups[0].ranks', 'greater than'),
    (RANKS, 'ranks = 12\n', 'groups[0].experts_per_rank', 'fewer than 64'),
    (RANKS, RANKS + RANKS, f'line {RANKS_LINE + 1}', 'overwrite'),
    (RANKS, 'ranks =\n', f'line {RANKS_LINE}', 'Invalid value'),
    ('= 0.3\ncost = 0.7', '= 0\ncost = 0', 'weights', 'not both be 0'),
    ('skew = 0.3', 'skew = inf', 'weights.skew', 'finite'),
    ('skew = 0.3', 'skew = -0.1', 'weights.skew', 'greater than'),
    ('"chanthavong"', '"a b"', 'name', 'characters or form'),
    ('"refuse"', '"go"', 'stale_policy', "'refuse' or 'serve'"),
    ('s = 45.0', 's = 91.0', 'routing.attempt_timeout_s', 'not exceed'),
    (TIMEOUTS, SHORT_TIMEOUT, 'routing.attempt_timeout_s', 'not exceed'),
    ('"ignored"', '"maybe"', 'upstreams[0].fencing', "'checked' or"),
    ('model = "fare-notes"\n', '', 'upstreams[0].model', 'needs a model'),
    ('k"]', 'k", "x"]', 'groups[0].upstreams[1]', "unknown upstream 'x'"),
    ('k"]', 'k", "booking"]', 'groups[0].upstreams[1]', 'not an engine'),
    ('k"]', 'k", "ticket-desk"]', 'groups[0].upstreams[1]', 'in use'),
    ('s"\nups', 'x"\nups', 'groups[0].upstreams[0]', "not 'fare-notex'"),
    ('y = "seat-sale"', 'y = "x"', 'workspaces[0].priority', "priority 'x'"),
    ('["fare-notes"]', '["x"]', 'workspaces[8].models[0]', "model 'x'"),
    ('"phone-line"', '"kiosks-bangkok"', 'workspaces[1].name', 'duplicate'),
    ('y-phone-line', 'y-kiosks-bangkok', 'workspaces[1].api_key', 'duplicate'),
    ('m = "booking"', 'm = "x"', 'services[0].upstream', "upstream 'x'"),
    ('m = "booking"', 'm = "ticket-desk"', 'services[0].upstream', 'service'),
    ('"/booking/holds"', '"/holds"', 'services[0].calls[0].path', 'below'),
    (SERVICE, INSIDE_PREFIX, 'services[1].path_prefix', "with '/booking/x'"),
    (SERVICE, RESERVED_PREFIX, 'services[0].path_prefix', "with '/v1'"),
)


class ParseFleetTest(TestCase):
    """Invalid input is rejected with the keys of its problems."""

    def problems(self, text: str) -> list[tuple[str, str]]:
        """Return the keys and messages of a file that must be rejected."""
        error = parse_fleet(text, 'f.toml').unwrap_err()
        self.assertIsInstance(error, InvalidInputError)
        self.assertNotIn('example-key', str(error))
        for problem in error.problems:
            line = f'f.toml: {problem.key}: {problem.message}'
            self.assertEqual(str(problem), line)
            self.assertIn(line, error.message.splitlines())
        return [(entry.key, entry.message) for entry in error.problems]

    def test_defaults(self) -> None:
        """A name and weights are sufficient; integers are valid as floats."""
        minimal = 'name = "f"\nweights = { skew = 1, cost = 0 }'
        fleet = parse_fleet(minimal, 'f.toml').unwrap()
        self.assertEqual(fleet.routing, RoutingPolicy())
        self.assertEqual(fleet.stale_policy, 'refuse')
        self.assertIsInstance(fleet.weights.skew, float)

    def test_single_faults(self) -> None:
        """One fault gives exactly one problem, with its key."""
        for old, new, key, part in CASES:
            with self.subTest(old=old, new=new):
                self.assertIn(old, VALID)
                (found, message), *others = self.problems(
                    VALID.replace(old, new, 1)
                )
                self.assertEqual((found, others), (key, []))
                self.assertIn(part, message)

    def test_all_problems_at_once(self) -> None:
        """Faults of the schema don't hide those of references."""
        text = VALID.replace(RANKS, 'ranks = "2"\n')
        text = text.replace('y = "enquiry"', 'y = "x"')
        text = text.replace('m = "booking"', 'm = "none"')
        found = [key for key, _ in self.problems(f'colour = 1\n{text}')]
        self.assertEqual(
            found,
            [
                'colour',
                'groups[0].ranks',
                'workspaces[8].priority',
                'services[0].upstream',
            ],
        )

    def test_no_tables(self) -> None:
        """Empty files and sections of another type are reported."""
        for text in ('', '\n# nothing\n'):
            self.assertEqual(
                self.problems(text), [('file', 'the file is empty')]
            )
        head = f'services = 1\n{VALID[: VALID.index(SERVICE)]}'
        self.assertEqual(
            self.problems(head), [('services', 'must be an array of tables')]
        )

    def test_too_large_is_not_parsed(self) -> None:
        """Files of ten megabytes, or one byte too long, aren't parsed."""
        with mock.patch.object(document.tomllib, 'loads') as loads:
            for text in (
                '#' * 10_000_000,
                '#' * (MAX_FILE_BYTES + 1),
                'ü' * (MAX_FILE_BYTES // 2 + 1),
            ):
                (key, message), *others = self.problems(text)
                self.assertEqual((key, others), ('file', []))
                self.assertIn(f'{MAX_FILE_BYTES} bytes', message)
            loads.assert_not_called()
        fits = VALID.ljust(MAX_FILE_BYTES, '#')
        self.assertTrue(parse_fleet(fits, 'f.toml').is_ok())

    def test_text_that_exhausts_the_parser(self) -> None:
        """Text that would exhaust the parser is rejected like other faults."""
        for text in (
            f'a = {"[":[<100000}',
            f'a = {"9":9<5000}',
            'a.' * 400_000,
            '"a" . ' * 100_000,
        ):
            (key, _), *others = self.problems(text)
            self.assertEqual((key, others), ('file', []))
