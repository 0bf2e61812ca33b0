"""The check of the fleet file reports every problem with its file and path."""

from pathlib import Path

import pytest
from fakes import BASE_FLEET
from hypothesis import given
from hypothesis import strategies as st

from corianderpitch.domain.fleetfile import FleetConfig, check_fleet
from corianderpitch.domain.problems import ProblemKind

EXAMPLES = Path(__file__).parents[3] / "examples"


def problems(base, **overlays):
    result = check_fleet(base, overlays)
    assert isinstance(result, list), "expected problems"
    return {(p.file, p.path): p for p in result}


@pytest.mark.parametrize("name", ["polsterwerk", "valomerkki"])
def test_example_fleets_are_valid(name):
    folder = EXAMPLES / name
    overlays = {
        path.stem: path.read_text() for path in (folder / "sites").glob("*.toml")
    }
    config = check_fleet((folder / "fleet.toml").read_text(), overlays)
    assert isinstance(config, FleetConfig)
    assert overlays and len(config.base.services) == 5


def test_overlay_changes_only_its_site():
    config = check_fleet(BASE_FLEET, {"a": "[services.s]\ndefault_timeout_ms = 7\n"})
    assert config.for_site("a").services["s"].default_timeout_ms == 7
    assert config.base.services["s"].default_timeout_ms == 2000
    assert config.for_site("other") is config.base


def test_every_problem_is_reported_with_file_and_path():
    base = BASE_FLEET.replace("instance_slots = 8", "instance_slot = 8")
    base = base.replace("vm_memory_mb = 1", 'vm_memory_mb = "much"')
    found = problems(
        base,
        a="[services.s]\npool = 'q'\n[pools.p]\nvm_processors = 2\n",
        nowhere="[tenants.t]\nweight = 1.0\n",
    )
    unknown = found["fleet.toml", "services.s.instance_slot"]
    assert unknown.kind is ProblemKind.UNKNOWN_KEY
    assert "instance_slots" in unknown.detail
    assert found["fleet.toml", "services.s.instance_slots"].kind is ProblemKind.MISSING
    assert found["fleet.toml", "pools.p.vm_memory_mb"].kind is ProblemKind.BAD_VALUE
    pool = found["sites/a.toml", "services.s.pool"]
    assert pool.kind is ProblemKind.NOT_OVERRIDABLE
    assert found["sites/a.toml", "pools"].kind is ProblemKind.NOT_OVERRIDABLE
    assert found["sites/nowhere.toml", ""].kind is ProblemKind.INCONSISTENT


def test_overlay_that_changes_nothing_is_a_problem():
    base = BASE_FLEET.replace("budget", "default_timeout_ms = 7\nbudget")
    found = problems(base, a="[services.s]\ndefault_timeout_ms = 7\n")
    path = ("sites/a.toml", "services.s.default_timeout_ms")
    assert found[path].kind is ProblemKind.NO_DIFFERENCE


def test_invalid_value_in_an_overlay_names_the_overlay():
    found = problems(BASE_FLEET, a="[services.s]\nrun_quantile = 2.0\n")
    assert ("sites/a.toml", "services.s.run_quantile") in found


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ('pool = "p"', 'pool = "pp"', "services.s.pool"),
        (
            "instance_connections = 64",
            "instance_connections = 4",
            "services.s.instance_connections",
        ),
    ],
)
def test_inconsistent_values_are_reported(old, new, path):
    found = problems(BASE_FLEET.replace(old, new))
    assert found["fleet.toml", path].kind is ProblemKind.INCONSISTENT


def test_two_services_cannot_share_a_pool():
    second_service = BASE_FLEET[BASE_FLEET.index("[services.s]") :].replace(
        "services.s", "services.t"
    )
    assert ("fleet.toml", "services.t.pool") in problems(BASE_FLEET + second_service)


def test_syntax_error_names_the_file():
    found = problems(BASE_FLEET, a="= nonsense")
    assert found["sites/a.toml", ""].kind is ProblemKind.SYNTAX


@given(st.text(max_size=80), st.text(max_size=40))
def test_any_text_is_checked_without_an_exception(base, overlay):
    check_fleet(base, {"a": overlay})
