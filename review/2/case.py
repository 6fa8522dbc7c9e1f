"""Engines that hand out wrong bytes in place of some answers: a success that is not theirs. Checks
the rule MIXED: a client gets no success (2xx) without the engine's `Response-Signature`, and none
whose body isn't the engine's."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))

import bed  # noqa: E402
import garble  # noqa: E402

# No answer of the engine: without an id of a request, and without proof.
WRONG = bed.answer(200, b"It works!\n", [("Content-Type", "text/html")])


def judge(kind, ident, status, headers, body, runs):
    if not status.startswith("2"):
        return None
    if headers.get("response-signature") != f"sig-{ident}":
        return f"answered {status} without the engine's proof: {headers} {body[:40]!r}"
    if body != b"x" * 800:
        return f"answered {status} with another body: {body[:40]!r}"
    return None


async def play(record, folder):
    return await garble.play(record, folder, "MIXED", WRONG, judge)


bed.run(HERE, play)
