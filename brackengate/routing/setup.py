"""From requests to what routes look at, and from the installation file to a first snapshot."""

from __future__ import annotations

from brackengate.cells.owners import Turned
from brackengate.http.message import IncomingRequest, RequestError
from brackengate.http.rules import Rule
from brackengate.installation.schema import File
from brackengate.interface import Request
from brackengate.net.api import RouteResolver
from brackengate.net.http import CallerConnection
from brackengate.routing.pools import Chosen, Pools
from brackengate.routing.table import Traits, bare_host
from brackengate.snapshot.model import Snapshot, make

NOT_YET = b"Retry-After: 1\r\n"


def snapshot(file: File) -> Snapshot:
    """The routes and pools that the installation file itself has."""
    return make(file.pool, file.route)


def route_of(file: File, pools: Pools) -> RouteResolver:
    """Raises RequestError: 404 where no route fits, 503 as long as there is no version at all."""
    client_header = file.versions.client_header.lower().encode()

    def choose(
        arrival: IncomingRequest,
        connection: CallerConnection,
        request: Request,
        operation: str,
        operation_type: str,
    ) -> Chosen:
        table = pools.table
        if table is None:
            raise RequestError(503, "there are no routes yet", NOT_YET)
        headers, host, client = {}, "", ""
        for name, value in arrival.headers:
            lower = name.lower()
            if lower == b"host":
                host = bare_host(value.decode("latin-1"))
            elif lower == client_header:
                client = value.decode("latin-1").strip()
            if lower in table.headers:
                if lower.decode("latin-1") in headers:
                    raise RequestError(400, Rule.TWICE.description, rule_slug=Rule.TWICE.slug)
                headers[lower.decode("latin-1")] = value.decode("latin-1").strip()
        traits = Traits(
            method=arrival.method.decode("latin-1"),
            path=arrival.target.partition(b"?")[0].decode("latin-1"),
            host=host,
            headers=headers,
            class_name=request.class_name,
            tenant=request.tenant,
            operation=operation,
            operation_type=operation_type,
            client=client or connection.peer(),
            entity=request.key,
            request=request.request,
        )
        chosen = pools.choose(traits)
        if isinstance(chosen, Turned):
            advice = b"Retry-After: %.3f\r\n" % (-(-chosen.wait // 1000) / 1e3)  # not a moment too early
            raise RequestError(503, f"refused: {chosen.why.value}", advice)
        if chosen is None:
            raise RequestError(404, "no route fits")
        return chosen

    return choose
