"""The settings file of an entry, with fields that are missing or of another type."""

import pytest

from corianderpitch.errors import SettingsError
from corianderpitch_platform.settings import SETTINGS_VARIABLE, PlatformSettings

SETTINGS = """
node = "edge-graz-a-1"
ip = "10.1.0.9"
zone = "graz-a"
region = "steiermark"
[listen]
front = "10.1.0.9:8624"
ready = "10.1.0.9:8622"
[limits]
cpu_share = 0.5
cores = 2
[bounds]
hold_max_ms = 6000
grace_s = 6
status_s = 120
lease_ms = 3000
[platform]
address = "10.200.1.7:8621"
[cloud]
address = "10.200.0.107:8621"
duty_per_s = 64.0
"""


def read(tmp_path, monkeypatch, content):
    path = tmp_path / "settings.toml"
    path.write_bytes(content if isinstance(content, bytes) else content.encode())
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return PlatformSettings.from_file()


def test_settings_are_read(tmp_path, monkeypatch):
    settings = read(tmp_path, monkeypatch, SETTINGS)
    assert settings.processors == 1.0
    assert settings.grace_ms == 6000.0


@pytest.mark.parametrize(
    "content",
    [
        b"\xff" + SETTINGS.encode(),
        "a = " + "[" * 100_000,
        SETTINGS[:300],
        SETTINGS.replace("grace_s = 6", "grace_s = nan"),
        SETTINGS.replace("grace_s = 6", "grace_s = -6"),
        SETTINGS.replace("hold_max_ms = 6000", "hold_max_ms = inf"),
        SETTINGS.replace("hold_max_ms = 6000", f"hold_max_ms = {'9' * 400}"),
        SETTINGS.replace("cores = 2", 'cores = "two"'),
        SETTINGS.replace(
            '[cloud]\naddress = "10.200.0.107:8621"\nduty_per_s = 64.0', ""
        )
        + "cloud = 7\n",
        SETTINGS.replace("[limits]\ncpu_share = 0.5\ncores = 2", "").replace(
            'node = "e', 'limits = "none"\nnode = "e'
        ),
        SETTINGS.replace('[listen]\nfront = "10.1.0.9:8624"\n', "[other]\n"),
    ],
)
def test_odd_settings_are_refused(tmp_path, monkeypatch, content):
    """At a reload any other exception ended the process."""
    with pytest.raises(SettingsError):
        read(tmp_path, monkeypatch, content)
