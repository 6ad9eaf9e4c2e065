"""From the installation file to a front."""

from __future__ import annotations

import json

from brackengate.graphql.analysis import Limits
from brackengate.graphql.classify import Classifier, FieldRule, Table
from brackengate.graphql.front import GraphqlFront, Options
from brackengate.graphql.persisted import Store, read_manifest
from brackengate.installation import settings as derived
from brackengate.installation.reading import BadFile, Fault
from brackengate.installation.schema import File, GraphqlField
from brackengate.net.api import ClientInfoResolver, ClientResolver, RouteResolver
from brackengate.net.http import RequestStage, TerminalStage


def classifier(file: File) -> Classifier:
    """By the file's classes and table."""
    told = file.graphql

    def rules(fields: dict[str, GraphqlField]) -> dict[str, FieldRule]:
        return {n: FieldRule(f.class_, tuple(f.key.split(".")) if f.key else ()) for n, f in fields.items()}

    classes = {cls.name: cls for cls in derived.settings(file).classes}
    table = Table(classes, told.query_class, told.unnamed_class, rules(told.query), rules(told.mutation))
    limits = Limits(
        bytes=int(told.max_bytes),
        tokens=told.max_tokens,
        depth=told.max_depth,
        aliases=told.max_aliases,
        root_fields=told.max_root_fields,
        directives=told.max_directives,
    )
    return Classifier(table, limits, int(told.cache_memory))


def store(file: File) -> Store | None:
    """Persisted documents; BadFile where the manifest cannot be used."""
    told = file.graphql
    if not told.persisted:
        return None
    manifest: dict[str, str] = {}
    if told.manifest:
        try:
            with open(told.manifest, encoding="utf-8") as source:
                manifest = read_manifest(json.load(source))
        except OSError as error:
            what = f"{told.manifest} cannot be read: {error.strerror}"
            raise BadFile(told.manifest, [Fault("graphql.manifest", what)]) from None
        except (ValueError, RecursionError) as error:
            raise BadFile(told.manifest, [Fault("graphql.manifest", str(error))]) from None
    return Store(manifest, told.only_trusted, file.tenant, int(told.persisted_memory))


def front(
    file: File,
    node: TerminalStage,
    door: RequestStage,
    client_of: ClientResolver | None = None,
    origin_of: ClientInfoResolver | None = None,
    route_of: RouteResolver | None = None,
) -> GraphqlFront:
    told = file.graphql
    options = Options(
        batch=told.batch,
        batch_most=told.batch_most,
        tenant_header=told.tenant_header.lower().encode(),
        deadline_header=told.deadline_header.lower().encode(),
        field_work=int(told.field_work),
    )
    return GraphqlFront(node, door, classifier(file), store(file), options, client_of, origin_of, route_of)
