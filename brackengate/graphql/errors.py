"""What is answered at the door, as GraphQL errors."""

from __future__ import annotations

import json
from typing import Any


class Refused(Exception):
    """A request that goes nowhere.  `status` is that of application/graphql-response+json."""

    def __init__(self, code: str, message: str, status: int = 400, **extensions: Any) -> None:
        super().__init__(message)
        self.code, self.message, self.status, self.extensions = code, message, status, extensions

    def as_error(self) -> dict[str, Any]:
        return {"message": self.message, "extensions": {"code": self.code, **self.extensions}}

    def body(self) -> bytes:
        """A response of its own: one error, no data (GraphQL specification, section 7.1)."""
        return json.dumps({"errors": [self.as_error()]}).encode()
