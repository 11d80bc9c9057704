"""The judge of operators' histories, on histories made by hand."""

from __future__ import annotations

from math import inf
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, Is

from standin.linearizable import Operation, Register, Rollouts, UndecidedError, linearizable

Op = tuple[float, float, Any, Any]
A, B = ("put", 2, "a", True), ("put", 2, "b", True)
X, Y = ("post", "x", "v2", "4s"), ("post", "y", "v3", "4s")


def fits(model: Any, *some: Op, latest: float = inf) -> bool:
    history = [Operation(called, answered, asked, answer, latest) for called, answered, asked, answer in some]
    return linearizable(model, history) is None


class Histories(TestCase):
    """The judge itself, on histories made by hand."""

    def test_a_register_of_numbers(self) -> None:
        is_a, is_b = ("is", (2, "a")), ("is", (2, "b"))
        for good in (
            [(0, 1, A, 200), (0, 1, B, 409), (2, 3, ("get",), is_a), (4, 5, A, 200)],
            [(0, 9, A, 200), (1, 2, ("get",), ("is", None)), (3, 4, ("get",), is_a), (5, 6, B, 409)],
            [(0, inf, A, None), (1, 2, ("get",), ("is", None)), (3, 4, ("get",), is_a), (5, 6, B, 409)],
            [(0, inf, A, None), (1, 2, B, 200), (3, 4, ("get",), is_b)],  # it never took effect
            [(0, 1, ("put", 3, "c", True), 200), (2, 3, A, 200), (4, 5, ("get",), ("is", (3, "c")))],
            [(0, 1, ("put", 9, "!", False), 400), (2, 3, ("get",), ("is", None))],
        ):
            self.assertThat(fits(Register(), *good), Is(True), str(good))
        for wrong in (
            [(0, 1, A, 200), (2, 3, B, 200)],  # two winners
            [(0, 1, A, 200), (2, 3, A, 409)],  # a repeat is refused
            [(0, 1, A, 200), (2, 3, ("get",), ("is", None))],  # a read that is old
            [(0, 9, A, 200), (1, 2, ("get",), is_a), (3, 4, ("get",), ("is", None))],  # and that goes back
            [(0, inf, A, None), (1, 2, ("get",), is_a), (3, 4, ("get",), is_b)],  # from nowhere
            [(0, 1, ("put", 9, "!", False), 200)],
            [(0, 1, ("put", 3, "c", True), 200), (2, 3, A, 409)],
        ):
            self.assertThat(fits(Register(), *wrong), Is(False), str(wrong))
        slow = [(0, inf, A, None), (3, 4, ("get",), ("is", None)), (5, 6, ("get",), is_a)]
        self.assertThat([fits(Register(), *slow, latest=at) for at in (2, 3)], Equals([False, True]))

    def test_orders_of_a_service(self) -> None:
        read = ("read",)
        begun = [(0, 1, X, 200), (2, 3, read, ("serving", "v2")), (2, 3, Y, 409)]
        ended = [(0, 1, X, 200), (2, 3, read, ("undone", "v2"))]
        for good in (
            [*begun, (4, 5, X, 200), (6, 7, read, ("done", "v2"))],
            [*ended, (4, 5, X, 200), (6, 7, Y, 200), (8, 9, X, 200), (10, 11, read, ("serving", "v3"))],
            [*ended, (4, 5, ("post", "again", "v2", "4s"), 200), (6, 7, read, ("serving", "v2"))],
            [(0, inf, X, None), (1, 2, read, ("none",)), (3, 4, Y, 409), (5, 6, read, ("serving", "v2"))],
        ):
            self.assertThat(fits(Rollouts(), *good), Is(True), str(good))
        for wrong in (
            [*begun, (4, 5, X, 409)],  # a repeat is refused
            [*ended, (4, 5, X, 200), (6, 7, read, ("serving", "v2"))],  # it starts again
            [*ended, (4, 5, Y, 200), (6, 7, X, 200), (8, 9, read, ("serving", "v2"))],
            [*ended, (4, 5, Y, 409)],  # nothing is under way
            [*begun, (4, 5, read, ("done", "v2")), (6, 7, read, ("undone", "v2"))],
        ):
            self.assertThat(fits(Rollouts(), *wrong), Is(False), str(wrong))

    def test_a_search_beyond_its_bound_is_no_verdict(self) -> None:
        many = [Operation(0, 9, ("put", n, "x", True), 200) for n in range(9)]
        self.assertRaises(UndecidedError, linearizable, Register(), many, 5)
