"""Bad fleet files: each problem is named by its key, and all at once."""

from __future__ import annotations

from unittest import TestCase, mock

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.fleet import document
from snipebend.fleet.model import RoutingPolicy
from snipebend.fleet.parsing import MAX_FILE_BYTES, parse_fleet

GOOD = """
name = "small"
[weights]
skew = 1
cost = 0.0
[[priorities]]
name = "high"
weight = 1
queue_limit = 0
[[upstreams]]
name = "engines"
kind = "engine"
model = "m"
fencing = "ignored"
max_concurrency = 4
slow_start_s = 0.0
ejection_failures = 3
ejection_s = 1.5
[[upstreams]]
name = "shop"
kind = "service"
max_concurrency = 4
slow_start_s = 0.0
ejection_failures = 3
ejection_s = 1.5
[[groups]]
name = "g"
model = "m"
upstreams = ["engines"]
ranks = 2
experts = 8
layers = 1
experts_per_rank = 4
expert_bytes = 10
store_bytes_per_s = 10
hold_steps = 0
[[workspaces]]
name = "w"
api_key = "secret-1"
priority = "high"
rate_per_s = 1.0
burst = 1
max_concurrency = 1
weight = 1
models = ["m"]
[[services]]
name = "shop"
path_prefix = "/shop"
upstream = "shop"
calls = [{ method = "POST", path = "/shop/buy", repeatable = false }]
"""
WORKSPACE = GOOD[GOOD.index('[[workspaces]]') : GOOD.index('[[services]]')]
SERVICE = GOOD[GOOD.index('[[services]]') :]

# Each case: the text to replace, its replacement, the problems' keys and a
# part of the first message.
CASES = (
    ('[weights]', 'colour = 1\n[weights]', ['colour'], 'unknown key'),
    ('ranks = 2', 'ranks = 2\nrank = 3', ['groups[0].rank'], 'unknown key'),
    ('ranks = 2', 'ranks = "2"', ['groups[0].ranks'], 'valid integer'),
    ('ranks = 2', 'ranks = 2.0', ['groups[0].ranks'], 'valid integer'),
    ('ranks = 2', 'ranks = true', ['groups[0].ranks'], 'valid integer'),
    ('ranks = 2\n', '', ['groups[0].ranks'], 'missing'),
    ('ranks = 2', 'ranks = -1', ['groups[0].ranks'], 'greater than'),
    ('ranks = 2', 'ranks = 1', ['groups[0].experts_per_rank'], 'fewer than'),
    ('skew = 1', 'skew = 0', ['weights'], 'not both be 0'),
    ('skew = 1', 'skew = inf', ['weights.skew'], 'finite'),
    ('skew = 1', 'skew = -0.1', ['weights.skew'], 'greater than'),
    ('= "small"', '= "a b"', ['name'], 'characters or form'),
    ('[weights]', 'stale_policy = "go"\n[weights]', ['stale_policy'], 'refuse'),
    (
        '[weights]',
        'routing = { request_timeout_s = 5.0 }\n[weights]',
        ['routing.attempt_timeout_s'],
        'must not exceed',
    ),
    ('"ignored"', '"maybe"', ['upstreams[0].fencing'], "'checked' or"),
    ('model = "m"\nf', 'f', ['upstreams[0].model'], 'needs a model'),
    ('"engines"]', '"none"]', ['groups[0].upstreams[0]'], "upstream 'none'"),
    ('"engines"]', '"shop"]', ['groups[0].upstreams[0]'], 'not an engine'),
    (
        '"engines"]',
        '"engines", "engines"]',
        ['groups[0].upstreams[1]'],
        'in use already',
    ),
    (
        'model = "m"\nupstreams',
        'model = "n"\nupstreams',
        ['groups[0].upstreams[0]'],
        "serves 'm', not 'n'",
    ),
    ('y = "high"', 'y = "x"', ['workspaces[0].priority'], "priority 'x'"),
    ('["m"]', '["x"]', ['workspaces[0].models[0]'], "unknown model 'x'"),
    (
        WORKSPACE,
        WORKSPACE + WORKSPACE,
        ['workspaces[1].name', 'workspaces[1].api_key'],
        "duplicate name 'w'",
    ),
    (
        SERVICE,
        SERVICE
        + SERVICE.replace('name = "shop"', 'name = "other"').replace(
            '/shop', '/shop/in'
        ),
        ['services[1].path_prefix'],
        "overlaps with '/shop'",
    ),
    (
        'path_prefix = "/shop"',
        'path_prefix = "/v1/shop"',
        ['services[0].calls[0].path', 'services[0].path_prefix'],
        "not below '/v1/shop'",
    ),
    ('m = "shop"', 'm = "none"', ['services[0].upstream'], "upstream 'none'"),
    ('m = "shop"', 'm = "engines"', ['services[0].upstream'], 'not a service'),
    ('ranks = 2', 'ranks = 2\nranks = 3', ['line 31'], 'overwrite'),
    ('ranks = 2', 'ranks =', ['line 30'], 'Invalid value'),
)


class ParseFleetTest(TestCase):
    """Every bad input is refused with its keys."""

    def problems(self, text: str) -> list[tuple[str, str]]:
        """Return the keys and messages of a file that must be refused."""
        error = parse_fleet(text, 'f.toml').unwrap_err()
        self.assertIsInstance(error, InvalidInputError)
        self.assertNotIn('secret-1', str(error))
        for problem in error.problems:
            line = f'f.toml: {problem.key}: {problem.message}'
            self.assertEqual(str(problem), line)
            self.assertIn(line, error.message.splitlines())
        return [(entry.key, entry.message) for entry in error.problems]

    def test_good_file(self) -> None:
        """Defaults fill what may be left out; integers serve as floats."""
        fleet = parse_fleet(GOOD, 'f.toml').unwrap()
        self.assertEqual(fleet.routing, RoutingPolicy())
        self.assertEqual(fleet.stale_policy, 'refuse')
        self.assertIsInstance(fleet.weights.skew, float)

    def test_one_fault_each(self) -> None:
        """One fault gives exactly its keys."""
        for old, new, keys, part in CASES:
            with self.subTest(new=new):
                self.assertIn(old, GOOD)
                found = self.problems(GOOD.replace(old, new, 1))
                self.assertEqual([key for key, _ in found], keys)
                self.assertIn(part, found[0][1])

    def test_all_at_once(self) -> None:
        """Faults of shape don't hide those of references."""
        text = GOOD.replace('ranks = 2', 'ranks = "2"')
        text = text.replace('y = "high"', 'y = "x"')
        text = text.replace('"shop"\ncalls', '"none"\ncalls')
        keys = [key for key, _ in self.problems(f'colour = 1\n{text}')]
        self.assertEqual(
            keys,
            [
                'colour',
                'groups[0].ranks',
                'workspaces[0].priority',
                'services[0].upstream',
            ],
        )

    def test_no_tables(self) -> None:
        """Empty files and sections of another type are named as such."""
        for text in ('', '\n# nothing\n'):
            self.assertEqual(
                self.problems(text), [('file', 'the file is empty')]
            )
        wrong = GOOD.replace(WORKSPACE, '').replace('[w', 'workspaces = 1\n[w')
        self.assertEqual(
            self.problems(wrong), [('workspaces', 'must be an array of tables')]
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
