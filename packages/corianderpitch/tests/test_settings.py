"""Settings of the daemon: defaults, and errors for values that are not allowed."""

import pytest

from corianderpitch.daemon.settings import Address, Settings
from corianderpitch.errors import SettingsError


def settings(**changes):
    return Settings(**{"entry": "e1", "data_center": "a", **changes})


def test_defaults_are_allowed():
    settings().check()


@pytest.mark.parametrize(
    ("name", "value", "flag"),
    [
        ("entry", "Bad Name", "entry"),
        ("entry", "-x", "entry"),
        ("data_center", "", "data-center"),
        ("listen", "localhost:80", "listen"),
        ("listen", "127.0.0.1:99999", "listen"),
        ("operator_listen", "127.0.0.1", "operator-listen"),
        ("peer_listen", "x", "peer-listen"),
        ("peer_advertise", "x", "peer-advertise"),
        ("peers", ("x",), "peers"),
        ("platform", "ftp://127.0.0.1:1", "platform"),
        ("drain_grace_ms", -1, "drain-grace-ms"),
        ("log_level", "loud", "log-level"),
    ],
)
def test_error_names_the_setting_and_the_value_that_is_not_allowed(name, value, flag):
    with pytest.raises(SettingsError) as raised:
        settings(**{name: value}).check()
    assert raised.value.name == flag
    assert str(value if not isinstance(value, tuple) else value[0]) in str(raised.value)


def test_platform_url_needs_an_ip_address():
    with pytest.raises(SettingsError) as raised:
        settings(platform="http://name:1").check()
    assert "name:1" in str(raised.value)


def test_address_parses_ip_and_port():
    assert str(Address.from_text("x", "127.0.0.1:80")) == "127.0.0.1:80"
