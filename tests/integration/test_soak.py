"""A short seeded soak of real entries; ``make soak`` runs longer ones."""

from corianderpitch_standins.soak import Soak

SEED = 1
SOAK_S = 25.0
ENTRIES = 4


def test_a_short_soak_finds_nothing(tmp_path):
    soak = Soak(SEED, SOAK_S, ENTRIES, tmp_path)
    findings = soak.run()
    assert not findings, f"{soak.summary()}: {findings}, logs in {tmp_path}"
