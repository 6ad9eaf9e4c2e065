"""Media types of GraphQL over HTTP (draft, sections 6.1, 6.3 and 6.4; RFC 9110, section 12.5.1).  Pure."""

from __future__ import annotations

from enum import Enum

from brackengate.graphql.errors import Refused


class Form(Enum):
    """How an answer is written."""

    RESPONSE = b"application/graphql-response+json; charset=utf-8"
    LEGACY = b"application/json; charset=utf-8"

    def status(self, status: int) -> int:
        """That of a request error: the legacy form has 200 for what is well-formed and not served."""
        if self is Form.LEGACY and status in (200, 400, 422):
            return 200
        return status


_TYPES = {"application/graphql-response+json": Form.RESPONSE, "application/json": Form.LEGACY}
_RANGES = ("*/*", "application/*")


def form_of(accept: str | None) -> Form:
    """The form that a client asks for; `Refused` (406) where it takes neither.

    Without a wish it is graphql-response+json: the draft's date for that, 1 January 2025, has passed.
    """
    if accept is None or not accept.strip():
        return Form.RESPONSE
    best: tuple[float, int, Form] | None = None
    for part in accept.split(","):
        name, *params = (piece.strip().lower() for piece in part.split(";"))
        weight = 1.0
        for param in params:
            key, _, value = param.partition("=")
            if key.strip() == "q":
                try:
                    weight = float(value)
                except ValueError:
                    weight = 0.0
            elif key.strip() == "charset" and value.strip('" ') not in ("utf-8", "utf8"):
                weight = 0.0
        if not 0 < weight <= 1:
            continue
        for number, (known, form) in enumerate(_TYPES.items()):
            if name == known or name in _RANGES:
                exact = 0 if name == known else -10
                candidate = (weight, exact - number, form)
                if best is None or candidate[:2] > best[:2]:
                    best = candidate
    if best is None:
        raise Refused("NOT_ACCEPTABLE", f"offered: {', '.join(_TYPES)}", 406)
    return best[2]


def check_content_type(content_type: str | None) -> None:
    """A POST's body is JSON in UTF-8; `Refused` (415) else."""
    name, *params = (piece.strip().lower() for piece in (content_type or "").split(";"))
    if name != "application/json":
        raise Refused("UNSUPPORTED_MEDIA_TYPE", "POST takes application/json", 415)
    for param in params:
        key, _, value = param.partition("=")
        if key.strip() == "charset" and value.strip('" ') not in ("utf-8", "utf8"):
            raise Refused("UNSUPPORTED_MEDIA_TYPE", "the charset is utf-8", 415)
