"""Teams of a soak: their keys come and go, and their caps sink and rise.

Callers of the first service carry a key. Each job's description names its team, so that
the stand-in of the platform can tell what each team has running.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from corianderpitch.clock import Clock

TEAMS = ("yard", "desk")
CAPS = (12, 5)  # cores, as each task takes one; teams use some 9 on the average
CONFIG_APPLY_MS = 3000.0
OVERAGE = 0.1
OLD_KEY_S = 2.0  # for which a key goes on beside the one that replaces it
WEIGHT = 50


@dataclass
class SoakTeams:
    """The teams as the operators have configured them last.

    ``write`` writes the configuration and returns once the store has acknowledged it.
    Callers of ``service`` need a key.
    """

    config: dict[str, Any]
    service: str
    clock: Clock
    write: Callable[[dict[str, Any]], None]
    keys: dict[str, list[str]] = field(default_factory=dict)
    changed_ms: float = 0.0
    _caps: dict[str, int] = field(default_factory=dict)
    _caps_since: list[tuple[float, dict[str, int]]] = field(default_factory=list)
    _version: int = 0
    _keys_made: int = 0

    def __post_init__(self):
        self._version = self.config["version"]
        self._caps = dict.fromkeys(TEAMS, CAPS[0])
        for team in TEAMS:
            self.keys[team] = [self._new_key(team)]
        self._caps_since.append((0.0, dict(self._caps)))

    def _new_key(self, team: str) -> str:
        self._keys_made += 1
        return f"{team}-key-{self._keys_made}"

    def fields(self) -> dict[str, Any]:
        """Return the configuration with the teams."""
        tenants = [
            {
                "name": team,
                "api_keys": self.keys[team],
                "weight": WEIGHT,
                "cap": {"cpu": 1000 * self._caps[team]},
            }
            for team in TEAMS
        ]
        routes = [
            route | {"public": route["service"] != self.service}
            for route in self.config["routes"]
        ]
        changes = {"version": self._version, "routes": routes, "tenants": tenants}
        return self.config | changes

    def add_key(self, rng: random.Random) -> str:
        """Add a key of a team, and return the team; callers use the newest key."""
        team = rng.choice(TEAMS)
        keys = [*self.keys[team], self._new_key(team)]
        self._apply(keys=self.keys | {team: keys})
        return team

    def drop_old_keys(self, team: str) -> None:
        """Remove all keys of a team but the newest."""
        self._apply(keys=self.keys | {team: self.keys[team][-1:]})

    def change_cap(self, rng: random.Random) -> None:
        """Lower or raise the cap of a team."""
        self._set_caps(self._caps | {rng.choice(TEAMS): rng.choice(CAPS)})

    def raise_caps(self) -> None:
        """Raise all caps, so that what has piled up can be done."""
        self._set_caps(dict.fromkeys(TEAMS, max(CAPS)))

    def _set_caps(self, caps: dict[str, int]) -> None:
        self._caps = caps
        self._caps_since.append((self.clock.now_ms(), dict(self._caps)))
        self._apply(keys=self.keys)

    def _apply(self, keys: dict[str, list[str]]) -> None:
        """Write a configuration; callers use its keys once it is acknowledged."""
        former, self.keys = self.keys, keys
        self._version += 1
        fields = self.fields()
        self.keys = former
        self.write(fields)
        self.keys = keys
        self.changed_ms = self.clock.now_ms()

    def authorization(self, team: str) -> dict[str, str]:
        """Return the header with the newest key of a team."""
        return {"Authorization": f"Token {self.keys[team][-1]}"}

    def is_in_force(self, now_ms: float) -> bool:
        """Tell whether all entries in touch must know the newest keys."""
        return now_ms - self.changed_ms > CONFIG_APPLY_MS

    def find_excess(self, starts: Iterable[dict[str, Any]]) -> list[str]:
        """Return the starts that brought a team above any cap that may be in force."""
        return [
            f"{start['text']}: {start['at_work']} tasks at work, above its cap"
            for start in starts
            if start["text"] in TEAMS
            and start["at_work"] > self._limit(start["text"], start["at_ms"])
        ]

    def _limit(self, team: str, at_ms: float) -> float:
        caps = [
            caps[team]
            for number, (_, caps) in enumerate(self._caps_since)
            if number + 1 == len(self._caps_since)
            or self._caps_since[number + 1][0] + CONFIG_APPLY_MS >= at_ms
        ]
        return max(caps) * (1.0 + OVERAGE) + 1
