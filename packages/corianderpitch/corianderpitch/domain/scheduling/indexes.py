"""Sets of task indexes whose size does not depend on the number of tasks.

A caller chooses how many tasks a step has. Most of them wait or are done in long
sequences, so that a set keeps the bounds of these sequences only.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, MutableSet
from itertools import chain


class IndexSet(MutableSet[int]):
    """A set of whole numbers as sorted spans, each without its end.

    Iteration is in ascending order, and over the members at its start: members may be
    added and discarded meanwhile.

    >>> waiting = IndexSet.from_range(10_000)
    >>> waiting.discard(3)
    >>> list(waiting.spans), len(waiting)
    ([(0, 3), (4, 10000)], 9999)
    """

    __slots__ = ("_ends", "_size", "_starts")

    def __init__(self, members: Iterable[int] = ()):
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._size = 0
        if isinstance(members, IndexSet):
            self._starts, self._ends = list(members._starts), list(members._ends)
            self._size = members._size
            return
        for member in members:
            self.add(member)

    @classmethod
    def from_range(cls, count: int) -> "IndexSet":
        """Return the set of all indexes below ``count``."""
        return cls.from_spans([(0, count)] if count else [])

    @classmethod
    def from_spans(cls, spans: Iterable[tuple[int, int]]) -> "IndexSet":
        """Return the set with these spans, which are sorted and do not touch.

        Raises
        ------
        ValueError
            If they are not.
        """
        result = cls()
        for start, end in spans:
            if start >= end or (result._ends and start <= result._ends[-1]):
                raise ValueError("spans must be sorted and apart")
            result._starts.append(start)
            result._ends.append(end)
            result._size += end - start
        return result

    @property
    def spans(self) -> Iterator[tuple[int, int]]:
        """Return the spans, each as its first member and its end."""
        return zip(self._starts, self._ends, strict=True)

    @property
    def span_count(self) -> int:
        """Return the number of spans."""
        return len(self._starts)

    def copy(self) -> "IndexSet":
        """Return an independent set with the same members."""
        return IndexSet(self)

    def __contains__(self, member: object) -> bool:
        if not isinstance(member, int):
            return False
        place = bisect_right(self._starts, member) - 1
        return place >= 0 and member < self._ends[place]

    def __iter__(self) -> Iterator[int]:
        return chain.from_iterable(range(a, b) for a, b in list(self.spans))

    def __len__(self) -> int:
        return self._size

    def __eq__(self, other: object) -> bool:
        if isinstance(other, IndexSet):
            return self._starts == other._starts and self._ends == other._ends
        return super().__eq__(other)

    def __repr__(self) -> str:
        return f"IndexSet.from_spans({list(self.spans)})"

    def add(self, member: int) -> None:
        """Add a member, and join the spans that it connects."""
        if member in self:
            return
        place = bisect_left(self._starts, member)
        joins_left = place > 0 and self._ends[place - 1] == member
        joins_right = place < len(self._starts) and self._starts[place] == member + 1
        self._size += 1
        if joins_left and joins_right:
            self._ends[place - 1] = self._ends.pop(place)
            del self._starts[place]
        elif joins_left:
            self._ends[place - 1] = member + 1
        elif joins_right:
            self._starts[place] = member
        else:
            self._starts.insert(place, member)
            self._ends.insert(place, member + 1)

    def add_range(self, first: int, end: int) -> None:
        """Add all members from ``first`` up to, but not including, ``end``."""
        if first >= end:
            return
        if not self._ends or first > self._ends[-1]:
            self._starts.append(first)
            self._ends.append(end)
            self._size += end - first
            return
        apart = [(a, b) for a, b in self.spans if b < first or a > end]
        touching = [(a, b) for a, b in self.spans if not (b < first or a > end)]
        joined = (
            min([first, *(a for a, _ in touching)]),
            max([end, *(b for _, b in touching)]),
        )
        self._set_spans(sorted([*apart, joined]))

    def complement(self, count: int) -> "IndexSet":
        """Return the indexes below ``count`` that are not in the set."""
        ends = (min(start, count) for start in [*self._starts, count])
        gaps = zip([0, *self._ends], ends, strict=True)
        return IndexSet.from_spans((a, b) for a, b in gaps if a < b)

    def _set_spans(self, spans: list[tuple[int, int]]) -> None:
        self._starts = [a for a, _ in spans]
        self._ends = [b for _, b in spans]
        self._size = sum(b - a for a, b in spans)

    def discard(self, member: int) -> None:
        """Remove a member if it is one, and split the span that it is inside of."""
        place = bisect_right(self._starts, member) - 1
        if place < 0 or member >= self._ends[place]:
            return
        start, end = self._starts[place], self._ends[place]
        self._size -= 1
        kept = [(a, b) for a, b in ((start, member), (member + 1, end)) if a < b]
        self._starts[place : place + 1] = [a for a, _ in kept]
        self._ends[place : place + 1] = [b for _, b in kept]
