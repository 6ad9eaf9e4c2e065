"""Places kept for those who were told when to come back, and the tokens that name them.  Pure.

A calendar of short spans, each with a part of what can pass in it.  A place is one client's: its token is
signed over the client, and by the client alone it is found where no token comes back.
"""

from __future__ import annotations

import base64
import hmac
import struct
from collections import deque

from brackengate.queues.scheduler import Identity, Place

SPAN_US = 50_000
EARLY_US = 10_000  # a clock that is off by this much is not early
_FORM = struct.Struct("!QQ")
_SIGNATURE = 16  # bytes, of SHA-256's 32


class Places:
    """`reserve`: the part of what passes that may be promised.  `grace`: how late one may come, in us."""

    def __init__(self, secret: bytes, reserve: float, grace: int, most: int, issuer: int) -> None:
        """`secret`: with the same one, other instances honour each other's tokens, each token once at each.
        `issuer`: this process's own number, under 2**32.  `most`: places and spent tokens in memory."""
        self._secret, self._reserve, self._grace, self._most = secret, reserve, grace, most
        self._issuer = issuer
        self._booked: dict[int, float] = {}  # work by span
        self._places: dict[int, Place] = {}
        self._by_identity: dict[Identity, deque[Place]] = {}
        self._order: dict[int, list[int]] = {}  # numbers by the span in which they end
        self._spent: set[int] = set()  # numbers that other instances gave
        self._foreign: dict[int, float] = {}  # work by span, promised elsewhere and taken here
        self._missed: list[Place] = []
        self._swept = 0
        self._next = 0

    def __len__(self) -> int:
        return len(self._places)

    def book(
        self,
        now: int,
        identity: Identity,
        earliest: int,
        latest: int,
        work: float,
        rate: float,
        jitter: float,
    ) -> Place | None:
        """The first place from `earliest` on, none later than `latest`; `rate`: work that passes a us.

        `jitter`: 0 to 1, where in its span it stands, so that not all come at the span's start.
        """
        self._sweep(now)
        if len(self._places) >= self._most or not self._reserve:
            return None
        room = rate * SPAN_US * self._reserve
        span = earliest // SPAN_US
        while span * SPAN_US <= latest:
            booked = self._booked.get(span, 0.0)
            # One request longer than a span may still be promised one that is empty.
            if booked + work <= room or (booked == 0.0 and work > room):
                at = span * SPAN_US + int(jitter * (SPAN_US - 1))
                at = max(at, earliest)
                if at > latest:
                    return None
                return self._keep(identity, at, work)
            span += 1
        return None

    def _keep(self, identity: Identity, at: int, work: float) -> Place:
        self._next = (self._next + 1) & 0xFFFFFFFF
        place = Place(self._issuer << 32 | self._next, identity, at, work)
        span = at // SPAN_US
        self._booked[span] = self._booked.get(span, 0.0) + work
        self._places[place.number] = place
        self._by_identity.setdefault(identity, deque()).append(place)
        self._order.setdefault((at + self._grace) // SPAN_US + 1, []).append(place.number)
        return place

    def redeem(self, now: int, identity: Identity, token: bytes, work: float, rate: float) -> Place | None:
        """The place that it has now, which is spent by this; None if it has none, or is early, or late.

        `work`, `rate`: of this request and of all, for a token that another instance gave.
        """
        self._sweep(now)
        if token:
            told = self._read(identity, token)
            if told is None:
                return None
            at, number = told
            if not at - EARLY_US <= now <= at + self._grace:
                return None
            place = self._places.get(number)
            if place is not None and place.identity == identity and place.at == at:
                self._drop(place)
                return place
            if number >> 32 != self._issuer:
                return self._take_foreign(number, identity, at, work, rate)
            return None
        for place in self._by_identity.get(identity, ()):
            if place.at - EARLY_US <= now <= place.at + self._grace:
                self._drop(place)
                return place
        return None

    def missed(self, now: int) -> list[Place]:
        """Places whose time is over with nobody come, each told once."""
        self._sweep(now)
        if not self._missed:
            return []
        missed, self._missed = self._missed, []
        return missed

    def named(self, now: int, identity: Identity, token: bytes) -> Place | None:
        """The place of this token, if its time is still to come."""
        told = self._read(identity, token) if token else None
        place = self._places.get(told[1]) if told is not None else None
        return place if place is not None and place.identity == identity and place.at > now else None

    def _take_foreign(
        self, number: int, identity: Identity, at: int, work: float, rate: float
    ) -> Place | None:
        """As many as this instance promises itself, and each once."""
        span = at // SPAN_US
        taken = self._foreign.get(span, 0.0)
        if number in self._spent or len(self._spent) >= self._most:
            return None
        if taken and taken + work > rate * SPAN_US * self._reserve:
            return None
        self._foreign[span] = taken + work
        self._spent.add(number)
        self._order.setdefault((at + self._grace) // SPAN_US + 1, []).append(number)
        return Place(number, identity, at, work)

    def token(self, place: Place) -> bytes:
        """What its holder shows: URL-safe base64 (RFC 4648, section 5) without padding."""
        told = _FORM.pack(place.at, place.number)
        made = told + self._sign(place.identity, told)
        return base64.urlsafe_b64encode(made).rstrip(b"=")

    def _read(self, identity: Identity, token: bytes) -> tuple[int, int] | None:
        """Its time and number, if the token was given to this client here."""
        if len(token) != 43:
            return None
        try:
            made = base64.b64decode(token + b"=", b"-_", validate=True)
        except ValueError:
            return None
        told, signature = made[: _FORM.size], made[_FORM.size :]
        if not hmac.compare_digest(signature, self._sign(identity, told)):
            return None
        at, number = _FORM.unpack(told)
        return at, number

    def _sign(self, identity: Identity, told: bytes) -> bytes:
        tenant, client = identity.tenant.encode(), identity.client.encode()
        text = b"%d:%s%d:%s" % (len(tenant), tenant, len(client), client)
        return hmac.digest(self._secret, told + text, "sha256")[:_SIGNATURE]

    def _drop(self, place: Place) -> None:
        self._places.pop(place.number, None)
        line = self._by_identity.get(place.identity)
        if line is not None:
            line.remove(place)
            if not line:
                del self._by_identity[place.identity]

    def _sweep(self, now: int) -> None:
        """Forget spans that are over, each once."""
        span = now // SPAN_US
        if span == self._swept:
            return
        if span - self._swept > len(self._order) + len(self._booked):
            ended = sorted(s for s in {*self._order, *self._booked} if s <= span)
        else:
            ended = list(range(self._swept + 1, span + 1))
        for old in ended:
            for number in self._order.pop(old, ()):
                place = self._places.get(number)
                if place is not None:
                    self._drop(place)
                    self._missed.append(place)
                else:
                    self._spent.discard(number)
                    self._foreign.pop(old - self._grace // SPAN_US - 2, None)
            self._booked.pop(old - 1, None)
        self._swept = span
