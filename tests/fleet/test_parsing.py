"""Bad fleet files: each problem is named by its key, and all at once."""

from __future__ import annotations

from unittest import TestCase, mock

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.fleet import document
from snipebend.fleet.model import RoutingPolicy
from snipebend.fleet.parsing import MAX_FILE_BYTES, parse_fleet
from tests.fleet.test_rendering import EXAMPLES

GOOD = (EXAMPLES / 'chanthavong.toml').read_text()
RANKS = 'ranks = 16\n'
RANKS_LINE = GOOD[: GOOD.index(RANKS)].count('\n') + 1
LIMITS = 'request_timeout_s = 90.0\nattempt_timeout_s = 45.0\n'
SHORT_LIMIT = 'request_timeout_s = 5.0\n'
SERVICE = '[[services]]\n'
OTHER = 'upstream = "booking"\nname = "other"\npath_prefix = '
INSIDE = f'{SERVICE}{OTHER}"/booking/x"\n{SERVICE}'
RESERVED = f'{SERVICE}{OTHER}"/v1/x"\n{SERVICE}'

# Each case: the text to replace, its replacement, the key of the one problem
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
    (LIMITS, SHORT_LIMIT, 'routing.attempt_timeout_s', 'not exceed'),
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
    (SERVICE, INSIDE, 'services[1].path_prefix', "with '/booking/x'"),
    (SERVICE, RESERVED, 'services[0].path_prefix', "with '/v1'"),
)


class ParseFleetTest(TestCase):
    """Every bad input is refused with its keys."""

    def problems(self, text: str) -> list[tuple[str, str]]:
        """Return the keys and messages of a file that must be refused."""
        error = parse_fleet(text, 'f.toml').unwrap_err()
        self.assertIsInstance(error, InvalidInputError)
        self.assertNotIn('example-key', str(error))
        for problem in error.problems:
            line = f'f.toml: {problem.key}: {problem.message}'
            self.assertEqual(str(problem), line)
            self.assertIn(line, error.message.splitlines())
        return [(entry.key, entry.message) for entry in error.problems]

    def test_defaults(self) -> None:
        """A name and weights are enough; integers serve as floats."""
        least = 'name = "f"\nweights = { skew = 1, cost = 0 }'
        fleet = parse_fleet(least, 'f.toml').unwrap()
        self.assertEqual(fleet.routing, RoutingPolicy())
        self.assertEqual(fleet.stale_policy, 'refuse')
        self.assertIsInstance(fleet.weights.skew, float)

    def test_one_fault_each(self) -> None:
        """One fault gives exactly one problem, under its key."""
        for old, new, key, part in CASES:
            with self.subTest(old=old, new=new):
                self.assertIn(old, GOOD)
                (found, message), *others = self.problems(
                    GOOD.replace(old, new, 1)
                )
                self.assertEqual((found, others), (key, []))
                self.assertIn(part, message)

    def test_all_at_once(self) -> None:
        """Faults of shape don't hide those of references."""
        text = GOOD.replace(RANKS, 'ranks = "2"\n')
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
        """Empty files and sections of another type are named as such."""
        for text in ('', '\n# nothing\n'):
            self.assertEqual(
                self.problems(text), [('file', 'the file is empty')]
            )
        head = f'services = 1\n{GOOD[: GOOD.index(SERVICE)]}'
        self.assertEqual(
            self.problems(head), [('services', 'must be an array of tables')]
        )

    def test_too_large_is_not_parsed(self) -> None:
        """Ten megabytes never reach the TOML parser, nor a byte too many."""
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
        fits = GOOD.ljust(MAX_FILE_BYTES, '#')
        self.assertTrue(parse_fleet(fits, 'f.toml').is_ok())

    def test_hostile_text(self) -> None:
        """What would exhaust the parser is refused like any other fault."""
        for text in (
            f'a = {"[":[<100000}',
            f'a = {"9":9<5000}',
            'a.' * 400_000,
            '"a" . ' * 100_000,
        ):
            (key, _), *others = self.problems(text)
            self.assertEqual((key, others), ('file', []))
