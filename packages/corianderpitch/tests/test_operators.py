"""Operators' interface: texts that are read as numbers."""

import io

import pytest

from corianderpitch.daemon.operators import BadOperatorRequest, OperatorApp, _parse_body


@pytest.mark.parametrize("text", ["\xb2", "9" * 5000])
def test_a_length_that_cannot_be_read_is_refused(text):
    environ = {"CONTENT_LENGTH": text, "wsgi.input": io.BytesIO(b"{}")}
    with pytest.raises(BadOperatorRequest):
        _parse_body(environ, dict)


@pytest.mark.parametrize("text", ["\xb2", "9" * 5000])
def test_a_revision_that_is_no_number_is_an_unknown_request(text):
    app = OperatorApp.__new__(OperatorApp)
    with pytest.raises(BadOperatorRequest):
        app._route_config("GET", ["revisions", text], {})
    with pytest.raises(BadOperatorRequest):
        app._route_config("GET", ["diff", "1", text], {})
