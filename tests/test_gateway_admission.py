"""
Tests of admission
==================

Each replays the load that a decision answers, on a paused clock.
"""

from damasklead.clock import ManualClock
from damasklead.gateway.admission import (
    MAX_DELAY_FRACTION,
    MAX_QUEUE_LENGTH,
    PREFILL_ESTIMATE_INTERVAL_SECONDS,
    AdmissionController,
    Admit,
    Reject,
)
from damasklead.gateway.calls import Call, CallHead
from damasklead.gateway.routing import Route, RouteKind, RouteName
from damasklead.ids import AttemptId, ServiceName

LLM = ServiceName("llm")


def route(name: str, tier: int, target: float, timeout: float) -> Route:
    return Route(
        name=RouteName(name), host="h", prefix=f"/{name}/", kind=RouteKind.STREAM,
        timeout=timeout, target=target, tier=tier, split=((LLM, 1.0),), event_gap=0.3,
    )  # fmt: skip


REVIEW = route("review", 2, 1.5, 5.0)
QUOTE = route("quote", 1, 0.5, 3.0)


CHAT = route("chat", 0, 0.25, 15.0)


class Scene:
    """Requests to one admission, and what became of them; ``room`` is counted down."""

    def __init__(self, *, room: int) -> None:
        self.clock = ManualClock(start=100.0)
        self.room = room
        self.reading: dict[str, float] = {}
        self.admission = AdmissionController(
            clock=self.clock,
            has_capacity_for=lambda call: self.room > 0,
            bypasses_queue=lambda call: call.route is CHAT,
            estimate_prefill_seconds=lambda call: self.reading.get(call.id, 0.0),
        )
        self.admitted: list[str] = []
        self.rejected: dict[str, Reject] = {}

    def submit(self, name: str, kind: Route, *, patience: float | None = None) -> None:
        now = self.clock.now()
        patience = kind.timeout if patience is None else patience
        head = CallHead(
            method="POST", target="/", host="h", attempt=AttemptId(name),
            caller_timeout=patience, key=None,
        )  # fmt: skip
        call = Call(
            head=head, route=kind, service=LLM, workspace=None, arrival=now,
            deadline=now + min(patience, kind.timeout), caller_deadline=now + patience,
            tier=kind.tier,
        )  # fmt: skip
        self._take(self.admission.submit_call(call))

    def make_room(self, places: int) -> None:
        self.room += places
        self.decide()

    def decide(self) -> None:
        while (decision := self.admission.decide_next()) is not None:
            self._take(decision)

    def _take(self, decision: Admit | Reject | None) -> None:
        if isinstance(decision, Admit):
            self.admitted.append(decision.call.id)
            self.room -= decision.call.route is not CHAT
        elif decision is not None:
            self.rejected[decision.call.id] = decision


def test_a_calm_load_is_sent_at_once() -> None:
    scene = Scene(room=40)
    for number in range(40):
        scene.submit(f"r{number}", REVIEW)
    assert len(scene.admitted) == 40 and scene.admission.queue_length == 0


def test_a_burst_waits_for_room_and_nothing_is_lost() -> None:
    scene = Scene(room=4)
    for number in range(30):
        scene.submit(f"r{number}", REVIEW)
    assert len(scene.admitted) == 4 and scene.admission.queue_length == 26
    for _ in range(13):
        scene.clock.advance(0.1)
        scene.make_room(2)
    assert len(scene.admitted) == 30 and not scene.rejected


def test_tight_streams_do_not_wait_behind_a_burst() -> None:
    scene = Scene(room=0)
    for number in range(30):
        scene.submit(f"r{number}", REVIEW)
    scene.submit("c", CHAT)
    assert scene.admitted == ["c"]


def test_more_urgent_tiers_go_first() -> None:
    scene = Scene(room=0)
    for number in range(9):
        scene.submit(f"r{number}", REVIEW)
    scene.submit("q", QUOTE)
    scene.make_room(1)
    assert scene.admitted == ["q"]


def test_the_tier_goes_before_the_time_that_is_left() -> None:
    scene = Scene(room=0)
    scene.submit("r", REVIEW)
    scene.clock.advance(1.2)
    scene.submit("q", QUOTE)
    scene.make_room(1)
    assert scene.admitted == ["q"]


def test_requests_that_can_be_in_time_go_before_late_ones() -> None:
    scene = Scene(room=0)
    scene.submit("old", REVIEW)
    scene.clock.advance(1.6)
    scene.submit("fresh", REVIEW)
    scene.make_room(1)
    assert scene.admitted == ["fresh"]
    scene.make_room(1)
    assert scene.admitted == ["fresh", "old"]


def test_a_caller_that_came_back_goes_before_those_that_came_first() -> None:
    scene = Scene(room=0)
    scene.submit("first", REVIEW)
    scene.submit("back", REVIEW, patience=4.2)
    scene.make_room(1)
    assert scene.admitted == ["back"]


def test_late_requests_are_served_when_the_burst_is_over() -> None:
    scene = Scene(room=0)
    for number in range(6):
        scene.submit(f"r{number}", REVIEW)
    scene.clock.advance(3.0)
    scene.make_room(6)
    assert len(scene.admitted) == 6


def test_what_is_of_no_use_any_more_is_refused_with_spread_returns() -> None:
    scene = Scene(room=0)
    for number in range(8):
        scene.submit(f"q{number}", QUOTE)
    scene.clock.advance(2.35)
    scene.decide()
    waits = [item.retry_after for item in scene.rejected.values()]
    assert len(waits) == 8 and len(set(waits)) > 3
    assert all(0.1 <= seconds <= 0.65 / 3 for seconds in waits)


def test_a_queue_that_is_too_long_refuses_at_once() -> None:
    scene = Scene(room=0)
    for number in range(MAX_QUEUE_LENGTH + 3):
        scene.submit(f"r{number}", REVIEW)
    assert len(scene.rejected) == 3


class TestWhatHasToBeRead:
    """
    A burst of long prompts about many subjects: some find their shared parts cached,
    others take an engine five times as long.
    """

    def scene(self) -> Scene:
        scene = Scene(room=0)
        for number in range(10):
            name = f"r{number}"
            scene.reading[name] = 0.45 if number % 2 else 0.09
            scene.submit(name, REVIEW)
            scene.clock.advance(0.02)
        return scene

    def test_those_that_find_their_parts_cached_go_first(self) -> None:
        scene = self.scene()
        scene.make_room(5)
        assert scene.admitted == [f"r{number}" for number in range(0, 10, 2)]
        scene.make_room(5)
        assert len(scene.admitted) == 10

    def test_one_that_has_much_to_read_is_not_passed_over_for_long(self) -> None:
        scene = Scene(room=0)
        scene.reading["long"] = 60.0
        scene.submit("long", REVIEW)
        scene.clock.advance(MAX_DELAY_FRACTION * REVIEW.target + 0.01)
        scene.submit("short", REVIEW)
        scene.make_room(1)
        assert scene.admitted == ["long"]

    def test_what_was_read_meanwhile_counts_as_cached(self) -> None:
        scene = Scene(room=0)
        scene.reading["first"] = 0.45
        scene.submit("first", REVIEW)
        scene.clock.advance(0.05)
        scene.submit("second", REVIEW)
        scene.decide()
        scene.reading["first"] = 0.0
        scene.clock.advance(1.1 * PREFILL_ESTIMATE_INTERVAL_SECONDS)
        scene.make_room(1)
        assert scene.admitted == ["first"]
