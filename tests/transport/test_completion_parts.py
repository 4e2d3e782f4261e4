"""Guards against parts of prompts that are not recognised in other requests."""

from __future__ import annotations

import json
import unittest

from snipebend.transport.completion_body import (
    MAX_MESSAGE_PARTS,
    parse_completion,
)

PREFIX = 'the same beginning of many prompts, longer than a block; ' * 4


def parts_of_chat(*texts):
    """Return the parts of a chat with these user messages."""
    messages = [{'role': 'user', 'content': content} for content in texts]
    data = json.dumps({'model': 'm', 'messages': messages}).encode()
    return parse_completion('/v1/chat/completions', data).unwrap().parts


def parts_of_text(prompt):
    """Return the parts of a text prompt."""
    data = json.dumps({'model': 'm', 'prompt': prompt}).encode()
    return parse_completion('/v1/completions', data).unwrap().parts


class TestCompletionParts(unittest.TestCase):
    """What prompts share has the same hash in each of them."""

    def test_message_has_the_same_part_in_any_place(self):
        first = parts_of_chat('shared', 'question')
        later = parts_of_chat('other', 'shared', 'another question')
        self.assertEqual(len(first), 1)
        self.assertEqual(first, later[1:])

    def test_last_message_is_no_part(self):
        self.assertEqual(parts_of_chat('question'), ())
        self.assertEqual(parts_of_chat(), ())

    def test_messages_with_several_contents(self):
        content = [{'type': 'text', 'text': 'shared'}]
        self.assertEqual(len(parts_of_chat(content, 'question')), 1)

    def test_long_chats_have_a_bounded_number_of_parts(self):
        texts = map(str, range(10 * MAX_MESSAGE_PARTS))
        self.assertEqual(len(parts_of_chat(*texts)), MAX_MESSAGE_PARTS)

    def test_text_prompts_share_the_parts_of_their_common_beginning(self):
        one, other = (parts_of_text(PREFIX + end * 999) for end in 'ab')
        shared = {64, 128}
        self.assertEqual(one[: len(shared)], other[: len(shared)])
        self.assertTrue(set(one[len(shared) :]).isdisjoint(other))
        self.assertLess(len(one), 10)

    def test_short_text_prompt_has_no_parts(self):
        self.assertEqual(parts_of_text('short'), ())


if __name__ == '__main__':
    unittest.main()
