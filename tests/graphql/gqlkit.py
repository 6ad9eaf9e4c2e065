"""The table and classes that the GraphQL tests share."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.graphql.analysis import Limits
from brackengate.graphql.classify import Classifier, FieldRule, Table

READ = api.RequestClass("pregled", 2_000_000, 2_000_000, api.Idempotency.REPEATABLE)
BID = api.RequestClass(
    "ponudba", 2_000_000, 2_000_000, api.Idempotency.KEYED, api.KeyScope.ZONE, 4_000_000, 8.0
)
BUY = api.RequestClass("takoj-kupi", 2_000_000, 2_000_000, api.Idempotency.UNSAFE, value=8.0)
HEAVY = api.RequestClass("zgodovina", 2_000_000, 2_000_000, api.Idempotency.REPEATABLE)
CLASSES = {cls.name: cls for cls in (READ, BID, BUY, HEAVY)}
TABLE = Table(
    CLASSES,
    "pregled",
    "takoj-kupi",
    {"zgodovina": FieldRule("zgodovina")},
    {
        "oddajPonudbo": FieldRule("ponudba", ("input", "kljuc")),
        "zvisaj": FieldRule("ponudba", ("kljuc",)),
        "takojKupi": FieldRule("takoj-kupi"),
        "zapisi": FieldRule("pregled"),
    },
)


def classifier(limits: Limits | None = None, cache_bytes: int = 1 << 20) -> Classifier:
    return Classifier(TABLE, limits or Limits(), cache_bytes)
