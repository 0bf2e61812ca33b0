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
def test_wrong_value_names_itself(name, value, flag):
    with pytest.raises(SettingsError) as caught:
        settings(**{name: value}).check()
    assert caught.value.name == flag
    assert str(value if not isinstance(value, tuple) else value[0]) in str(caught.value)


def test_platform_must_be_named_by_ip():
    with pytest.raises(SettingsError) as caught:
        settings(platform="http://name:1").check()
    assert "name:1" in str(caught.value)


def test_address_reads_ip_and_port():
    assert str(Address.from_text("x", "127.0.0.1:80")) == "127.0.0.1:80"
